package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"saffronyard.example/saffronyard/internal/sender"
)

// peersCommand is 'saffronyard peers': a running sender's list of the other senders.
func peersCommand(args []string, getenv func(string) string, out, errs io.Writer) int {
	query := reportQuery{name: "peers", print: printPeers}
	return query.run(args, getenv, out, errs)
}

func printPeers(raw []byte, out io.Writer) error {
	var r sender.PeersReport
	if err := json.Unmarshal(raw, &r); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s of cluster %q tells %d facts of its own\n", r.Name, r.Cluster, r.OwnFacts)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "PEER\tSTATE\tFOR\tMEMBERSHIP\tEXCHANGE\tHEARD")
	for _, m := range r.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n", m.Name, m.State, formatMillis(r.NowMS-m.Since.Milliseconds()), m.Address, m.Exchange, r.FactsBySource[m.Name])
	}
	return w.Flush()
}
