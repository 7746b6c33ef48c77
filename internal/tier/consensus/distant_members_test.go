package consensus

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// playDistantMembers runs replicas without faults but with network delays: a message takes what oneWay returns, a sync of a disk takes
// sync. It returns the replicas and how often each became primary of a view.
func playDistantMembers(n, losses int, window, until, sync time.Duration, oneWay func(from, to int) time.Duration) (machines []*replica, leaderships []int) {
	var queue timedActions
	var now time.Duration
	order := 0
	after := func(d time.Duration, do func()) {
		order++
		heap.Push(&queue, timedAction{now + d, order, do})
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprint("a", i))
	}
	index := make(map[string]int)
	token := uint64(0)
	waiting := make(map[uint64]func(proto.Message))
	busy := make([]bool, n)
	inbox := make([][]event, n)
	var step func(i int, events ...event)
	send := func(i int, c outgoingCall) {
		j, ended := index[c.address], false
		end := func(body proto.Message) {
			if !ended {
				ended = true
				step(i, callResult{c.id, body})
			}
		}
		after(c.timeout, func() { end(nil) })
		after(oneWay(i, j), func() {
			token++
			waiting[token] = func(body proto.Message) { after(oneWay(j, i), func() { end(proto.Clone(body)) }) }
			step(j, incomingCall{token, proto.Clone(c.body)})
		})
	}
	step = func(i int, events ...event) {
		inbox[i] = append(inbox[i], events...)
		if busy[i] {
			return
		}
		events, inbox[i] = inbox[i], nil
		m := machines[i]
		out := m.Step(now, events...)
		for _, changed := range out.transitions {
			if changed.message == "became primary" {
				leaderships[i]++
			}
		}
		for _, c := range out.unsyncedCalls {
			send(i, c)
		}
		finish := func() {
			busy[i] = false
			for _, r := range out.replies {
				waiting[r.token](r.body)
				delete(waiting, r.token)
			}
			for _, c := range out.calls {
				send(i, c)
			}
			if len(inbox[i]) > 0 {
				step(i)
				return
			}
			after(max(m.nextStepAt()-now, time.Millisecond), func() {
				if now >= m.nextStepAt() {
					step(i, tick{})
				}
			})
		}
		if !out.sync {
			finish()
			return
		}
		busy[i] = true
		after(sync, finish)
	}
	for i := range n {
		self := &tierv1.Member{Address: fmt.Sprint("a", i), Zone: fmt.Sprint("z", i%3), Region: fmt.Sprint("r", i%2)}
		index[self.Address] = i
		d := durableState{identity: identity{Folder: fmt.Sprint("f", i), Seeds: seeds, Genesis: i < 3}}
		machines = append(machines, newReplica(d, replicaConfig{self: self, seeds: seeds, toleratedLosses: losses, timing: newTiming(window, 1200*time.Millisecond), jitterSeed: uint64(i)}))
		leaderships = append(leaderships, 0)
		after(0, func() { step(i, tick{}) })
	}
	for len(queue) > 0 && queue[0].at <= until {
		next := heap.Pop(&queue).(timedAction)
		now = next.at
		next.do()
	}
	return machines, leaderships
}

// A member of a distant region replies later than the near majority. The primary waits for it or continues without it; it must not propose
// view after view, each of which leaves the member out again.
func TestProposal_IncludesDistantMembers(t *testing.T) {
	for _, losses := range []int{1, 2} {
		for _, n := range []int{3, 4, 5} {
			for _, window := range []time.Duration{1200 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second} {
				for _, way := range []int{12, 20, 34, 40} {
					for _, sync := range []int{1, 10} {
						name := fmt.Sprint(losses, " losses, ", n, " machines, window ", window, ", way ", way, " ms, sync ", sync, " ms")
						machines, leaderships := playDistantMembers(n, losses, window, 20*time.Second, time.Duration(sync)*time.Millisecond, func(from, to int) time.Duration {
							if from%2 == to%2 {
								return time.Millisecond
							}
							return time.Duration(way) * time.Millisecond
						})
						total, primaries := 0, 0
						for i, m := range machines {
							total += leaderships[i]
							if m.primary != nil {
								primaries++
								should, _ := m.backupCounts(len(m.primary.view.Members))
								assert.Equal(t, len(m.primary.view.Backups), should, name)
							}
						}
						assert.Equal(t, primaries, 1, name)
						assert.Assert(t, total <= 20, "%s: %d views", name, total)
					}
				}
			}
		}
	}
}
