package turnstore

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// decision is what a primary makes of a Begin, before anyone is asked.
type decision struct {
	verdict tierv1.Verdict
	chain   []*entry       // up to previous
	facts   []*tierv1.Fact // that are to be held here and at the backups
}

// decide looks at a Begin. Nothing is changed.
func (store *TurnStore) decide(p *partition, req *tierv1.BeginRequest, now time.Time) decision {
	e := p.entries[req.Attempt]
	if e != nil && e.settled {
		return decision{verdict: tierv1.Verdict_BUSY} // a late copy: it must not run once more on what is not reserved
	}
	known := e != nil && e.reserved
	var d decision
	if req.Previous != "" {
		var stands chainStatus
		d.chain, stands = p.chain(req.Previous, known, store.cfg.RetentionSlack, now)
		switch {
		case stands == chainComplete:
			d.facts = store.factsToResend(p, d.chain, now)
		case len(req.Adopt) > 0:
			for _, t := range req.Adopt {
				d.facts = append(d.facts, &tierv1.Fact{Partition: p.id, Program: t.Program, Attempt: t.Attempt,
					Of: &tierv1.Fact_Adopted{Adopted: t}})
			}
		case stands == chainIncomplete:
			return decision{verdict: tierv1.Verdict_BUSY}
		default:
			return decision{verdict: tierv1.Verdict_UNKNOWN}
		}
	}
	// An attempt whose budget was looked at in this term stands; one that came from elsewhere is looked at again, as
	// it may never have been answered.
	if req.Limited && !(known && e.term == p.term.id) {
		var own uint64
		if known && e.program.name == req.Program {
			own = e.charge()
		}
		if verdict := p.budgetVerdict(req, own, store.cfg.ReleaseGracePeriod, now); verdict != tierv1.Verdict_OK {
			return decision{verdict: verdict}
		}
	}
	if !known && (store.atCapacity() || p.term.maxQueuedBytes() > replicationQueueLimit) {
		return decision{verdict: tierv1.Verdict_BUSY}
	}
	d.verdict = tierv1.Verdict_OK
	d.facts = append(d.facts, &tierv1.Fact{Partition: p.id, Program: req.Program, Attempt: req.Attempt,
		Of: &tierv1.Fact_Reserved{Reserved: &tierv1.Reservation{Limited: req.Limited, Budget: req.Budget, Most: req.Most,
			RetentionMs: req.RetentionMs}}})
	return d
}

// factsToResend gives those facts of a chain that the backups may lack, or may be about to drop: adopted ones that came before
// this term, and all of a turn that is older than it seems here.
func (store *TurnStore) factsToResend(p *partition, chain []*entry, now time.Time) []*tierv1.Fact {
	last := chain[len(chain)-1]
	old := last.replayed || now.Sub(last.storedAt) > retention(last.turn)
	var list []*tierv1.Fact
	for _, e := range chain {
		if e.term != p.term.id && (old || e.adopted && !p.term.backupsSynchronized()) || old && e == last && !last.replayed {
			list = append(list, p.facts(e)...)
		}
	}
	return list
}

func (t *term) backupsSynchronized() bool {
	for _, s := range t.replicators {
		if !s.synchronized {
			return false
		}
	}
	return true
}

// Begin asks whether a turn may be sent, and reserves its most.
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
		store.mu.Lock()
		p, verdict := store.servingPartition(req.Partition)
		if verdict != tierv1.Verdict_OK {
			store.mu.Unlock()
			return &tierv1.BeginReply{Verdict: verdict}, nil
		}
		now := store.cfg.Now()
		d := store.decide(p, req, now)
		reply := &tierv1.BeginReply{Verdict: d.verdict}
		if d.verdict == tierv1.Verdict_BUSY {
			store.mu.Unlock()
			return reply, nil
		}
		t := p.term
		var b *logBatch
		if d.verdict == tierv1.Verdict_OK {
			b = store.appendFacts(p, d.facts, now)
			reply.Avoid = p.failedEndpoints(req.Program, now)
			if req.Previous != "" {
				if d.chain, _ = p.chain(req.Previous, true, 0, now); d.chain == nil {
					store.mu.Unlock()
					return &tierv1.BeginReply{Verdict: tierv1.Verdict_BUSY}, nil
				}
				d.chain[len(d.chain)-1].lastUsed = now
			}
			if !req.ChainHeld {
				rest := chainAfter(d.chain, req.Held)
				reply.AfterHeld = len(rest) < len(d.chain)
				reply.Chain = turns(rest)
			}
		}
		rounds := t.enqueue(d.facts...)
		store.mu.Unlock()
		switch t.wait(ctx, b, rounds) {
		case acknowledged:
			return reply, nil
		case timedOut, diskFailed:
			return &tierv1.BeginReply{Verdict: tierv1.Verdict_BUSY}, nil
		}
	}
}

