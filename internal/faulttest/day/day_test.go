package day

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/judge"
	"saffronyard.example/saffronyard/internal/faulttest/mutant"
	"saffronyard.example/saffronyard/internal/faulttest/script"
)

// The test binary runs itself as the sender: the small sender of package mutant, without a fault.
func TestMain(m *testing.M) {
	if os.Getenv("EDGE_CONFIG") != "" {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		signal.Ignore(syscall.SIGHUP) // it does not reload: it keeps the address of discovery that it started with
		if err := mutant.Run(ctx, mutant.Right, os.Getenv); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func makePlan(t *testing.T, text string) *script.Plan {
	t.Helper()
	s, err := script.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	p, err := s.Make()
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func options(t *testing.T) Options {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Options{Command: []string{self}, Folder: t.TempDir()}
}

// endpointStates returns the states of an endpoint in the events of a kind, in order: those in the list, or those sent to sender n0.
func endpointStates(events []eventlog.Event, kind eventlog.Kind, endpoint string) string {
	var all []string
	for _, e := range events {
		if e.Kind == kind && e.Endpoint == endpoint && (e.Sender == "" || e.Sender == "n0") {
			all = append(all, e.State)
		}
	}
	return strings.Join(all, " ")
}

// Two overlapping drains act as one, from the start of the first to the end of the last, regardless of other faults of the receiver.
// A replaced endpoint is drained and then removed, and the new one is listed.
func TestPlay_DrainingAndReplacement(t *testing.T) {
	t.Parallel()
	p := makePlan(t, `
[day]
seconds = 6
rate = 20
senders = 1
receivers = 3
endpoints = [2, 2]
list_delay = "50ms"
[[trouble]]
what = "drain"
only = 1
at = "500ms"
for = "2s"
who = {name = "r0"}
[[trouble]]
what = "drain"
at = "1500ms"
for = "2s"
who = {name = "r0"}
[[trouble]]
what = "slow"
factor = 2
at = "1s"
for = "2s"
who = {name = "r0"}
[[list]]
do = "replace"
at = "500ms"
who = {name = "r1"}
`)
	events, _, err := Play(context.Background(), p, options(t))
	if err != nil {
		t.Fatal(err)
	}
	for endpoint, want := range map[string]string{
		"r0-e0": "SERVING DRAINING SERVING", "r0-e1": "SERVING DRAINING SERVING", // r0-e0 is in both drains
		"r1-e0": "SERVING DRAINING DELETED", "r1-e2": "SERVING", "r2-e0": "SERVING",
	} {
		if got := endpointStates(events, eventlog.Changed, endpoint); got != want {
			t.Errorf("states of %s in the list: %s, want %s", endpoint, got, want)
		}
		if got := endpointStates(events, eventlog.ListSent, endpoint); got != want {
			t.Errorf("states of %s sent to the sender: %s, want %s", endpoint, got, want)
		}
	}
	first := func(endpoint, state string) (at int64) {
		for _, e := range events {
			if e.Kind == eventlog.Changed && e.Endpoint == endpoint && e.State == state && e.T > 0 {
				at = e.T
			}
		}
		return at
	}
	if from, to := first("r0-e0", "DRAINING"), first("r0-e0", "SERVING"); from < 500_000 || from > 1_500_000 || to < 3_500_000 {
		t.Errorf("the overlapping drains last from %d to %d µs, want a start at 0.5 to 1.5 s and an end from 3.5 s on", from, to)
	}
}

// A day on which the kit stalls for a while is inconclusive.
func TestLateKit(t *testing.T) {
	t.Parallel()
	p := makePlan(t, "[day]\nseconds = 2\nrate = 20\nsenders = 1\nreceivers = 2\n")
	o := options(t)
	var once sync.Once
	o.Watch = func(e eventlog.Event) {
		if e.Kind == eventlog.Done && e.T > 500_000 {
			once.Do(func() { time.Sleep(120 * time.Millisecond) }) // holds the log's lock, so that all simulated components wait
		}
	}
	events, _, err := Play(context.Background(), p, o)
	if err != nil {
		t.Fatal(err)
	}
	r, err := judge.Judge(events)
	if err != nil {
		t.Fatal(err)
	}
	if r.Exit() != judge.ExitInconclusive || !strings.Contains(r.Late, "late") {
		t.Errorf("exit %d, %q", r.Exit(), r.Late)
	}
}

// A day that is interrupted stops its senders and has no end event in its log.
func TestInterrupted(t *testing.T) {
	t.Parallel()
	p := makePlan(t, "[day]\nseconds = 60\nrate = 20\nsenders = 2\nreceivers = 2\n[[sender]]\ndo = \"restart\"\nwhich = \"n0\"\nat = \"200ms\"\n")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o := options(t)
	o.Watch = func(e eventlog.Event) {
		if e.Kind == eventlog.Term {
			cancel()
		}
	}
	events, _, err := Play(ctx, p, o)
	if !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	starts, exits := 0, 0
	for _, e := range events {
		switch e.Kind {
		case eventlog.Start:
			starts++
		case eventlog.Exit:
			exits++
		case eventlog.End:
			t.Error("the log of an interrupted day has an end event")
		default: // other events do not matter here
		}
	}
	if starts != 2 || exits != 2 {
		t.Errorf("%d sender processes started and %d ended, want 2 each", starts, exits)
	}
}

// When discovery moves, a sender joins and another loses its disk, the log has a ready event for each sender process, and the sender
// that joined gets its share of the messages.
func TestSendersComeAndGo(t *testing.T) {
	t.Parallel()
	p := makePlan(t, `
[day]
seconds = 5
rate = 20
senders = 2
receivers = 3
[[class]]
name = "card-event"
deadline = "4s"
[[list]]
do = "move"
at = "500ms"
[[sender]]
do = "join"
at = "1s"
[[sender]]
do = "lose"
which = "n1"
at = "1500ms"
`)
	events, use, err := Play(context.Background(), p, options(t))
	if err != nil {
		t.Fatal(err)
	}
	ready := map[string]int{}
	for _, e := range events {
		switch e.Kind {
		case eventlog.Ready:
			ready[e.Sender]++
		case eventlog.KitFailure:
			t.Error(e.Detail)
		default: // other events do not matter here
		}
	}
	if fmt.Sprint(ready) != "map[n0:1 n1:2 n2:1]" {
		t.Errorf("ready events by sender: %v", ready)
	}
	if use.Senders <= 0 || use.Kit <= 0 || use.Memory <= 0 {
		t.Errorf("the usage lacks CPU time or memory: %+v", use)
	}
	handIns := map[string]int{}
	for _, e := range events {
		if e.Kind == eventlog.HandIn {
			handIns[e.Sender]++
		}
	}
	if handIns["n0"] == 0 {
		t.Errorf("no messages were handed in at n0: %v", handIns)
	}
	// Once n2 is ready, it gets its share: a third while three senders are up, half while n1 is lost.
	n2Ready, all, joined := false, 0, 0
	for _, e := range events {
		switch {
		case e.Kind == eventlog.Ready && e.Sender == "n2":
			n2Ready = true
		case e.Kind == eventlog.HandIn && n2Ready:
			if all++; e.Sender == "n2" {
				joined++
			}
		}
	}
	if all < 30 || joined*5 < all || joined*3 > 2*all {
		t.Errorf("the sender that joined got %d of %d messages", joined, all)
	}
}

// Each address is allocated only once and lies in 127.0.0.0/8.
func TestHosts(t *testing.T) {
	h := newHosts()
	seen := map[string]bool{}
	for range 5000 {
		a := h.next()
		if seen[a] || !strings.HasPrefix(a, "127.") || strings.HasSuffix(a, ".0") || strings.HasSuffix(a, ".255") {
			t.Fatalf("%s", a)
		}
		seen[a] = true
	}
}

// Each sender's features file names the other senders by its own links. The log has the start and the end of a link's fault, and
// the copy and the restoration of a sender's folder.
func TestLinksAndFolders(t *testing.T) {
	t.Parallel()
	p := makePlan(t, `
[day]
seconds = 3
rate = 10
senders = 2
receivers = 2
features = """
mine = "{n0:7948}"
other = "{n1:7948}"
host = "{n1}"
"""
[[sender]]
do = "keep"
which = "n1"
at = "300ms"
[[link]]
do = "cut"
from = "n0"
to = "n1"
at = "500ms"
for = "500ms"
[[sender]]
do = "old"
which = "n1"
at = "1s"
`)
	o := options(t)
	events, _, err := Play(context.Background(), p, o)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, e := range events {
		switch e.Kind {
		case eventlog.Link, eventlog.Folder, eventlog.KitFailure:
			got = append(got, strings.TrimSpace(e.Sender+" "+e.Endpoint+" "+e.Detail))
		default: // other events do not matter here
		}
	}
	if want := "n1  kept, n0 n1 cut, n0 n1 heal, n1  old"; strings.Join(got, ", ") != want {
		t.Errorf("%q", got)
	}
	files := map[string]string{}
	for _, n := range []string{"n0", "n1"} {
		raw, err := os.ReadFile(filepath.Join(o.Folder, "features-"+n+".toml"))
		if err != nil {
			t.Fatal(err)
		}
		files[n] = string(raw)
	}
	line := func(n, key string) string {
		_, rest, _ := strings.Cut(files[n], key+` = "`)
		value, _, _ := strings.Cut(rest, `"`)
		return value
	}
	if line("n0", "host") != line("n1", "host") || line("n1", "other") != line("n1", "host")+":7948" {
		t.Errorf("%q", files)
	}
	for _, link := range []string{line("n0", "other"), line("n1", "mine")} {
		if !strings.HasPrefix(link, "127.0.0.1:") { // the address of links; senders listen on their own hosts
			t.Errorf("%q is not the address of a link", link)
		}
	}
}
