package controlplane

import (
	"context"
	"errors"

	"github.com/joomcode/errorx"

	"saffronyard.example/saffronyard/internal/tier/consensus"
)

// Reasons for which an order was not decided on.
var (
	errNotPrimary     = errors.New("this process is not the primary")
	errWriterBusy     = errors.New("another write is under way")
	errOutcomeUnknown = errors.New("the outcome is unknown")
	errUnconfirmed    = errors.New("the backups do not confirm it")
	errStateTooLarge  = errors.New("the control state would be too large")
)

// lockWriter takes the right to write to the store, or fails with ctx.
func (plane *ControlPlane) lockWriter(ctx context.Context) error {
	select {
	case plane.writer <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (plane *ControlPlane) unlockWriter() { <-plane.writer }

// write writes under the writer's right. When the outcome is unknown, nothing more is shown until all is written through. It
// fails with errStateTooLarge where nothing was written, as the control state would be too large.
func (plane *ControlPlane) write(ctx context.Context, epoch uint64, sets map[string][]byte) (uint64, error) {
	sequence, err := plane.Store.Put(ctx, epoch, sets)
	if errorx.IsOfType(err, consensus.StateTooLarge) {
		plane.Log.Warn().Str("event", "write_refused").Uint64("epoch", epoch).Str("error", err.Error()).Msg("")
		return 0, errStateTooLarge
	}
	if err != nil {
		plane.updateView(epoch, func(v *view) { v.ready = false })
		wake(plane.reconcileNow)
		plane.Log.Warn().Str("event", "write_unclear").Uint64("epoch", epoch).Str("error", err.Error()).Msg("")
	}
	return sequence, err
}

// decideAndWrite decides on an order and, if the verdict is take, writes it in one step with the decision. decide is called
// twice: an order that will not be written need not wait for the right to write, and one that has waited for it may find
// another view. write is called with the right to write, and tells what became of the order.
//
// It gives the verdict and the view that was decided on, or what write gives. It fails with errNotPrimary or errWriterBusy
// where there was no decision, or as write does.
func decideAndWrite[V comparable](ctx context.Context, plane *ControlPlane, take V, decide func(*view) V,
	write func(context.Context, *view) (V, *view, error)) (V, *view, error) {
	var none V
	v, ok := plane.primary()
	if !ok {
		return none, nil, errNotPrimary
	}
	if verdict := decide(v); verdict != take {
		return verdict, v, nil
	}
	if plane.lockWriter(ctx) != nil {
		return none, nil, errWriterBusy
	}
	defer plane.unlockWriter()
	v, ok = plane.primary()
	if !ok {
		return none, nil, errNotPrimary
	}
	if verdict := decide(v); verdict != take {
		return verdict, v, nil
	}
	return write(ctx, v)
}
