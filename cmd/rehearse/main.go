// Command rehearse is the former name of fault-test, kept for one release. It takes the same arguments and does the same.
package main

import "saffronyard.example/saffronyard/internal/faulttest/cli"

func main() { cli.Main() }
