package consensus

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// timeToService puts until one is acknowledged, and gives how long that took; a fault where it takes longer than limit.
func (w *simulation) timeToService(limit time.Duration) time.Duration {
	began, count := w.now, len(w.acknowledged)
	for len(w.acknowledged) == count && len(w.violations) == 0 {
		if w.now-began > limit {
			w.violation("nothing was acknowledged for %v", limit)
			break
		}
		w.put(true)
		w.runUntil(w.now + 10*time.Millisecond)
	}
	return w.now - began
}

// timeToRedundancy waits until all losses are tolerated again, and returns how long that took; a fault if it takes longer than limit.
func (w *simulation) timeToRedundancy(limit time.Duration) time.Duration {
	began := w.now
	for !w.isFullyRedundant() && len(w.violations) == 0 {
		if w.now-began > limit {
			w.violation("the losses are not tolerated again after %v", limit)
			break
		}
		w.put(true)
		w.runUntil(w.now + 10*time.Millisecond)
	}
	return w.now - began
}

// startWithin starts a process again within d.
func (w *simulation) startWithin(s *site, d time.Duration) {
	w.after(time.Duration(w.random.Int64N(int64(d)+1)), func() { s.start(false) })
}

// present are the machines that are there for good.
func (w *simulation) remaining() (list []*site) {
	for _, s := range w.sites {
		if !s.removed {
			list = append(list, s)
		}
	}
	return list
}

// join adds an empty machine at an address. Its settings, and those of all that start later, name three of the machines that
// are there.
func (w *simulation) join(address string) {
	w.seeds = nil
	here := w.remaining()
	for _, i := range w.random.Perm(len(here))[:min(3, len(here))] {
		w.seeds = append(w.seeds, here[i].member.Address)
	}
	joiner := &site{simulation: w, member: &tierv1.Member{Address: address, Zone: fmt.Sprint("z", w.random.IntN(3)), Region: "r"}}
	w.sites = append(w.sites, joiner)
	w.startWithin(joiner, time.Second)
}

// replaceElsewhere takes a machine away for good; an empty one comes at another address.
func (w *simulation) replaceAtNewAddress(s *site, address string) {
	s.wipe()
	s.removed = true
	w.join(address)
}

// oldestDisk is the machine whose disk has lasted longest: its folder was made first.
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

// Disks are lost one after the other, each as soon as the loss before is made good, the longest lasting or the leader's
// first: soon none of the first machines' disks is left. At times all other machines lose power at the same moment.
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
		t.Logf("%d losses at once: %v until something is acknowledged, %v until the next is borne", losses, served, settled)
	}
}

// All processes are killed or lose power at one moment, and are back within a second; the same again while they recover, and in
// the middle of the replacement of a lost disk.
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
			t.Logf("power %v, %d machines: %v until something is acknowledged after the last is back", power, size[0], served)
		}
	}
}

// A partition separates the group into halves, for longer than a takeover takes, again and again; also in one direction only. No half leads
// without a majority, and the other follows.
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

// A partitioned minority misses changes. Then one of the others loses its disk, the rest are without power, and the partition
// heals: the minority and the empty disk do not lead with what they have, and when the power is back nothing is missing.
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

// The losses that a primary reports as tolerated are tolerated: at any moment, also in the middle of a change of members, so many machines are
// lost for good at once, whichever they are, and nobody comes in their place before something is acknowledged again. Only
// what was lost less than recently before may still be counted as there.
func TestHealth_ToleratedLossesAreSurvived(t *testing.T) {
	seeds := seedCount(20)
	if testing.Short() || raceDetector {
		seeds = 4
	}
	for _, losses := range []int{1, 2} {
		hit, changing := 0, 0
		var worst time.Duration
		for seed := range uint64(seeds) {
			w := newSimulation(seed, 2*losses+1+int(seed%3), losses)
			w.boot()
			w.runUntil(5 * time.Second)
			w.leaseReadsUntil(time.Hour)
			recently := w.newestPrimary().replica.answerMaxAge() + w.newestPrimary().replica.timing.heartbeatInterval + roundTripSlack // the figure is of the last step
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
				here := w.remaining()
				for range min(h.Tolerates, 1+w.random.IntN(losses)) {
					at := w.random.IntN(len(here))
					here[at].wipe()
					here[at].removed = true
					here = append(here[:at:at], here[at+1:]...)
					hit++
				}
				worst = max(worst, w.timeToService(w.window))
				if w.random.IntN(3) > 0 && len(here) < 2*losses+3 {
					w.join(fmt.Sprint("new", n))
				}
			}
			assert.Assert(t, len(w.violations) == 0, "losses %d seed %d: %v\n%s", losses, seed, w.violations, w.lastTrace())
		}
		t.Logf("losses %d: %d machines lost, %d questions in a change of members, at most %v until something is acknowledged", losses, hit, changing, worst)
		assert.Assert(t, hit > seeds)
	}
}
