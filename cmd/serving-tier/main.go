// Command serving-tier is the serving tier for agent programs: one program, whose roles (gateway, control-plane, turn-store) are
// subcommands.
package main

import "saffronyard.example/saffronyard/internal/tier/cli"

func main() { cli.Main() }
