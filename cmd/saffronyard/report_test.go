package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/peers"
	"saffronyard.example/saffronyard/internal/sender"
)

// A sender's report is printed as a table, or unchanged with -json. Without a sender, or with an invalid argument, the command fails.
func TestReportQuery(t *testing.T) {
	state := t.TempDir()
	run := func(what string, args ...string) (int, string, string) {
		var out, errs bytes.Buffer
		query := map[string]func([]string, func(string) string, io.Writer, io.Writer) int{"peers": peersCommand, "knowledge": knowledgeCommand}[what]
		code := query(args, func(string) string { return state }, &out, &errs)
		return code, out.String(), errs.String()
	}
	if code, _, errs := run("peers"); code != 1 || !strings.Contains(errs, "no sender answers") {
		t.Errorf("without a sender: %d, %s", code, errs)
	}
	l, err := net.Listen("unix", filepath.Join(state, sender.SocketName))
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peers", func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(sender.PeersReport{Name: "n0", Cluster: "portland", OwnFacts: 12, NowMS: 65_000, FactsBySource: map[string]int{"n1": 7},
			Members: []peers.Member{{Name: "n1", State: "here", Since: 5 * time.Second, Address: "127.0.0.1:1", Exchange: "127.0.0.1:2"}}})
	})
	mux.HandleFunc("GET /knowledge", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("receiver") == "9" {
			http.Error(w, "too busy", http.StatusServiceUnavailable)
			return
		}
		json.NewEncoder(w).Encode([]sender.KnownFact{{Receiver: 7, Kind: "health", Says: "out for 900 ms", Source: "n1", AgeMS: 1500, Trust: 0.93}})
	})
	s := &http.Server{Handler: mux}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	for _, c := range []struct {
		args []string
		code int
		want []string
	}{
		{[]string{"peers"}, 0, []string{`n0 of cluster "portland" tells 12 facts`, "n1", "1m0s", "127.0.0.1:2"}},
		{[]string{"peers", "-json"}, 0, []string{`"cluster":"portland"`}},
		{[]string{"peers", "n1"}, 2, []string{`takes no argument "n1"`}},
		{[]string{"knowledge"}, 0, []string{"RECEIVER", "health", "n1", "1.5s", "0.93", "out for 900 ms"}},
		{[]string{"knowledge", "-json", "7"}, 0, []string{`"receiver":7`}},
		{[]string{"knowledge", "north"}, 2, []string{`"north" is not a receiver number`}},
		{[]string{"knowledge", "9"}, 1, []string{"the sender says: too busy"}},
		{[]string{"knowledge", "-nonsense"}, 2, []string{"-nonsense"}},
	} {
		code, out, errs := run(c.args[0], c.args[1:]...)
		for _, want := range c.want {
			if code != c.code || !strings.Contains(out+errs, want) {
				t.Errorf("%v: %d, %s%s; want %d and %q", c.args, code, out, errs, c.code, want)
			}
		}
	}
}
