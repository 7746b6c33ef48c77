package simulation

import (
	"context"
	"sync/atomic"
	"testing"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// lossyTurnStore is a turn store that forgets what some of its calls charge.
type lossyTurnStore struct {
	tierv1.TurnStore
	calls *atomic.Int64
}

// Settle confirms some settlements of turns that are not kept as if nothing had been handed out.
func (f lossyTurnStore) Settle(ctx context.Context, req *tierv1.SettleRequest) (*tierv1.SettleReply, error) {
	if !req.Stored && f.calls.Add(1)%5 == 0 {
		req.Tokens = 0
	}
	return f.TurnStore.Settle(ctx, req)
}

// Accounts: a settlement of a turn that is not kept is lost, and its budget is spent again.
func TestInjectedFault_LostSettlement(t *testing.T) {
	var calls atomic.Int64
	expectFound(t, Hooks{Serve: func(inner tierv1.TurnStore) tierv1.TurnStore { return lossyTurnStore{inner, &calls} }}, RuleBudget)
}

// ignoringTurnStore is a turn store that confirms releases and does not take them.
type ignoringTurnStore struct{ tierv1.TurnStore }

func (d ignoringTurnStore) Settle(ctx context.Context, req *tierv1.SettleRequest) (*tierv1.SettleReply, error) {
	if !req.Stored {
		return &tierv1.SettleReply{Verdict: tierv1.Verdict_OK}, nil
	}
	return d.TurnStore.Settle(ctx, req)
}

// Accounts: reservations that were ended still count at their most, and a budget with room is called spent.
func TestInjectedFault_BudgetFalselyExhausted(t *testing.T) {
	expectFound(t, Hooks{Serve: func(inner tierv1.TurnStore) tierv1.TurnStore { return ignoringTurnStore{inner} }}, RuleBudgetExhausted)
}
