package main

import (
	"flag"
	"fmt"
	"io"
	"path/filepath"
	"strconv"

	"saffronyard.example/saffronyard/internal/sender"
)

// reportQuery is a command that shows one report of a running sender: 'saffronyard peers' and 'saffronyard knowledge [RECEIVER]'.
type reportQuery struct {
	name            string                                // name of the command and of the report's path
	acceptsReceiver bool                                  // an argument may restrict the report to one receiver, by its number
	print           func(raw []byte, out io.Writer) error // prints the report as a table
}

// run runs the command and returns its exit code: 2 for invalid arguments, 1 if the sender does not answer or rejects the request.
func (q reportQuery) run(args []string, getenv func(string) string, out, errs io.Writer) int {
	f := flag.NewFlagSet("saffronyard "+q.name, flag.ContinueOnError)
	f.SetOutput(errs)
	state := f.String("state", getenv("EDGE_STATE"), "the sender's state `folder`; default $EDGE_STATE")
	asJSON := f.Bool("json", false, "JSON in place of a table")
	if err := f.Parse(args); err != nil {
		return 2
	}
	path := "/" + q.name
	switch {
	case *state == "":
		fmt.Fprintln(errs, "no state folder: set -state or EDGE_STATE")
		return 2
	case q.acceptsReceiver && f.NArg() == 1:
		if _, err := strconv.ParseUint(f.Arg(0), 10, 32); err != nil {
			fmt.Fprintf(errs, "%q is not a receiver number\n", f.Arg(0))
			return 2
		}
		path += "?receiver=" + f.Arg(0)
	case f.NArg() > 0:
		fmt.Fprintf(errs, "saffronyard %s takes no argument %q\n", q.name, f.Arg(f.NArg()-1))
		return 2
	}
	raw, err := getFromSocket(filepath.Join(*state, sender.SocketName), path)
	if err == nil && *asJSON {
		_, err = out.Write(raw)
	} else if err == nil {
		err = q.print(raw, out)
	}
	if err != nil {
		fmt.Fprintf(errs, "%s: %v\n", q.name, err)
		return 1
	}
	return 0
}
