package controlplane

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// scriptedDecisions runs decideAndWrite with decisions that the test sets.
type scriptedDecisions struct {
	results []string          // of the calls of decide; further calls get the last one
	states  []*publishedState // that were decided on
	written []*publishedState
}

func (d *scriptedDecisions) run(ctx context.Context, plane *ControlPlane) (string, *publishedState, error) {
	decide := func(v *publishedState) string {
		d.states = append(d.states, v)
		return d.results[min(len(d.states), len(d.results))-1]
	}
	write := func(_ context.Context, v *publishedState) (string, *publishedState, error) {
		d.written = append(d.written, v)
		return "written", v, nil
	}
	return decideAndWrite(ctx, plane, "take", decide, write)
}

// A request is written with the state of its last decision, and one that is not to be written neither waits nor writes.
func TestDecideAndWrite(t *testing.T) {
	withHarness(t, func(h *harness) {
		accepted := &scriptedDecisions{results: []string{"take"}}
		decision, v, err := accepted.run(h.ctx, h.plane)
		assert.NilError(t, err)
		assert.Equal(t, decision, "written")
		assert.Equal(t, len(accepted.states), 2)
		assert.Assert(t, len(accepted.written) == 1 && v == accepted.written[0] && v == accepted.states[1])

		assert.NilError(t, h.plane.lockWriter(h.ctx))
		rejected := &scriptedDecisions{results: []string{"no"}} // while another request holds the writer lock
		decision, v, err = rejected.run(h.ctx, h.plane)
		assert.NilError(t, err)
		assert.Equal(t, decision, "no")
		assert.Assert(t, len(rejected.states) == 1 && v == rejected.states[0] && len(rejected.written) == 0)

		ctx, cancel := context.WithTimeout(h.ctx, operatorWriteTimeout)
		defer cancel()
		late := &scriptedDecisions{results: []string{"take"}}
		_, _, err = late.run(ctx, h.plane)
		assert.ErrorIs(t, err, errWriterBusy)
		assert.Equal(t, len(late.written), 0)

		overtaken := &scriptedDecisions{results: []string{"take", "no"}}
		done := make(chan struct{})
		go func() {
			defer close(done)
			decision, v, err = overtaken.run(h.ctx, h.plane)
		}()
		synctest.Wait() // it waits for the writer lock
		assert.Equal(t, len(overtaken.states), 1)
		h.plane.updatePublished(overtaken.states[0].epoch, func(*publishedState) {})
		h.plane.unlockWriter()
		<-done
		assert.NilError(t, err)
		assert.Equal(t, decision, "no")
		assert.Assert(t, len(overtaken.states) == 2 && v == overtaken.states[1] && v != overtaken.states[0] && len(overtaken.written) == 0)
	})
}

// A process that is not the primary decides nothing, even if it was the primary until it got the writer lock.
func TestDecideAndWrite_NotPrimary(t *testing.T) {
	withHarness(t, func(h *harness) {
		deposed := &scriptedDecisions{results: []string{"take"}}
		assert.NilError(t, h.plane.lockWriter(h.ctx))
		done := make(chan error)
		go func() {
			_, _, err := deposed.run(h.ctx, h.plane)
			done <- err
		}()
		synctest.Wait()
		h.store.set(func() { h.store.primary = false })
		h.plane.unlockWriter()
		assert.ErrorIs(t, <-done, errNotPrimary)
		assert.Equal(t, len(deposed.states), 1)
		assert.Equal(t, len(deposed.written), 0)

		h.advance(time.Second)
		never := &scriptedDecisions{results: []string{"take"}}
		_, _, err := never.run(h.ctx, h.plane)
		assert.ErrorIs(t, err, errNotPrimary)
		assert.Equal(t, len(never.states), 0)
	})
}
