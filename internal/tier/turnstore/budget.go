package turnstore

import (
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// DefaultReleaseGracePeriod is the grace period for contact windows of up to 4 s, and the shortest one.
const DefaultReleaseGracePeriod = 1100 * time.Millisecond

// A gateway retries a release until it is answered. The timing is that of the gateway's storeClient.
const (
	callsPerContactWindow    = 4  // a call times out after the contact window divided by this
	backoffsPerContactWindow = 40 // the longest backoff after a call is the contact window divided by this
)

// ReleaseGracePeriod returns the time within which a gateway's release arrives once there is a primary again: that of one call and the
// backoff after it, and not less than DefaultReleaseGracePeriod.
func ReleaseGracePeriod(contactWindow time.Duration) time.Duration {
	return max(DefaultReleaseGracePeriod, contactWindow/callsPerContactWindow+contactWindow/backoffsPerContactWindow)
}

// budgetVerdict decides whether a budget allows a turn; ownCharge is the charge of its attempt so far, in tokens. The verdict is
//   - OK: if it does, with every open reservation charged at its maximum;
//   - BUSY: if it does not now, but would if all reservations whose releases may be in flight were released;
//   - SPENT: if it would not even then, or gracePeriod has passed since this turn store became the primary.
func (p *partition) budgetVerdict(req *tierv1.BeginRequest, ownCharge uint64, gracePeriod time.Duration, now time.Time) tierv1.Verdict {
	if p.budgetAllows(req.Program, req.Budget, req.MaxTokens, ownCharge) {
		return tierv1.Verdict_OK
	}
	if now.Sub(p.term.primarySince) >= gracePeriod {
		return tierv1.Verdict_SPENT
	}
	if p.budgetAllows(req.Program, req.Budget, req.MaxTokens, ownCharge+p.releasableTokens(req.Program, req.Attempt)) {
		return tierv1.Verdict_BUSY
	}
	return tierv1.Verdict_SPENT
}

// releasableTokens returns the tokens charged for the open reservations of a program, except one attempt's, from before this turn
// store became the primary: their gateways may have tried to release them meanwhile, and found no primary.
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

// budgetAllows reports whether a budget allows a reservation of maxTokens more; ownCharge is the charge of the attempt so far. All
// are in tokens.
func (p *partition) budgetAllows(program string, budget, maxTokens, ownCharge uint64) bool {
	var charged uint64
	if g := p.programs[program]; g != nil {
		charged = g.charged - ownCharge
	}
	return charged <= budget && maxTokens <= budget-charged
}
