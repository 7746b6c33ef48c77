package simulation

import (
	"context"
	"sync/atomic"
	"testing"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// lossyTurnStore is a turn store that does not charge the tokens of some settlements.
type lossyTurnStore struct {
	tierv1.TurnStore
	calls *atomic.Int64
}

// Settle settles some turns that are not stored with 0 tokens.
func (f lossyTurnStore) Settle(ctx context.Context, req *tierv1.SettleRequest) (*tierv1.SettleReply, error) {
	if !req.Stored && f.calls.Add(1)%5 == 0 {
		req.Tokens = 0
	}
	return f.TurnStore.Settle(ctx, req)
}

// Token accounting: the settlement of a turn that is not stored is lost, so that its tokens can be spent again.
func TestInjectedFault_LostSettlement(t *testing.T) {
	var calls atomic.Int64
	expectFound(t, Hooks{Serve: func(inner tierv1.TurnStore) tierv1.TurnStore { return lossyTurnStore{inner, &calls} }}, RuleBudget)
}

// ignoringTurnStore is a turn store that acknowledges settlements of turns that are not stored, without applying them.
type ignoringTurnStore struct{ tierv1.TurnStore }

func (d ignoringTurnStore) Settle(ctx context.Context, req *tierv1.SettleRequest) (*tierv1.SettleReply, error) {
	if !req.Stored {
		return &tierv1.SettleReply{Verdict: tierv1.Verdict_OK}, nil
	}
	return d.TurnStore.Settle(ctx, req)
}

// Token accounting: settled reservations still count with their maximum, so that a budget with room is reported as spent.
func TestInjectedFault_BudgetFalselyExhausted(t *testing.T) {
	expectFound(t, Hooks{Serve: func(inner tierv1.TurnStore) tierv1.TurnStore { return ignoringTurnStore{inner} }}, RuleBudgetExhausted)
}
