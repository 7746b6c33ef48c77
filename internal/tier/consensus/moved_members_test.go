package consensus

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// move stops a process, and starts it with its disk at another address.
func (w *simulation) move(s *site, address string) {
	s.stop(w.random.IntN(2) == 0)
	s.member = proto.CloneOf(s.member)
	s.member.Address = address
	w.startWithin(s, 500*time.Millisecond)
}

// A machine that restarts with its disk at another address is the same member: it counts again within the contact window, and the next
// loss is tolerated.
func TestReconfiguration_MemberMovesWithDisk(t *testing.T) {
	seeds := seedCount(10)
	if testing.Short() || raceDetector {
		seeds = 3
	}
	var settled time.Duration
	for seed := range uint64(seeds) {
		w := newSimulation(seed, 3, 1)
		w.boot()
		w.runUntil(5 * time.Second)
		for n := range 6 {
			w.move(w.sites[w.random.IntN(3)], fmt.Sprint("moved", n))
			w.seeds[n%3] = fmt.Sprint("moved", n)
			w.runUntil(w.now + 600*time.Millisecond)
			settled = max(settled, w.timeToRedundancy(w.window))
		}
		if l := w.newestPrimary(); l != nil {
			l.wipe()
			l.removed = true
			w.timeToService(w.window)
		}
		assert.Assert(t, len(w.violations) == 0, "seed %d: %v\n%s", seed, w.violations, w.lastTrace())
	}
	t.Logf("%v until the next loss is tolerated", settled)
}

// All machines restart with their disks, each at another address, and find each other by the configured seeds.
func TestReconfiguration_AllMembersMoveWithDisks(t *testing.T) {
	seeds := seedCount(10)
	if testing.Short() || raceDetector {
		seeds = 3
	}
	for _, losses := range []int{1, 2} {
		var served time.Duration
		for seed := range uint64(seeds) {
			w := newSimulation(seed, 2*losses+1, losses)
			w.boot()
			w.runUntil(5 * time.Second)
			w.seeds = nil
			for i, s := range w.sites {
				w.move(s, fmt.Sprint("moved", i))
				if i < 3 {
					w.seeds = append(w.seeds, s.member.Address)
				}
			}
			w.runUntil(w.now + 500*time.Millisecond)
			served = max(served, w.timeToService(w.window))
			w.timeToRedundancy(w.window)
			assert.Assert(t, len(w.violations) == 0, "losses %d, seed %d: %v\n%s", losses, seed, w.violations, w.lastTrace())
		}
		t.Logf("%d losses: %v until a write is acknowledged", losses, served)
	}
}
