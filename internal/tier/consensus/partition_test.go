package consensus

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

const (
	isolationTime = 20 * time.Second // how long a machine is partitioned, paused or hangs
	// roundTripSlack is what a message and a sync may take here, there and back.
	roundTripSlack = 50 * time.Millisecond
)

// leads reports whether a site would serve as primary at this instant.
func (s *site) leads() bool {
	return s.replica != nil && !s.paused && s.replica.primary != nil && s.simulation.now-s.replica.lastConfirmed() < s.replica.timing.lease
}

// lastConfirmed is what a Node publishes as the start of its lease: a replica without backups is always confirmed.
func (r *replica) lastConfirmed() time.Duration {
	at := time.Duration(never)
	for _, b := range r.primary.view.Backups {
		at = min(at, r.primary.confirmedAt[b])
	}
	return at
}

// leaseReads reads at every site that would serve, and checks the formula of staleness: what was acknowledged
// a third of the window ago, by whomever, is seen.
func (w *simulation) leaseReads() {
	for _, s := range w.sites {
		if !s.leads() {
			continue
		}
		for key, sequence := range w.acknowledged {
			if w.now-w.acknowledgedAt[key] < w.window/3 {
				continue
			}
			if e := s.visible()[key]; e == nil || e.Sequence != sequence {
				w.violation("%s answers under its lease without %s, acknowledged %v ago", s.replica.Folder, key, w.now-w.acknowledgedAt[key])
				return
			}
		}
	}
}

// leaseReadsUntil asks under the lease every few milliseconds until a time.
func (w *simulation) leaseReadsUntil(until time.Duration) {
	if w.now < until {
		w.leaseReads()
		w.after(7*time.Millisecond, func() { w.leaseReadsUntil(until) })
	}
}

// newestPrimary is the site of the newest leadership.
func (w *simulation) newestPrimary() *site {
	var found *site
	for _, s := range w.sites {
		if s.replica != nil && s.replica.primary != nil && (found == nil || s.replica.primary.view.Epoch > found.replica.primary.view.Epoch) {
			found = s
		}
	}
	return found
}

// isolation is one way in which a primary is isolated. Begin isolates it; end heals.
type isolation struct {
	name       string
	size       [2]int // machines, losses
	begin, end func(w *simulation, old *site)
	// lease is when the old side serves nothing any more, after the beginning; takeover when others acknowledge.
	lease, takeover time.Duration
	// deposed tells that a lease without an end would not show: the new leader's first heartbeat ends it.
	deposed bool
}

func partitionSides(w *simulation, old *site, with *tierv1.Member, out, in bool) {
	for _, s := range w.sites {
		if s == old || with != nil && s.member.Address == with.Address {
			continue
		}
		for _, inside := range []*tierv1.Member{old.member, with} {
			if inside != nil {
				w.partitions[[2]string{inside.Address, s.member.Address}] = out
				w.partitions[[2]string{s.member.Address, inside.Address}] = in
			}
		}
	}
}

func healAll(w *simulation, _ *site) { clear(w.partitions) }

// companion is a backup, or where there are too few a member, that is isolated together with the primary.
func isolatedBackup(w *simulation, old *site) *tierv1.Member {
	for _, s := range w.sites {
		if s != old && s.replica != nil && isNamedIn(old.replica.primary.view, s.replica.Folder) {
			return s.member
		}
	}
	return nil
}

const window = 3 * time.Second

