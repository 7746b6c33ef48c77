package consensus

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// timeToService calls put until a write is acknowledged, and returns how long that took; more than limit is a violation.
func (w *simulation) timeToService(limit time.Duration) time.Duration {
	began, count := w.now, len(w.acknowledged)
	for len(w.acknowledged) == count && len(w.violations) == 0 {
		if w.now-began > limit {
			w.recordViolation("nothing was acknowledged for %v", limit)
			break
		}
		w.put(true)
		w.runUntil(w.now + 10*time.Millisecond)
	}
	return w.now - began
}

// timeToRedundancy waits until all losses are tolerated again, and returns how long that took; more than limit is a violation.
func (w *simulation) timeToRedundancy(limit time.Duration) time.Duration {
	began := w.now
	for !w.isFullyRedundant() && len(w.violations) == 0 {
		if w.now-began > limit {
			w.recordViolation("the losses are not tolerated again after %v", limit)
			break
		}
		w.put(true)
		w.runUntil(w.now + 10*time.Millisecond)
	}
	return w.now - began
}

// startWithin starts a process after a random delay of at most d.
func (w *simulation) startWithin(s *site, d time.Duration) {
	w.after(time.Duration(w.random.Int64N(int64(d)+1)), func() { s.start(false) })
}

// remaining returns the machines that were not removed.
func (w *simulation) remaining() (list []*site) {
	for _, s := range w.sites {
		if !s.removed {
			list = append(list, s)
		}
	}
	return list
}

// join adds an empty machine at an address. Its seeds, and those of all processes that start later, are up to three of the remaining
// machines.
func (w *simulation) join(address string) {
	w.seeds = nil
	remaining := w.remaining()
	for _, i := range w.random.Perm(len(remaining))[:min(3, len(remaining))] {
		w.seeds = append(w.seeds, remaining[i].member.Address)
	}
	joiner := &site{simulation: w, member: &tierv1.Member{Address: address, Zone: fmt.Sprint("z", w.random.IntN(3)), Region: "r"}}
	w.sites = append(w.sites, joiner)
	w.startWithin(joiner, time.Second)
}

// replaceAtNewAddress removes a machine permanently and adds an empty one at another address.
func (w *simulation) replaceAtNewAddress(s *site, address string) {
	s.wipe()
	s.removed = true
	w.join(address)
}

// oldestDisk returns the machine whose folder was created first, among those that run and are not excepted.
func (w *simulation) oldestDisk(except map[*site]bool) (oldest *site) {
	number := func(s *site) (n int) {
		fmt.Sscanf(s.replica.Folder, "f%d@", &n)
		return n
	}
	for _, s := range w.sites {
		if s.replica != nil && !except[s] && (oldest == nil || number(s) < number(oldest)) {
			oldest = s
		}
	}
	return oldest
}

// Disks are lost one after the other, each as soon as all losses are tolerated again. The oldest disk or that of the primary is lost
// first, so that soon none of the first machines' disks is left. In some cases all other machines lose power at the same moment.
func TestGroupFailure_SuccessiveDiskLosses(t *testing.T) {
	seeds := seedCount(6)
	if testing.Short() || raceDetector {
		seeds = 2
	}
	for _, losses := range []int{1, 2} {
		var served, settled time.Duration
		for seed := range uint64(seeds) {
			w := newSimulation(seed, 2*losses+1, losses)
			w.boot()
			w.runUntil(5 * time.Second)
			for n := range 12 {
				w.timeToRedundancy(2 * w.window)
				if len(w.violations) > 0 {
					break
				}
				lost := make(map[*site]bool)
				for len(lost) < losses {
					s := w.oldestDisk(lost)
					if l := w.newestPrimary(); w.random.IntN(3) == 0 && l != nil && l.replica != nil && !lost[l] {
						s = l
					}
					lost[s] = true
					if w.random.IntN(3) == 0 {
						w.replaceAtNewAddress(s, fmt.Sprint("new", n, "-", len(lost)))
						continue
					}
					s.wipe()
					w.startWithin(s, 700*time.Millisecond)
				}
				if w.random.IntN(2) == 0 {
					for _, s := range w.sites {
						if s.replica != nil && !lost[s] {
							s.stop(true)
							w.startWithin(s, time.Second)
						}
					}
				}
				served = max(served, w.timeToService(2*w.window))
			}
			settled = max(settled, w.timeToRedundancy(2*w.window))
			assert.Assert(t, len(w.violations) == 0, "losses %d seed %d: %v\n%s", losses, seed, w.violations, w.lastTrace())
		}
		t.Logf("%d losses at once: %v until a write is acknowledged, %v until the next loss is tolerated", losses, served, settled)
	}
}

