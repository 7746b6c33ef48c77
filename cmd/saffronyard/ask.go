package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"saffronyard.example/saffronyard/internal/fleet"
	"saffronyard.example/saffronyard/internal/sender"
)

const askTimeout = 5 * time.Second

// askCommand shows what a sender that runs knows of its peers, or of receivers: 'saffronyard peers' and
// 'saffronyard knowledge [RECEIVER]'.
func askCommand(what string, args []string, getenv func(string) string, out, errs io.Writer) int {
	f := flag.NewFlagSet("saffronyard "+what, flag.ContinueOnError)
	f.SetOutput(errs)
	state := f.String("state", getenv("EDGE_STATE"), "the sender's state `folder`; default $EDGE_STATE")
	asJSON := f.Bool("json", false, "JSON in place of a table")
	if err := f.Parse(args); err != nil {
		return 2
	}
	path := "/" + what
	switch {
	case *state == "":
		fmt.Fprintln(errs, "-state names the sender's state folder, as EDGE_STATE does")
		return 2
	case what == "knowledge" && f.NArg() == 1:
		if _, err := strconv.ParseUint(f.Arg(0), 10, 32); err != nil {
			fmt.Fprintf(errs, "%q is no receiver's number\n", f.Arg(0))
			return 2
		}
		path += "?receiver=" + f.Arg(0)
	case f.NArg() > 0:
		fmt.Fprintf(errs, "saffronyard %s takes no argument %q\n", what, f.Arg(f.NArg()-1))
		return 2
	}
	raw, err := overSocket(filepath.Join(*state, sender.SocketName), path)
	if err == nil && *asJSON {
		_, err = out.Write(raw)
	} else if err == nil && what == "peers" {
		err = showPeers(raw, out)
	} else if err == nil {
		err = showKnowledge(raw, out)
	}
	if err != nil {
		fmt.Fprintf(errs, "%s: %v\n", what, err)
		return 1
	}
	return 0
}

func overSocket(socket, path string) ([]byte, error) { return askSocket(http.MethodGet, socket, path) }

// askSocket asks a sender that runs by its socket.
func askSocket(method, socket, path string) ([]byte, error) {
	return askSocketAs(method, socket, path, "", nil)
}

// askSocketAs does so in somebody's name, with a body.
func askSocketAs(method, socket, path, by string, body []byte) ([]byte, error) {
	client := http.Client{Timeout: askTimeout, Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "unix", socket)
		}}}
	req, err := http.NewRequest(method, "http://sender"+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if by != "" {
		req.Header.Set(fleet.AuthorHeader, by)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("no sender answers (it runs with [peers], [knowledge], [dns], [fleet] or [work] in its file?): %w", err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the sender says: %s", strings.TrimSpace(string(raw)))
	}
	return raw, nil
}

func millis(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond).String()
}

func showPeers(raw []byte, out io.Writer) error {
	var r sender.PeersReport
	if err := json.Unmarshal(raw, &r); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s of cluster %q tells %d facts of its own\n", r.Name, r.Cluster, r.OwnFacts)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "PEER\tSTATE\tFOR\tMEMBERSHIP\tEXCHANGE\tHEARD")
	for _, m := range r.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\n", m.Name, m.State, millis(r.NowMS-m.Since.Milliseconds()), m.Address, m.Exchange, r.HeldFacts[m.Name])
	}
	return w.Flush()
}

func showKnowledge(raw []byte, out io.Writer) error {
	var all []sender.KnownFact
	if err := json.Unmarshal(raw, &all); err != nil {
		return err
	}
	slices.SortStableFunc(all, func(a, b sender.KnownFact) int { return int(int64(a.Receiver) - int64(b.Receiver)) })
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "RECEIVER\tENDPOINT\tFACT\tSOURCE\tAGE\tTRUST\tSAYS")
	for _, f := range all {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%.2f\t%s\n", f.Receiver, f.Endpoint, f.Kind, f.Source, millis(f.AgeMS), f.Trust, f.Says)
	}
	return w.Flush()
}
