package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// The commands beside the daemon itself. Those that were there before cobra read their own flags, as they always did: "-state"
// with one dash, texts and exit codes included. The others take either number of dashes.

// older is a command that reads its own flags.
type older struct {
	use, short string
	run        func(args []string, getenv func(string) string, in io.Reader, out, errs io.Writer) int
}

var olders = []older{
	{"check", "what the operators' file would turn on, or what is wrong with it", func(args []string, _ func(string) string, _ io.Reader, out, errs io.Writer) int {
		return check(args, out, errs)
	}},
	{"undelivered", "messages that were not delivered", func(args []string, getenv func(string) string, _ io.Reader, out, errs io.Writer) int {
		return undeliveredCommand(args, getenv, out, errs)
	}},
	{"work", "work behind the messages", func(args []string, getenv func(string) string, _ io.Reader, out, errs io.Writer) int {
		return workCommand(args, getenv, out, errs)
	}},
	{"zone", "zones, and members that are followed by name", zoneCommand},
	{"peers", "the other senders that this one knows", func(args []string, getenv func(string) string, _ io.Reader, out, errs io.Writer) int {
		return askCommand("peers", args, getenv, out, errs)
	}},
	{"knowledge", "what is known of receivers", func(args []string, getenv func(string) string, _ io.Reader, out, errs io.Writer) int {
		return askCommand("knowledge", args, getenv, out, errs)
	}},
}

// newer are those that cobra reads.
var newer = []string{"fleet", "policy", "limits", "verdicts", "help"}

// commandNames are all of them.
func commandNames() []string {
	var names []string
	for _, o := range olders {
		names = append(names, o.use)
	}
	return append(names, newer...)
}

// isCommand reports whether a word begins a command; the daemon itself takes flags alone.
func isCommand(word string) bool { return slices.Contains(commandNames(), word) }

// exitCode is how an older command ended: it has said why.
type exitCode int

func (c exitCode) Error() string { return fmt.Sprintf("exit %d", int(c)) }

// command runs one, and gives the exit code: 2 for words that mean nothing, 1 for what failed or was refused.
func command(args []string, getenv func(string) string, in io.Reader, out, errs io.Writer) int {
	root := &cobra.Command{Use: "saffronyard", Short: "a sender of messages to outside destinations; without a command it runs", SilenceUsage: true, SilenceErrors: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true}}
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errs)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errUsage{err} })
	for _, o := range olders {
		root.AddCommand(&cobra.Command{Use: o.use, Short: o.short, DisableFlagParsing: true, RunE: func(_ *cobra.Command, args []string) error {
			if code := o.run(args, getenv, in, out, errs); code != 0 {
				return exitCode(code)
			}
			return nil
		}})
	}
	at := &atSender{}
	for _, c := range []*cobra.Command{at.fleet(), at.policy(), at.limits(), at.verdicts()} {
		c.PersistentFlags().StringVar(&at.state, "state", getenv("EDGE_STATE"), "the sender's state `folder`; default $EDGE_STATE")
		c.PersistentFlags().BoolVar(&at.json, "json", false, "JSON in place of text")
		c.PersistentFlags().BoolVar(&at.current, "current", false, "what is read is no older than the question, as a majority confirms; without it it is this sender's copy")
		root.AddCommand(c)
	}
	if slices.Contains(newer, args[0]) {
		args = twoDashes(args)
	}
	root.SetArgs(args)
	err := root.Execute()
	var usage errUsage
	var code exitCode
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

// twoDashes lets a long flag be written with one dash, as the older commands have them; no flag is a letter.
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
