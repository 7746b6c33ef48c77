// Command yard is the former name of serving-tier, kept for one release. It takes the same arguments and does the same.
package main

import "saffronyard.example/saffronyard/internal/tier/cli"

func main() { cli.Main() }
