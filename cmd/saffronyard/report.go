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
	name         string                                // of the command, and of the report's path
	takeReceiver bool                                  // it may be narrowed to one receiver by its number
	print        func(raw []byte, out io.Writer) error // as a table
}

// run runs the command and returns its exit code: 2 for wrong words, 1 where the sender does not answer or refuses.
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
		fmt.Fprintln(errs, "-state names the sender's state folder, as EDGE_STATE does")
		return 2
	case q.takeReceiver && f.NArg() == 1:
		if _, err := strconv.ParseUint(f.Arg(0), 10, 32); err != nil {
			fmt.Fprintf(errs, "%q is no receiver's number\n", f.Arg(0))
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
