package turnstore

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Begin implements tierv1.TurnStore: it decides whether a turn may be sent to an endpoint, and reserves its maximum number of tokens.
// The verdict is OK once the reservation is synced here and at all backups, SPENT and UNKNOWN once all backups have confirmed that
// this turn store is still their primary, and BUSY if neither happens within Config.RequestTimeout. Its errors are twirp errors for
// invalid arguments.
func (store *TurnStore) Begin(ctx context.Context, req *tierv1.BeginRequest) (*tierv1.BeginReply, error) {
	if req.Attempt == "" {
		return nil, twirp.RequiredArgumentError("attempt")
	}
	if err := validateChain(req.Adopt, req.Previous); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, store.cfg.RequestTimeout)
	defer cancel()
	for {
		reply, pending := store.begin(req)
		if pending == nil {
			return reply, nil
		}
		switch pending.wait(ctx) {
		case acknowledged:
			return reply, nil
		case timedOut, diskFailed:
			return &tierv1.BeginReply{Verdict: tierv1.Verdict_BUSY}, nil
		case termEnded: // decide again
		}
	}
}

// begin decides on a Begin, and writes and replicates its facts. The reply may be sent when pending is acknowledged, or at once if
// pending is nil.
func (store *TurnStore) begin(req *tierv1.BeginRequest) (reply *tierv1.BeginReply, pending *acknowledgement) {
	store.mu.Lock()
	defer store.mu.Unlock()
	p, verdict := store.servingPartition(req.Partition)
	if verdict != tierv1.Verdict_OK {
		return &tierv1.BeginReply{Verdict: verdict}, nil
	}
	now := store.cfg.Now()
	decision := store.decide(p, req, now)
	reply = &tierv1.BeginReply{Verdict: decision.verdict}
	if decision.verdict == tierv1.Verdict_BUSY {
		return reply, nil
	}
	pending = &acknowledgement{term: p.term}
	if decision.verdict == tierv1.Verdict_OK {
		pending.logged = store.appendFacts(p, decision.facts, now)
		reply.AvoidEndpoints = p.failedEndpoints(req.Program, now)
		if req.Previous != "" {
			if decision.chain, _ = p.chain(req.Previous, true, 0, now); decision.chain == nil {
				return &tierv1.BeginReply{Verdict: tierv1.Verdict_BUSY}, nil
			}
			decision.chain[len(decision.chain)-1].lastUsed = now
		}
		if !req.ChainKnown {
			rest := chainAfter(decision.chain, req.KnownTurn)
			reply.AfterKnownTurn = len(rest) < len(decision.chain)
			reply.Chain = turns(rest)
		}
	}
	pending.replicated = p.term.enqueue(decision.facts...)
	return reply, pending
}

// decision is the decision of a primary on a Begin, before its backups have acknowledged it.
type decision struct {
	verdict tierv1.Verdict
	chain   []*entry       // of the turn to be continued
	facts   []*tierv1.Fact // to be stored here and at the backups
}

// decide decides on a Begin. It changes nothing.
func (store *TurnStore) decide(p *partition, req *tierv1.BeginRequest, now time.Time) decision {
	e := p.entries[req.Attempt]
	if e != nil && e.settled {
		return decision{verdict: tierv1.Verdict_BUSY} // a late copy of a request: the attempt must not run on a reservation that has ended
	}
	reserved := e != nil && e.reserved
	var d decision
	if req.Previous != "" {
		if d = store.decideChain(p, req, reserved, now); d.verdict != tierv1.Verdict_OK {
			return d
		}
	}
	// A reservation whose budget was checked in this term is not checked again. A reservation from another replica is checked again,
	// as its Begin may never have been answered.
	if req.Limited && !(reserved && e.term == p.term.id) {
		var ownCharge uint64
		if reserved && e.program.name == req.Program {
			ownCharge = e.charge()
		}
		if verdict := p.budgetVerdict(req, ownCharge, store.cfg.ReleaseGracePeriod, now); verdict != tierv1.Verdict_OK {
			return decision{verdict: verdict}
		}
	}
	if !reserved && (store.atCapacity() || p.term.maxQueuedBytes() > replicationQueueLimit) {
		return decision{verdict: tierv1.Verdict_BUSY}
	}
	d.verdict = tierv1.Verdict_OK
	d.facts = append(d.facts, &tierv1.Fact{Partition: p.id, Program: req.Program, Attempt: req.Attempt,
		Of: &tierv1.Fact_Reserved{Reserved: &tierv1.Reservation{Limited: req.Limited, Budget: req.Budget, MaxTokens: req.MaxTokens,
			RetentionMs: req.RetentionMs}}})
	return d
}

// decideChain decides whether the previous turn of a Begin can be continued: with its stored chain, or with the turns to be adopted
// that the request contains. A retry of an attempt that is reserved may continue an expired turn.
func (store *TurnStore) decideChain(p *partition, req *tierv1.BeginRequest, reserved bool, now time.Time) decision {
	chain, status := p.chain(req.Previous, reserved, store.cfg.RetentionSlack, now)
	d := decision{verdict: tierv1.Verdict_OK, chain: chain}
	switch {
	case status == chainComplete:
		d.facts = store.factsToResend(p, chain, now)
	case len(req.Adopt) > 0:
		for _, t := range req.Adopt {
			d.facts = append(d.facts, &tierv1.Fact{Partition: p.id, Program: t.Program, Attempt: t.Attempt,
				Of: &tierv1.Fact_Adopted{Adopted: t}})
		}
	case status == chainIncomplete:
		return decision{verdict: tierv1.Verdict_BUSY}
	default:
		return decision{verdict: tierv1.Verdict_UNKNOWN}
	}
	return d
}

// factsToResend returns those facts of a chain that the backups may lack or may soon drop: of turns adopted before this term, and of
// a turn that backups may have stored earlier than storedAt here.
func (store *TurnStore) factsToResend(p *partition, chain []*entry, now time.Time) []*tierv1.Fact {
	last := chain[len(chain)-1]
	old := last.replayed || now.Sub(last.storedAt) > retention(last.turn)
	var list []*tierv1.Fact
	for _, e := range chain {
		fromEarlierTerm := e.term != p.term.id && (old || e.adopted && !p.term.backupsSynchronized())
		if fromEarlierTerm || old && e == last && !last.replayed {
			list = append(list, p.facts(e)...)
		}
	}
	return list
}

// appendFacts adds facts to the state and to the write-ahead log, and returns the batch after which they are synced. The caller
// holds mu.
func (store *TurnStore) appendFacts(p *partition, facts []*tierv1.Fact, now time.Time) *logBatch {
	fresh := make([]*tierv1.Fact, 0, len(facts))
	for _, f := range facts {
		if store.state.add(f, now) {
			fresh = append(fresh, f)
		}
		p.entries[f.Attempt].term = p.term.id
	}
	return store.commit.add(fresh...)
}
