package consensus

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func (w *simulation) boot() {
	for _, s := range w.sites {
		w.after(time.Duration(w.random.Int64N(int64(300*time.Millisecond))), func() { s.start(true) })
	}
}

func (w *simulation) lastTrace() string {
	return strings.Join(w.trace[max(0, len(w.trace)-60):], "\n")
}

// randomFaults injects random faults until a time; with wipes, also losses of disks.
func (w *simulation) randomFaults(until time.Duration, wipes bool) {
	if w.now >= until {
		return
	}
	s := w.sites[w.random.IntN(len(w.sites))]
	o := w.sites[w.random.IntN(len(w.sites))]
	restart := func() {
		w.after(time.Duration(w.random.Int64N(int64(1500*time.Millisecond))), func() { s.start(false) })
	}
	switch w.random.IntN(9) {
	case 0:
		w.partitions[[2]string{s.member.Address, o.member.Address}] = true
	case 1:
		for _, x := range w.sites {
			w.partitions[[2]string{s.member.Address, x.member.Address}] = true
			w.partitions[[2]string{x.member.Address, s.member.Address}] = true
		}
	case 2, 3, 4:
		clear(w.partitions)
	case 5:
		s.stop(false)
		restart()
	case 6:
		s.stop(true)
		restart()
	case 7:
		if wipes && w.mayWipe() {
			s.wipe()
			w.logf("wiped %s", s.member.Address)
			restart()
		}
	case 8:
		if w.random.IntN(6) == 0 {
			for _, x := range w.sites {
				x.stop(true)
				w.after(time.Duration(w.random.Int64N(int64(time.Second))), func() { x.start(false) })
			}
		}
	}
	w.after(time.Duration(w.random.Int64N(int64(600*time.Millisecond))), func() { w.randomFaults(until, wipes) })
}

// seedCount returns the number of seeds of a test: defaultCount, unless CONTROL_SEEDS sets another.
func seedCount(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("CONTROL_SEEDS")); err == nil {
		return n
	}
	return defaultCount
}

func playRandomFaults(seed uint64, n, losses int, p mutant) *simulation {
	w := newSimulation(seed, n, losses)
	w.mutant = p
	w.boot()
	w.faultRate = []float64{0, 0.02, 0.2}[seed%3]
	end := 25 * time.Second
	w.load(end)
	w.after(3*time.Second, func() { w.randomFaults(end, true) })
	w.runUntil(end)
	return w
}

func TestReplica_RandomFaults(t *testing.T) {
	seeds := seedCount(5)
	var worst time.Duration
	acked := 0
	for _, size := range [][2]int{{3, 1}, {4, 1}, {5, 1}, {5, 2}, {6, 2}} {
		for seed := range uint64(seeds) {
			w := playRandomFaults(seed, size[0], size[1], mutant{})
			took, ok := w.recover(8 * time.Second)
			worst = max(worst, took)
			acked += len(w.acknowledged)
			assert.Assert(t, len(w.violations) == 0, "size %v seed %d: %v\n%s", size, seed, w.violations, w.lastTrace())
			assert.Assert(t, ok, "size %v seed %d: no write is acknowledged after the faults\n%s", size, seed, w.lastTrace())
			w.runUntil(w.now + 4*time.Second)
			assert.Assert(t, len(w.violations) == 0, "size %v seed %d: %v", size, seed, w.violations)
			assert.Assert(t, w.isComplete(), "size %v seed %d: the view is not complete again: %v\n%s", size, seed, w.newestView, w.lastTrace())
		}
	}
	t.Logf("acknowledged %d, longest recovery %v", acked, worst)
}

// One message of a run without other faults is lost, duplicated or delayed, or its sender or receiver fails; then all members lose power.
func TestReplica_OneMessageFault(t *testing.T) {
	step := 17 // every 17th message; every message if CONTROL_SEEDS is set
	if seedCount(0) > 0 {
		step = 1
	}
	for kind := lost; kind < messageFaultCount; kind++ {
		for n := 1 + int(kind)%3; n < 240; n += step {
			w := newSimulation(uint64(n), 4, 1)
			w.chooseFault = func(i int) messageFault {
				if i == n {
					return kind
				}
				return none
			}
			w.boot()
			w.load(4 * time.Second)
			w.runUntil(4 * time.Second)
			where := fmt.Sprintf("kind %d message %d", kind, n)
			w.chooseFault = nil
			for _, s := range w.sites {
				s.stop(true)
			}
			_, ok := w.recover(6 * time.Second)
			assert.Assert(t, len(w.violations) == 0, "%s: %v\n%s", where, w.violations, w.lastTrace())
			assert.Assert(t, ok, "%s: no write is acknowledged after the faults\n%s", where, w.lastTrace())
			assert.Assert(t, len(w.acknowledged) > 1, where)
		}
	}
}

