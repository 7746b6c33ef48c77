package turnstore

import (
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// DefaultReleaseGracePeriod is the release time for contact windows of up to 4 s.
const DefaultReleaseGracePeriod = 1100 * time.Millisecond

// A gateway repeats a release until it is answered.
const (
	callsPerContactWindow    = 4  // a call lasts this part of the contact window at most
	backoffsPerContactWindow = 40 // the pause after it lasts this part at most
)

// ReleaseGracePeriod is how long the release of a reservation may take to come through once its turn store is there again: a call
// of a gateway and the pause after it, and never less than DefaultReleaseTime.
func ReleaseGracePeriod(contactWindow time.Duration) time.Duration {
	return max(DefaultReleaseGracePeriod, contactWindow/callsPerContactWindow+contactWindow/backoffsPerContactWindow)
}

// budgetVerdict tells whether a budget bears the turn that is asked for; own is what its attempt is charged already:
//   - OK: there is room, with every open reservation counted at its most.
//   - BUSY: there is none now, and there would be some if the reservations that may be under release here were released.
//   - SPENT: there is none, whatever becomes of these.
func (p *partition) budgetVerdict(req *tierv1.BeginRequest, own uint64, gracePeriod time.Duration, now time.Time) tierv1.Verdict {
	if p.budgetAllows(req.Program, req.Budget, req.Most, own) {
		return tierv1.Verdict_OK
	}
	if now.Sub(p.term.primarySince) >= gracePeriod {
		return tierv1.Verdict_SPENT
	}
	if p.budgetAllows(req.Program, req.Budget, req.Most, own+p.releasableTokens(req.Program, req.Attempt)) {
		return tierv1.Verdict_BUSY
	}
	return tierv1.Verdict_SPENT
}

// releasableTokens is what is charged for reservations of a program, but for one attempt, that were made before this turn store
// became the primary: their gateways may have ended them since, and may have found no turn store that took the release.
func (p *partition) releasableTokens(program, except string) uint64 {
	charging := p.programs[program]
	if charging == nil {
		return 0
	}
	var sum uint64
	for _, e := range p.entries {
		open := e.reserved && !e.settled
		earlier := e.term < p.term.firstID
		if e.program == charging && e.attempt != except && open && earlier {
			sum += e.charge()
		}
	}
	return sum
}

// continuedTerm gives the term that the next epoch of a partition goes on from: this turn store was the primary without a break,
// and took all releases. It is nil where there is none.
func (store *TurnStore) continuedTerm(p *partition, next *tierv1.Partition) *term {
	t := p.term
	if t == nil || t.ended || t.unconfirmed {
		return nil
	}
	if next.Primary != store.folder || next.Epoch != p.epoch+1 {
		return nil
	}
	return t
}

// continueFrom has a term count as one with the term before it, where there is one that it continues.
func (t *term) continueFrom(before *term) {
	if before != nil {
		t.firstID, t.primarySince = before.firstID, before.primarySince
	}
}