// appendFacts adds facts and gives the batch after which they are synced. The lock is held.
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

// validateChain tells what is wrong with a chain that is brought along, if anything.
func validateChain(adopt []*tierv1.Turn, previous string) error {
	if len(adopt) == 0 {
		return nil
	}
	before := ""
	for _, t := range adopt {
		if t.Attempt == "" || t.Previous != before {
			return twirp.InvalidArgumentError("adopt", "is no chain")
		}
		before = t.Attempt
	}
	if before != previous {
		return twirp.InvalidArgumentError("adopt", "doesn't end in previous")
	}
	return nil
}

func turns(chain []*entry) []*tierv1.Turn {
	list := make([]*tierv1.Turn, len(chain))
	for i, e := range chain {
		list[i] = e.turn
	}
	return list
}

// Settle ends what Begin reserved. A reservation that is not known here is no matter: it may lie with an older primary.
func (store *TurnStore) Settle(ctx context.Context, req *tierv1.SettleRequest) (*tierv1.SettleReply, error) {
	if req.Attempt == "" {
		return nil, twirp.RequiredArgumentError("attempt")
	}
	settlement := &tierv1.Settlement{Tokens: req.Tokens}
	if req.Kept {
		if req.Turn == nil || req.Turn.Attempt != req.Attempt {
			return nil, twirp.InvalidArgumentError("turn", "must be that of the attempt")
		}
		settlement.Turn = req.Turn
	}
	f := &tierv1.Fact{Partition: req.Partition, Program: req.Program, Attempt: req.Attempt,
		Of: &tierv1.Fact_Settled{Settled: settlement}}
	ctx, cancel := context.WithTimeout(ctx, store.cfg.RequestTimeout)
	defer cancel()
	for {
		store.mu.Lock()
		p, verdict := store.servingPartition(req.Partition)
		if verdict != tierv1.Verdict_OK {
			store.mu.Unlock()
			return &tierv1.SettleReply{Verdict: verdict}, nil
		}
		t := p.term
		now := store.cfg.Now()
		b := store.appendFacts(p, []*tierv1.Fact{f}, now)
		p.recordFailedEndpoint(req.Program, req.FailedAt, now)
		rounds := t.enqueue(f)
		store.mu.Unlock()
		switch t.wait(ctx, b, rounds) {
		case acknowledged:
			return &tierv1.SettleReply{Verdict: tierv1.Verdict_OK}, nil
		case timedOut, diskFailed:
			return &tierv1.SettleReply{Verdict: tierv1.Verdict_BUSY}, nil
		}
	}
}

// Find looks for a turn in all partitions whose primary this turn store is. What it finds needs no confirmation; that it is
// not there is certain for those partitions whose backups have said since that the epoch stands.
func (store *TurnStore) Find(ctx context.Context, req *tierv1.FindRequest) (*tierv1.FindReply, error) {
	type asked struct {
		id     uint32
		t      *term
		rounds []*replicationBatch
	}
	var list []asked
	store.mu.Lock()
	now := store.cfg.Now()
	for id := range store.state.partitions {
		p, verdict := store.servingPartition(id)
		if verdict != tierv1.Verdict_OK {
			continue
		}
		chain, stands := p.chain(req.Attempt, false, store.cfg.RetentionSlack, now)
		switch stands {
		case chainComplete:
			reply := &tierv1.FindReply{Chain: turns(chain)}
			store.mu.Unlock()
			return reply, nil
		case chainAbsent:
			list = append(list, asked{id: id, t: p.term})
		}
	}
	for i := range list {
		list[i].rounds = list[i].t.enqueue()
	}
	store.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, store.cfg.RequestTimeout)
	defer cancel()
	reply := &tierv1.FindReply{}
	for _, a := range list {
		if a.t.wait(ctx, nil, a.rounds) == acknowledged {
			reply.Partitions = append(reply.Partitions, a.id)
		}
	}
	return reply, nil
}

// chainAfter is what of a chain follows a turn on it; all of it if that turn is not on it.
func chainAfter(chain []*entry, held string) []*entry {
	if held == "" {
		return chain
	}
	for i := len(chain) - 1; i >= 0; i-- {
		if chain[i].turn.Attempt == held {
			return chain[i+1:]
		}
	}
	return chain
}
