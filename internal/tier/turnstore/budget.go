package turnstore

import (
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// DefaultReleaseTime is the release time for contact windows of up to 4 s.
const DefaultReleaseTime = 1100 * time.Millisecond

// A gateway repeats a release until it is answered.
const (
	callShare  = 4  // a call lasts this part of the contact window at most
	pauseShare = 40 // the pause after it lasts this part at most
)

// ReleaseTime is how long the release of a reservation may take to come through once its turn store is there again: a call
// of a gateway and the pause after it, and never less than DefaultReleaseTime.
func ReleaseTime(contactWindow time.Duration) time.Duration {
	return max(DefaultReleaseTime, contactWindow/callShare+contactWindow/pauseShare)
}

// budgetVerdict tells whether a budget bears the turn that is asked for; own is what its attempt is charged already:
//   - OK: there is room, with every open reservation counted at its most.
//   - BUSY: there is none now, and there would be some if the reservations that may be under release here were released.
//   - SPENT: there is none, whatever becomes of these.
func (p *partition) budgetVerdict(req *tierv1.BeginRequest, own uint64, releaseTime time.Duration, now time.Time) tierv1.Verdict {
	if p.room(req.Program, req.Budget, req.Most, own) {
		return tierv1.Verdict_OK
	}
	if now.Sub(p.term.primarySince) >= releaseTime {
		return tierv1.Verdict_SPENT
	}
	if p.room(req.Program, req.Budget, req.Most, own+p.releasable(req.Program, req.Attempt)) {
		return tierv1.Verdict_BUSY
	}
	return tierv1.Verdict_SPENT
}

// releasable is what is charged for reservations of a program, but for one attempt, that were made before this turn store
// became the primary: their gateways may have ended them since, and may have found no turn store that took the release.
func (p *partition) releasable(program, but string) uint64 {
	charging := p.programs[program]
	if charging == nil {
		return 0
	}
	var sum uint64
	for _, e := range p.entries {
		open := e.reserved && !e.settled
		earlier := e.term < p.term.firstID
		if e.program == charging && e.attempt != but && open && earlier {
			sum += e.charge()
		}
	}
	return sum
}

// continued gives the term that the next epoch of a partition goes on from: this turn store was the primary without a break,
// and took all releases. It is nil where there is none.
func (store *TurnStore) continued(p *partition, next *tierv1.Partition) *term {
	t := p.term
	if t == nil || t.ended || t.unconfirmed {
		return nil
	}
	if next.Primary != store.folder || next.Epoch != p.epoch+1 {
		return nil
	}
	return t
}

// goOnFrom has a term count as one with the term before it, where there is one that it continues.
func (t *term) goOnFrom(before *term) {
	if before != nil {
		t.firstID, t.primarySince = before.firstID, before.primarySince
	}
}