// All processes are killed or lose power at the same moment, and restart within a second. This is repeated while they recover, and during
// the replacement of a lost disk.
func TestGroupFailure_AllMembersAtOnce(t *testing.T) {
	seeds := seedCount(10)
	if testing.Short() || raceDetector {
		seeds = 2
	}
	for _, power := range []bool{false, true} {
		for _, size := range [][2]int{{3, 1}, {4, 1}, {5, 2}} {
			var served time.Duration
			for seed := range uint64(seeds) {
				w := newSimulation(seed, size[0], size[1])
				w.boot()
				w.runUntil(5 * time.Second)
				for range 6 {
					w.timeToRedundancy(2 * w.window)
					if len(w.violations) > 0 {
						break
					}
					if w.random.IntN(2) == 0 {
						s := w.sites[w.random.IntN(len(w.sites))]
						s.wipe()
						w.startWithin(s, 300*time.Millisecond)
						w.runUntil(w.now + time.Duration(w.random.Int64N(int64(1500*time.Millisecond))))
					}
					for range 1 + w.random.IntN(3) {
						for range 3 {
							w.put(false)
							w.runUntil(w.now + time.Duration(w.random.Int64N(int64(10*time.Millisecond))))
						}
						for _, s := range w.sites {
							s.stop(power)
							w.startWithin(s, 800*time.Millisecond)
						}
						w.runUntil(w.now + time.Duration(w.random.Int64N(int64(1200*time.Millisecond))))
					}
					w.runUntil(w.now + 800*time.Millisecond)
					served = max(served, w.timeToService(w.window))
				}
				assert.Assert(t, len(w.violations) == 0, "power %v, size %v, seed %d: %v\n%s", power, size, seed, w.violations, w.lastTrace())
			}
			t.Logf("power %v, %d machines: %v until a write is acknowledged after the last restart", power, size[0], served)
		}
	}
}

// A partition repeatedly separates the group into halves, for up to six seconds, which is longer than a takeover; sometimes in one
// direction only. A half without a majority does not elect a primary, and follows after the partition heals.
func TestGroupFailure_PartitionedHalves(t *testing.T) {
	seeds := seedCount(10)
	if testing.Short() || raceDetector {
		seeds = 2
	}
	for _, size := range [][2]int{{3, 1}, {4, 1}, {4, 2}, {5, 2}, {6, 2}} {
		for seed := range uint64(seeds) {
			w := newSimulation(seed, size[0], size[1])
			w.boot()
			w.runUntil(5 * time.Second)
			w.load(60 * time.Second)
			w.leaseReadsUntil(60 * time.Second)
			for range 6 {
				there, back := true, w.random.IntN(3) > 0
				for i, at := range w.random.Perm(len(w.sites)) {
					for j, other := range w.sites {
						if i < len(w.sites)/2 && j != at {
							w.partitions[[2]string{w.sites[at].member.Address, other.member.Address}] = there
							w.partitions[[2]string{other.member.Address, w.sites[at].member.Address}] = back
						}
					}
				}
				w.runUntil(w.now + time.Duration(w.random.Int64N(int64(6*time.Second))))
				clear(w.partitions)
				w.runUntil(w.now + time.Duration(w.random.Int64N(int64(2*time.Second))))
			}
			w.timeToService(w.window)
			assert.Assert(t, len(w.violations) == 0, "size %v, seed %d: %v\n%s", size, seed, w.violations, w.lastTrace())
		}
	}
}