// A primary that failed is replaced, or becomes primary again, well within the contact window of three seconds.
func TestFailover(t *testing.T) {
	seeds := 200
	if testing.Short() || raceDetector {
		seeds = 20
	}
	for _, c := range []struct {
		name      string
		powerLoss bool
		downtime  time.Duration // until the process is back; 0: never
		limit     time.Duration
	}{
		{"killed, starts again after 0.5 s", false, 500 * time.Millisecond, 800 * time.Millisecond},
		{"killed, starts again after 0.1 s", false, 100 * time.Millisecond, 800 * time.Millisecond},
		{"killed for good", false, 0, 1500 * time.Millisecond},
		{"without power for good", true, 0, 1500 * time.Millisecond},
	} {
		for _, size := range [][2]int{{3, 1}, {5, 2}} {
			var spans []time.Duration
			for seed := range uint64(seeds) {
				w := newSimulation(seed, size[0], size[1])
				w.boot()
				w.runUntil(5*time.Second + time.Duration(seed)*7*time.Millisecond)
				var old *site
				for _, s := range w.sites {
					if s.replica.primary != nil {
						old = s
					}
				}
				assert.Assert(t, old != nil, w.lastTrace())
				old.stop(c.powerLoss)
				old.unpowered, old.removed = c.powerLoss, c.downtime == 0
				if c.downtime > 0 {
					w.after(c.downtime, func() { old.start(false) })
				}
				began, n := w.now, len(w.acknowledged)
				for len(w.acknowledged) == n && w.now < began+5*time.Second && len(w.violations) == 0 {
					w.runUntil(w.now + 5*time.Millisecond)
					w.put(true)
				}
				spans = append(spans, w.now-began)
				assert.Assert(t, len(w.violations) == 0, "%s seed %d: %v\n%s", c.name, seed, w.violations, w.lastTrace())
			}
			slices.Sort(spans)
			t.Logf("%s, %d machines: p50 %v, max %v", c.name, size[0], spans[seeds/2], spans[seeds-1])
			assert.Assert(t, spans[seeds-1] < c.limit, "%s, %d machines: %v", c.name, size[0], spans[seeds-1])
		}
	}
}

// Right after an acknowledgement, as many machines as may be lost lose their disks, while all others lose power. The group recovers with
// every acknowledged write.
func TestReplica_RecoversAfterLastFault(t *testing.T) {
	for _, losses := range []int{1, 2} {
		n := 2*losses + 1
		for seed := range uint64(seedCount(20)) {
			w := newSimulation(seed, n, losses)
			w.boot()
			w.runUntil(4*time.Second + time.Duration(seed)*7*time.Millisecond)
			count := len(w.acknowledged)
			for i := 0; i < 400 && len(w.acknowledged) == count; i++ {
				if i%40 == 0 {
					w.put(true)
				}
				w.runUntil(w.now + time.Millisecond)
			}
			assert.Assert(t, len(w.acknowledged) > count && len(w.newestView.Members) == n, "losses %d seed %d: %v", losses, seed, w.newestView)
			for i, at := range w.random.Perm(n) {
				if i < losses {
					w.sites[at].wipe()
				} else {
					w.sites[at].stop(true)
				}
			}
			_, ok := w.recover(6 * time.Second)
			assert.Assert(t, len(w.violations) == 0, "losses %d seed %d: %v\n%s", losses, seed, w.violations, w.lastTrace())
			assert.Assert(t, ok, "losses %d seed %d: no write is acknowledged after the faults\n%s", losses, seed, w.lastTrace())
			w.runUntil(w.now + 4*time.Second)
			assert.Assert(t, w.isComplete(), "losses %d seed %d: %v\n%s", losses, seed, w.newestView, w.lastTrace())
		}
	}
}

// A machine at another address replaces a member that is lost permanently.
func TestReconfiguration_ReplacesMember(t *testing.T) {
	for seed := range uint64(seedCount(20)) {
		w := newSimulation(seed, 3, 1)
		w.boot()
		w.runUntil(3 * time.Second)
		gone := w.sites[seed%3]
		gone.wipe()
		gone.removed = true
		w.sites = append(w.sites, &site{simulation: w, member: &tierv1.Member{Address: "new", Zone: gone.member.Zone, Region: "r"}})
		w.sites[3].start(false)
		began := w.now
		in := func() bool {
			return w.newestView != nil && len(w.newestView.Former) == 0 && containsMember(w.newestView.Members, w.sites[3].replica.self)
		}
		for !in() && w.now < began+4*time.Second {
			w.runUntil(w.now + 50*time.Millisecond)
		}
		assert.Assert(t, in(), "seed %d\n%s", seed, w.lastTrace())
	}
}

// Members and backups become spread over the zones, whatever the zones of the first members; after that the view does not change any more.
func TestReconfiguration_SpreadsReplicas(t *testing.T) {
	for _, zones := range []string{"00112", "00011", "01122", "00012", "00000", "01212"} {
		for _, losses := range []int{1, 2} {
			for seed := range uint64(seedCount(5)) {
				w := newSimulation(seed, 5, losses)
				var all []*tierv1.Member
				for i, s := range w.sites {
					s.member.Zone = zones[i : i+1]
					all = append(all, s.member)
				}
				w.boot()
				w.runUntil(10 * time.Second)
				r := w.newestView
				where := fmt.Sprintf("zones %s losses %d seed %d: %v\n%s", zones, losses, seed, r, w.lastTrace())
				assert.Assert(t, len(w.violations) == 0 && r != nil, where)
				assert.Assert(t, len(r.Members) == 2*losses+1 && len(r.Backups) == losses && len(r.Former) == 0, where)
				assert.Equal(t, imbalance(r.Members), imbalance(spreadOut(nil, all, 2*losses+1, func(string) bool { return false })), where)
				var copies, others []*tierv1.Member
				for _, v := range r.Members {
					if isNamedIn(r, v.Folder) {
						copies = append(copies, v)
					}
					if v.Folder == r.Primary {
						others = append(others, v)
					}
				}
				best := append(others, spreadOut(others, r.Members, losses, func(string) bool { return false })...)
				assert.Equal(t, imbalance(copies), imbalance(best), where)
				w.runUntil(w.now + 5*time.Second)
				assert.Equal(t, w.newestView.Epoch, r.Epoch, "zones %s losses %d seed %d: does not become stable\n%s", zones, losses, seed, w.lastTrace())
			}
		}
	}
}
