package turnstore

import (
	"context"

	"github.com/twitchtv/twirp"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Settle implements tierv1.TurnStore: it ends the reservation of an attempt, with its turn if that is to be stored. The verdict is OK
// once the settlement is synced here and at all backups, and BUSY if it is not synced within Config.RequestTimeout. An attempt
// without a reservation is settled too, as its reservation may have been stored only by an earlier primary. Its errors are twirp
// errors for invalid arguments.
func (store *TurnStore) Settle(ctx context.Context, req *tierv1.SettleRequest) (*tierv1.SettleReply, error) {
	if req.Attempt == "" {
		return nil, twirp.RequiredArgumentError("attempt")
	}
	settlement := &tierv1.Settlement{Tokens: req.Tokens}
	if req.Stored {
		if req.Turn == nil || req.Turn.Attempt != req.Attempt {
			return nil, twirp.InvalidArgumentError("turn", "must be that of the attempt")
		}
		settlement.Turn = req.Turn
	}
	fact := &tierv1.Fact{Partition: req.Partition, Program: req.Program, Attempt: req.Attempt,
		Of: &tierv1.Fact_Settled{Settled: settlement}}
	ctx, cancel := context.WithTimeout(ctx, store.cfg.RequestTimeout)
	defer cancel()
	for {
		verdict, pending := store.settle(fact, req.FailedEndpoint)
		if pending == nil {
			return &tierv1.SettleReply{Verdict: verdict}, nil
		}
		switch pending.wait(ctx) {
		case acknowledged:
			return &tierv1.SettleReply{Verdict: tierv1.Verdict_OK}, nil
		case timedOut, diskFailed:
			return &tierv1.SettleReply{Verdict: tierv1.Verdict_BUSY}, nil
		case termEnded: // try again
		}
	}
}

// settle writes and replicates a settlement. Pending is nil, and the verdict is the reply, where this turn store does not serve the
// partition. The attempt failed at the endpoint failedAt, if that is not empty.
func (store *TurnStore) settle(fact *tierv1.Fact, failedAt string) (verdict tierv1.Verdict, pending *acknowledgement) {
	store.mu.Lock()
	defer store.mu.Unlock()
	p, verdict := store.servingPartition(fact.Partition)
	if verdict != tierv1.Verdict_OK {
		return verdict, nil
	}
	now := store.cfg.Now()
	logged := store.appendFacts(p, []*tierv1.Fact{fact}, now)
	p.recordFailedEndpoint(fact.Program, failedAt, now)
	return verdict, &acknowledgement{term: p.term, logged: logged, replicated: p.term.enqueue(fact)}
}