// A partitioned minority misses writes. Then one of the other machines loses its disk, the rest lose power, and the partition heals. The
// minority and the machine with the empty disk must not elect a primary, and when the power is back no acknowledged write is missing.
func TestGroupFailure_PartitionedMinority(t *testing.T) {
	seeds := seedCount(10)
	if testing.Short() || raceDetector {
		seeds = 3
	}
	for _, losses := range []int{1, 2} {
		for seed := range uint64(seeds) {
			w := newSimulation(seed, 2*losses+1, losses)
			w.boot()
			w.runUntil(5 * time.Second)
			behind := make(map[*site]bool)
			for len(behind) < losses {
				s := w.sites[w.random.IntN(len(w.sites))]
				behind[s] = true
			}
			for s := range behind {
				for _, o := range w.sites {
					if !behind[o] {
						w.partitions[[2]string{s.member.Address, o.member.Address}] = true
						w.partitions[[2]string{o.member.Address, s.member.Address}] = true
					}
				}
			}
			w.runUntil(w.now + 3*time.Second)
			w.acknowledgeWrites(20)
			var unpowered []*site
			wiped := false
			for _, i := range w.random.Perm(len(w.sites)) {
				s := w.sites[i]
				switch {
				case behind[s]:
				case !wiped:
					wiped = true
					s.wipe()
					w.startWithin(s, 500*time.Millisecond)
				default:
					s.stop(true)
					s.unpowered = true
					unpowered = append(unpowered, s)
				}
			}
			clear(w.partitions)
			count := len(w.acknowledged)
			w.load(w.now + 3*time.Second)
			w.runUntil(w.now + 4*time.Second)
			where := fmt.Sprintf("losses %d, seed %d: %v\n%s", losses, seed, w.violations, w.lastTrace())
			assert.Assert(t, len(w.violations) == 0 && len(w.acknowledged) == count, where)
			for _, s := range unpowered {
				s.start(false)
			}
			w.timeToService(w.window)
			w.timeToRedundancy(2 * w.window)
			assert.Assert(t, len(w.violations) == 0, "losses %d, seed %d: %v\n%s", losses, seed, w.violations, w.lastTrace())
		}
	}
}

// The group survives as many losses as a primary reports as tolerated. At any moment, also during a change of members, that many machines
// are lost permanently at once, whichever they are, and no other machine joins before a write is acknowledged again. A report may count
// a machine as responsive only for the time recently after its loss.
func TestHealth_ToleratedLossesAreSurvived(t *testing.T) {
	seeds := seedCount(20)
	if testing.Short() || raceDetector {
		seeds = 4
	}
	for _, losses := range []int{1, 2} {
		wiped, changing := 0, 0
		var worst time.Duration
		for seed := range uint64(seeds) {
			w := newSimulation(seed, 2*losses+1+int(seed%3), losses)
			w.boot()
			w.runUntil(5 * time.Second)
			w.leaseReadsUntil(time.Hour)
			recently := w.newestPrimary().replica.answerMaxAge() + w.newestPrimary().replica.timing.heartbeatInterval + roundTripSlack // health is as of the last step
			for n := range 15 {
				w.runUntil(w.now + recently + time.Duration(w.random.Int64N(int64(1500*time.Millisecond))))
				leader := w.newestPrimary()
				if leader == nil || !leader.leads() || len(w.violations) > 0 {
					continue
				}
				h := leader.replica.health()
				if h.Changing {
					changing++
				}
				remaining := w.remaining()
				for range min(h.Tolerates, 1+w.random.IntN(losses)) {
					at := w.random.IntN(len(remaining))
					remaining[at].wipe()
					remaining[at].removed = true
					remaining = append(remaining[:at:at], remaining[at+1:]...)
					wiped++
				}
				worst = max(worst, w.timeToService(w.window))
				if w.random.IntN(3) > 0 && len(remaining) < 2*losses+3 {
					w.join(fmt.Sprint("new", n))
				}
			}
			assert.Assert(t, len(w.violations) == 0, "losses %d seed %d: %v\n%s", losses, seed, w.violations, w.lastTrace())
		}
		t.Logf("losses %d: %d machines lost, %d health reports during a change of members, at most %v until a write is acknowledged", losses, wiped, changing, worst)
		assert.Assert(t, wiped > seeds)
	}
}
