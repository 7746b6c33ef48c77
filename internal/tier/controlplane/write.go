package controlplane

import (
	"context"
	"errors"

	"github.com/joomcode/errorx"

	"saffronyard.example/saffronyard/internal/tier/consensus"
)

// Reasons for which a request was not decided on. Their texts are sent to operators.
var (
	errNotPrimary     = errors.New("this process is not the primary")
	errWriterBusy     = errors.New("another write is under way")
	errOutcomeUnknown = errors.New("the outcome is unknown")
	errUnconfirmed    = errors.New("the backups do not confirm it")
	errStateTooLarge  = errors.New("the control state would be too large")
)

// lockWriter takes the writer lock, which every write to the store needs, or returns the error of ctx if ctx ends before.
func (plane *ControlPlane) lockWriter(ctx context.Context) error {
	select {
	case plane.writer <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// unlockWriter releases the writer lock.
func (plane *ControlPlane) unlockWriter() { <-plane.writer }

// write writes keys and returns the sequence of the write. The caller holds the writer lock. It returns errStateTooLarge if
// nothing was written. After any other error the outcome is unknown, and nothing is served until the state has been replicated
// again (startEpoch).
func (plane *ControlPlane) write(ctx context.Context, epoch uint64, sets map[string][]byte) (uint64, error) {
	sequence, err := plane.Store.Put(ctx, epoch, sets)
	if errorx.IsOfType(err, consensus.StateTooLarge) {
		plane.Log.Warn().Str("event", "write_refused").Uint64("epoch", epoch).Str("error", err.Error()).
			Msg("rejected a write: the control state would be too large")
		return 0, errStateTooLarge
	}
	if err != nil {
		plane.updatePublished(epoch, func(state *publishedState) { state.ready = false })
		wake(plane.reconcileNow)
		plane.Log.Warn().Str("event", "write_unclear").Uint64("epoch", epoch).Str("error", err.Error()).
			Msg("the outcome of a write is unknown: replicating the state again before serving it")
	}
	return sequence, err
}

// decideAndWrite decides on a request and, if the decision is accept, writes it under the same writer lock. decide is called
// before and after taking the lock: a request that will not be written need not wait for it, and the state may have changed
// while a request has waited. write is called with the lock held, and returns the final decision.
//
// It returns the decision and the state that it was based on, or what write returns. The error is errNotPrimary or
// errWriterBusy if there was no decision, else that of write.
func decideAndWrite[D comparable](ctx context.Context, plane *ControlPlane, accept D, decide func(*publishedState) D,
	write func(context.Context, *publishedState) (D, *publishedState, error)) (D, *publishedState, error) {
	var none D
	state, ok := plane.primary()
	if !ok {
		return none, nil, errNotPrimary
	}
	if decision := decide(state); decision != accept {
		return decision, state, nil
	}
	if plane.lockWriter(ctx) != nil {
		return none, nil, errWriterBusy
	}
	defer plane.unlockWriter()
	state, ok = plane.primary()
	if !ok {
		return none, nil, errNotPrimary
	}
	if decision := decide(state); decision != accept {
		return decision, state, nil
	}
	return write(ctx, state)
}
