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
	// roundTripSlack bounds a round trip of the simulated network with a sync.
	roundTripSlack = 50 * time.Millisecond
)

// leads reports whether a site would serve as primary at this instant.
func (s *site) leads() bool {
	return s.replica != nil && !s.paused && s.replica.primary != nil && s.simulation.now-s.replica.lastConfirmed() < s.replica.timing.lease
}

// lastConfirmed returns the start of the lease that a Node publishes; a replica without backups is always confirmed.
func (r *replica) lastConfirmed() time.Duration {
	at := time.Duration(never)
	for _, b := range r.primary.view.Backups {
		at = min(at, r.primary.confirmedAt[b])
	}
	return at
}

// leaseReads reads at every site that would serve, and checks the bound on staleness: a write that any primary acknowledged at least a
// third of the contact window ago is visible.
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
				w.recordViolation("%s serves reads under its lease without %s, acknowledged %v ago", s.replica.Folder, key, w.now-w.acknowledgedAt[key])
				return
			}
		}
	}
}

// leaseReadsUntil calls leaseReads every 7 ms until a time.
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

// isolation is one way in which a primary is isolated; begin isolates the primary, end heals.
type isolation struct {
	name       string
	size       [2]int // machines, losses
	begin, end func(w *simulation, old *site)
	// lease is the time from the beginning until the isolated side serves nothing any more, takeover the time until others acknowledge.
	lease, takeover time.Duration
	// deposed means that a lease that never expires cannot be detected, as the first heartbeat of the new primary ends the old leadership.
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

// isolatedBackup returns a backup that is isolated together with the primary; nil if there is none.
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

// isolate plays one isolation. It returns the time until others acknowledged, and the time from the heal until the old primary followed.
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
	w.load(begin + isolationTime) // more writes, at each replica that considers itself primary
	for w.now < begin+isolationTime && len(w.violations) == 0 {
		w.runUntil(w.now + 5*time.Millisecond)
		if takeover == 0 && w.newestPrimary() != old && len(w.acknowledged) > count {
			takeover = w.now - begin
		}
		if w.now > begin+c.lease+roundTripSlack && old.leads() {
			w.recordViolation("%s still serves reads %v after the beginning of the isolation", old.replica.Folder, w.now-begin)
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

// A primary that is isolated for twenty seconds serves nothing after its lease has expired, and others take over. No acknowledged write is
// lost, and after the heal the old primary follows.
func TestPartition_IsolatedPrimary(t *testing.T) {
	seeds := seedCount(10)
	if testing.Short() || raceDetector {
		seeds = 2
	}
	for _, c := range isolations {
		t.Run(c.name, func(t *testing.T) {
			var worstTakeover, worstRejoin time.Duration
			for seed := range uint64(seeds) {
				w, takeover, rejoin := isolate(t, c, seed, mutant{})
				where := fmt.Sprintf("seed %d: %v\n%s", seed, w.violations, w.lastTrace())
				assert.Assert(t, len(w.violations) == 0, where)
				assert.Assert(t, takeover > 0 && takeover < c.takeover, "takeover %v, %s", takeover, where)
				assert.Assert(t, rejoin > 0 && rejoin < window, "rejoin %v, %s", rejoin, where)
				worstTakeover, worstRejoin = max(worstTakeover, takeover), max(worstRejoin, rejoin)
			}
			t.Logf("worst: %v until others acknowledge, %v from the heal until the old leader follows", worstTakeover, worstRejoin)
		})
	}
}
