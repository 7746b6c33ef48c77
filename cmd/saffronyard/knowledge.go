package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"saffronyard.example/saffronyard/internal/sender"
)

// knowledgeCommand is 'saffronyard knowledge [RECEIVER]': a running sender's knowledge about receivers.
func knowledgeCommand(args []string, getenv func(string) string, out, errs io.Writer) int {
	query := reportQuery{name: "knowledge", acceptsReceiver: true, print: printKnowledge}
	return query.run(args, getenv, out, errs)
}

func printKnowledge(raw []byte, out io.Writer) error {
	var all []sender.KnownFact
	if err := json.Unmarshal(raw, &all); err != nil {
		return err
	}
	slices.SortStableFunc(all, func(a, b sender.KnownFact) int { return int(int64(a.Receiver) - int64(b.Receiver)) })
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "RECEIVER\tENDPOINT\tFACT\tSOURCE\tAGE\tTRUST\tSAYS")
	for _, f := range all {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%.2f\t%s\n", f.Receiver, f.Endpoint, f.Kind, f.Source, formatMillis(f.AgeMS), f.Trust, f.Says)
	}
	return w.Flush()
}
