package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"saffronyard.example/saffronyard/internal/cloudevents"
	"saffronyard.example/saffronyard/internal/features"
)

// checkCommand is 'saffronyard check': it prints what a file would enable, or what is wrong with the file. With an event, a file in the
// JSON format, it also prints which rule matches and the resulting message. The exit code is 1 for an event that would be rejected.
func checkCommand(args []string, out, errs io.Writer) int {
	flags := flag.NewFlagSet("saffronyard check", flag.ContinueOnError)
	flags.SetOutput(errs)
	event := flags.String("event", "", "a `file` with an event in JSON: say which rule fits it")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	if flags.NArg() != 1 {
		fmt.Fprintln(errs, "saffronyard check [-event EVENT.json] FILE")
		return 2
	}
	f, err := features.Load(flags.Arg(0))
	if err != nil {
		fmt.Fprintln(errs, err)
		return 2
	}
	for _, l := range f.Lines() {
		fmt.Fprintln(out, l)
	}
	if *event == "" {
		return 0
	}
	return explainEvent(f, *event, out, errs)
}

// explainEvent prints how the rules of a file treat the event in another file.
func explainEvent(f *features.Features, path string, out, errs io.Writer) int {
	raw, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(errs, err)
		return 2
	}
	e, err := cloudevents.ReadStructured(raw)
	if err != nil {
		fmt.Fprintf(errs, "%s: %v\n", path, err)
		return 2
	}
	if f.Events == nil {
		fmt.Fprintln(errs, "events are off: the file has no [events]")
		return 1
	}
	rules := f.Events.Mapping()
	for _, l := range rules.Explain(e) {
		fmt.Fprintln(out, l)
	}
	if _, _, err := rules.Find(e); err != nil {
		return 1
	}
	return 0
}
