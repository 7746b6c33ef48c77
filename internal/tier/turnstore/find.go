package turnstore

import (
	"context"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Find implements tierv1.TurnStore: it looks for a turn, with its chain, in all partitions whose primary this turn store is. A turn
// that is found needs no confirmation. A turn is certain to be absent only from the partitions that the reply names: their backups
// have confirmed that this turn store is still the primary. It returns no errors.
func (store *TurnStore) Find(ctx context.Context, req *tierv1.FindRequest) (*tierv1.FindReply, error) {
	chain, absent := store.find(req.Attempt)
	if chain != nil {
		return &tierv1.FindReply{Chain: chain}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, store.cfg.RequestTimeout)
	defer cancel()
	reply := &tierv1.FindReply{}
	for _, a := range absent {
		if a.pending.wait(ctx) == acknowledged {
			reply.Partitions = append(reply.Partitions, a.partition)
		}
	}
	return reply, nil
}

// absence is a partition that does not have a turn, as soon as pending is acknowledged.
type absence struct {
	partition uint32
	pending   *acknowledgement
}

// find returns the chain of a turn, or else the partitions that do not have it.
func (store *TurnStore) find(attempt string) (chain []*tierv1.Turn, absent []absence) {
	store.mu.Lock()
	defer store.mu.Unlock()
	now := store.cfg.Now()
	for id := range store.state.partitions {
		p, verdict := store.servingPartition(id)
		if verdict != tierv1.Verdict_OK {
			continue
		}
		switch entries, status := p.chain(attempt, false, store.cfg.RetentionSlack, now); status {
		case chainComplete:
			return turns(entries), nil
		case chainAbsent:
			absent = append(absent, absence{partition: id, pending: &acknowledgement{term: p.term}})
		case chainIncomplete: // neither found nor certain to be absent
		}
	}
	for _, a := range absent {
		a.pending.replicated = a.pending.term.enqueue()
	}
	return nil, absent
}
