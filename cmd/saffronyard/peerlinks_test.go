package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/day"
	"saffronyard.example/saffronyard/internal/faulttest/script"
	"saffronyard.example/saffronyard/internal/sender"
)

const peersDay = `
[day]
seconds = 45
rate = 10
senders = 3
receivers = 2
features = '''
[knowledge]
[peers]
cluster = "links"
seeds = ["{n0}:7946"]
{reach peers 7946 7947}
'''
[[link]]
do = "lose"
from = "all"
to = "all"
at = "100ms"
for = "44s"
[[link]]
do = "cut"
from = "n2"
to = "all"
both = true
at = "3s"
for = "40s"
`

// Link faults apply to the datagrams of membership as well as to connections. With a third of the datagrams lost, three processes find
// each other; a partitioned process is reported dead on both sides, and is a member again after the links are healed.
func TestPeers_MembershipThroughLinks(t *testing.T) {
	t.Parallel()
	acquireScenarioSlot(t)
	s, err := script.Parse("peers.toml", []byte(peersDay))
	if err != nil {
		t.Fatal(err)
	}
	plan, err := s.Make()
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	during := func(ctx context.Context, d *day.Day) {
		defer stop() // the rest of the run tests nothing more
		wait := func(what string, at int, states map[string]string) {
			last := ""
			for end := time.Now().Add(40 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
				raw, err := requestFromSocket("GET", filepath.Join(d.Sender(at).State(), sender.SocketName), "/peers")
				var r sender.PeersReport
				if err == nil {
					err = json.Unmarshal(raw, &r)
				}
				is := map[string]string{}
				for _, m := range r.Members {
					is[m.Name] = m.State
				}
				if last = fmt.Sprint(is, err); last == fmt.Sprint(states, nil) {
					return
				}
			}
			t.Errorf("%s: n%d reports %s, want %v", what, at, last, states)
		}
		for at, others := range [][2]string{{"n1", "n2"}, {"n0", "n2"}, {"n0", "n1"}} {
			wait("at the start", at, map[string]string{others[0]: "here", others[1]: "here"})
		}
		wait("cut off", 0, map[string]string{"n1": "here", "n2": "dead"})
		wait("cut off", 2, map[string]string{"n0": "dead", "n1": "dead"})
		d.Heal()
		for at, others := range [][2]string{{"n1", "n2"}, {"n0", "n2"}, {"n0", "n1"}} {
			wait("healed", at, map[string]string{others[0]: "here", others[1]: "here"})
		}
	}
	if _, _, err := day.Play(ctx, plan, day.Options{Command: senderCommand(), Folder: t.TempDir(), During: during}); err != nil && !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
}
