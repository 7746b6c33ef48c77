package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// flagCommand is a command from before cobra was used: it parses its flags with package flag ("-state" with one dash) and has its own
// texts and exit codes. The other commands use cobra and take flags with one or two dashes.
type flagCommand struct {
	name, short string
	run         func(args []string, getenv func(string) string, in io.Reader, out, errs io.Writer) int
}

var flagCommands = []flagCommand{
	{"check", "what the operators' file would turn on, or what is wrong with it", func(args []string, _ func(string) string, _ io.Reader, out, errs io.Writer) int {
		return checkCommand(args, out, errs)
	}},
	{"undelivered", "messages that were not delivered", withoutInput(undeliveredCommand)},
	{"work", "work behind the messages", withoutInput(workCommand)},
	{"zone", "zones, and members that are followed by name", zoneCommand},
	{"peers", "the other senders that this one knows", withoutInput(peersCommand)},
	{"knowledge", "what is known of receivers", withoutInput(knowledgeCommand)},
}

// withoutInput adapts a command that does not read standard input.
func withoutInput(run func(args []string, getenv func(string) string, out, errs io.Writer) int) func([]string, func(string) string, io.Reader, io.Writer, io.Writer) int {
	return func(args []string, getenv func(string) string, _ io.Reader, out, errs io.Writer) int {
		return run(args, getenv, out, errs)
	}
}

// cobraCommands are the names of the commands that cobra parses.
var cobraCommands = []string{"fleet", "policy", "limits", "verdicts", "help"}

// commandNames returns the names of all commands.
func commandNames() []string {
	var names []string
	for _, c := range flagCommands {
		names = append(names, c.name)
	}
	return append(names, cobraCommands...)
}

// isCommand reports whether word is the name of a command. The daemon itself takes only flags.
func isCommand(word string) bool { return slices.Contains(commandNames(), word) }

// command runs a command and returns its exit code: 2 for invalid arguments, 1 for a command that failed or was rejected.
func command(args []string, getenv func(string) string, in io.Reader, out, errs io.Writer) int {
	root := newRootCommand(getenv, in, out, errs)
	if slices.Contains(cobraCommands, args[0]) {
		args = twoDashes(args)
	}
	root.SetArgs(args)
	err := root.Execute()
	var usage usageError
	var code exitError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return int(code)
	case errors.As(err, &usage):
		fmt.Fprintln(errs, err)
		return 2
	}
	fmt.Fprintf(errs, "%s: %v\n", args[0], err)
	return 1
}

func newRootCommand(getenv func(string) string, in io.Reader, out, errs io.Writer) *cobra.Command {
	root := &cobra.Command{Use: "saffronyard", Short: "a sender of messages to outside destinations; without a command it runs", SilenceUsage: true, SilenceErrors: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true}}
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errs)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	for _, f := range flagCommands {
		root.AddCommand(&cobra.Command{Use: f.name, Short: f.short, DisableFlagParsing: true, RunE: func(_ *cobra.Command, args []string) error {
			if code := f.run(args, getenv, in, out, errs); code != 0 {
				return exitError(code)
			}
			return nil
		}})
	}
	s := &senderClient{}
	for _, c := range []*cobra.Command{s.fleetCommand(), s.policyCommand(), s.limitsCommand(), s.verdictsCommand()} {
		c.PersistentFlags().StringVar(&s.state, "state", getenv("EDGE_STATE"), "the sender's state `folder`; default $EDGE_STATE")
		c.PersistentFlags().BoolVar(&s.json, "json", false, "JSON in place of text")
		c.PersistentFlags().BoolVar(&s.current, "current", false, "what is read is no older than the question, as a majority confirms; without it it is this sender's copy")
		root.AddCommand(c)
	}
	return root
}

// twoDashes adds the second dash to long flags, so that the cobra commands also accept one dash like the flag commands. No flag is a
// single letter.
func twoDashes(args []string) []string {
	out := slices.Clone(args)
	for i, a := range out {
		if a == "--" {
			break
		}
		if len(a) > 2 && strings.HasPrefix(a, "-") && !strings.HasPrefix(a, "--") {
			out[i] = "-" + a
		}
	}
	return out
}

// exactArgs requires one argument for each name; its error contains the usage line.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return usageError{invalidInput("%s takes %d arguments, not %d: %s", c.CommandPath(), len(names), len(args), c.UseLine())}
		}
		return nil
	}
}

// requireSubcommand runs for a command that only groups subcommands and returns an error that lists them.
func requireSubcommand(c *cobra.Command, _ []string) error {
	names := ""
	for _, sub := range c.Commands() {
		names += " " + sub.Name()
	}
	return usageError{invalidInput("%s takes one of:%s", c.CommandPath(), names)}
}

// orElse returns text, or other if text is empty.
func orElse(text, other string) string {
	if text == "" {
		return other
	}
	return text
}
