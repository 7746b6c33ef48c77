// Command fault-test injects outages around real sender processes and reports for each of the six rules whether it held.
package main

import "saffronyard.example/saffronyard/internal/faulttest/cli"

func main() { cli.Main() }