var isolations = []isolation{
	{"partitioned", [2]int{3, 1}, func(w *simulation, old *site) { partitionSides(w, old, nil, true, true) }, healAll, window / 3, window, false},
	{"partitioned, only from the primary", [2]int{3, 1}, func(w *simulation, old *site) { partitionSides(w, old, nil, true, false) }, healAll, window / 3, window, true},
	{"partitioned, only to the primary", [2]int{3, 1}, func(w *simulation, old *site) { partitionSides(w, old, nil, false, true) }, healAll, window / 3, window, false},
	{"partitioned, five members", [2]int{5, 2}, func(w *simulation, old *site) { partitionSides(w, old, nil, true, true) }, healAll, window / 3, window, false},
	{"partitioned with a backup", [2]int{5, 2}, func(w *simulation, old *site) { partitionSides(w, old, isolatedBackup(w, old), true, true) }, healAll, window / 3, window, false},
	{"paused", [2]int{3, 1}, func(_ *simulation, old *site) { old.paused = true }, func(_ *simulation, old *site) { old.resume() }, window / 3, window, false},
	{"paused, five members", [2]int{5, 2}, func(_ *simulation, old *site) { old.paused = true }, func(_ *simulation, old *site) { old.resume() }, window / 3, window, false},
	{"disk hangs", [2]int{3, 1}, func(_ *simulation, old *site) { old.stalled = true }, func(_ *simulation, old *site) { old.resume() }, window / 3, window, false},
}

// isolate plays one of them. It gives the time until others acknowledged, and until the old leader followed after the heal.
func isolate(t *testing.T, c isolation, seed uint64, p mutant) (w *simulation, takeover, rejoin time.Duration) {
	t.Helper()
	w = newSimulation(seed, c.size[0], c.size[1])
	w.mutant, w.window = p, window
	w.boot()
	begin := 6*time.Second + time.Duration(seed%97)*11*time.Millisecond
	w.after(4*time.Second, func() {
		w.load(begin + isolationTime + 4*time.Second)
		w.leaseReadsUntil(begin + isolationTime + 4*time.Second)
	})
	w.runUntil(begin)
	old := w.newestPrimary()
	if old == nil || len(w.violations) > 0 {
		return w, 0, 0
	}
	count := len(w.acknowledged)
	c.begin(w, old)
	w.load(begin + isolationTime) // more writes, at everyone who takes himself for the leader
	for w.now < begin+isolationTime && len(w.violations) == 0 {
		w.runUntil(w.now + 5*time.Millisecond)
		if takeover == 0 && w.newestPrimary() != old && len(w.acknowledged) > count {
			takeover = w.now - begin
		}
		if w.now > begin+c.lease+roundTripSlack && old.leads() {
			w.violation("%s still answers %v after the beginning", old.replica.Folder, w.now-begin)
		}
	}
	c.end(w, old)
	for healed := w.now; w.now < healed+4*time.Second && len(w.violations) == 0; {
		if old.replica.primary == nil && old.replica.primaryAlive() && old.replica.chosen.GetEpoch() == w.newestView.Epoch {
			rejoin = w.now - healed + time.Millisecond
			break
		}
		w.runUntil(w.now + 5*time.Millisecond)
	}
	w.runUntil(w.now + 2*time.Second)
	return w, takeover, rejoin
}

// A primary that is isolated for twenty seconds, in each way, serves nothing after its lease; others take over; nothing
// acknowledged is lost; after the heal it follows.
func TestPartition_IsolatedPrimary(t *testing.T) {
	seeds := seedCount(10)
	if testing.Short() || raceDetector {
		seeds = 2
	}
	for _, c := range isolations {
		t.Run(c.name, func(t *testing.T) {
			var worstTakeover, worstReturn time.Duration
			for seed := range uint64(seeds) {
				w, takeover, rejoin := isolate(t, c, seed, mutant{})
				where := fmt.Sprintf("seed %d: %v\n%s", seed, w.violations, w.lastTrace())
				assert.Assert(t, len(w.violations) == 0, where)
				assert.Assert(t, takeover > 0 && takeover < c.takeover, "takeover %v, %s", takeover, where)
				assert.Assert(t, rejoin > 0 && rejoin < window, "return %v, %s", rejoin, where)
				worstTakeover, worstReturn = max(worstTakeover, takeover), max(worstReturn, rejoin)
			}
			t.Logf("worst: %v until others acknowledge, %v from the heal until the old leader follows", worstTakeover, worstReturn)
		})
	}
}
