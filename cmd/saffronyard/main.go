// Command saffronyard is the message sender. It reads its configuration, listens, and serves until SIGTERM; SIGHUP reloads the
// configuration. -features FILE enables the features in the operators' file, and 'saffronyard check FILE' prints what the file enables.
// The other commands talk to a running sender over its Unix socket, or work on files.
package main

import (
	"flag"
	"fmt"
	"log/slog"
	"os"
	"strings"
)

func main() {
	if len(os.Args) > 1 && isCommand(os.Args[1]) {
		os.Exit(command(os.Args[1:], os.Getenv, os.Stdin, os.Stdout, os.Stderr))
	}
	var level slog.LevelVar
	flags := flag.NewFlagSet("saffronyard", flag.ContinueOnError)
	file := flags.String("features", "", "the operators' `file` of features; without it none is on")
	format := flags.String("log-format", "text", "how the log is written: text, or json, an object a line")
	flags.TextVar(&level, "log", &level, "the least `level` that is logged; debug has a line for each step of each message")
	if err := flags.Parse(os.Args[1:]); err != nil {
		os.Exit(2)
	}
	log, err := newLogger(*format, &level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if flags.NArg() > 0 {
		log.Error("unexpected argument; saffronyard takes the flags -features FILE, -log LEVEL and -log-format FORMAT, or one of the commands: "+strings.Join(commandNames(), ", "), "argument", flags.Arg(0))
		os.Exit(2)
	}
	if err := runDaemon(log, *file); err != nil {
		log.Error("saffronyard", "err", err)
		os.Exit(1)
	}
}

// newLogger makes a logger that writes to standard error in a format, "text" or "json".
func newLogger(format string, level slog.Leveler) (*slog.Logger, error) {
	o := &slog.HandlerOptions{Level: level}
	switch format {
	case "text":
		return slog.New(slog.NewTextHandler(os.Stderr, o)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(os.Stderr, o)), nil
	}
	return nil, usageError{invalidInput("unknown -log-format %q: want text or json", format)}
}
