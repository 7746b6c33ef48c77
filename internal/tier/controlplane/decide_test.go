package controlplane

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// decisions plays decideAndWrite with verdicts that the test sets.
type decisions struct {
	verdicts []string          // of the calls of decide, the last one again and again
	views    []*publishedState // that were decided on
	written  []*publishedState
}

func (d *decisions) run(ctx context.Context, plane *ControlPlane) (string, *publishedState, error) {
	decide := func(v *publishedState) string {
		d.views = append(d.views, v)
		return d.verdicts[min(len(d.views), len(d.verdicts))-1]
	}
	write := func(_ context.Context, v *publishedState) (string, *publishedState, error) {
		d.written = append(d.written, v)
		return "written", v, nil
	}
	return decideAndWrite(ctx, plane, "take", decide, write)
}

// An order is written under the view of its last decision, and one that is not to be written neither waits nor writes.
func TestDecideAndWrite(t *testing.T) {
	within(t, func(r *rig) {
		taken := &decisions{verdicts: []string{"take"}}
		verdict, v, err := taken.run(r.ctx, r.k)
		assert.NilError(t, err)
		assert.Equal(t, verdict, "written")
		assert.Equal(t, len(taken.views), 2)
		assert.Assert(t, len(taken.written) == 1 && v == taken.written[0] && v == taken.views[1])

		assert.NilError(t, r.k.lockWriter(r.ctx))
		refused := &decisions{verdicts: []string{"no"}} // while another has the right to write
		verdict, v, err = refused.run(r.ctx, r.k)
		assert.NilError(t, err)
		assert.Equal(t, verdict, "no")
		assert.Assert(t, len(refused.views) == 1 && v == refused.views[0] && len(refused.written) == 0)

		ctx, cancel := context.WithTimeout(r.ctx, operatorWriteTimeout)
		defer cancel()
		late := &decisions{verdicts: []string{"take"}}
		_, _, err = late.run(ctx, r.k)
		assert.ErrorIs(t, err, errWriterBusy)
		assert.Equal(t, len(late.written), 0)

		overtaken := &decisions{verdicts: []string{"take", "no"}}
		done := make(chan struct{})
		go func() {
			defer close(done)
			verdict, v, err = overtaken.run(r.ctx, r.k)
		}()
		synctest.Wait() // it waits for the right to write
		assert.Equal(t, len(overtaken.views), 1)
		r.k.updatePublished(overtaken.views[0].epoch, func(*publishedState) {})
		r.k.unlockWriter()
		<-done
		assert.NilError(t, err)
		assert.Equal(t, verdict, "no")
		assert.Assert(t, len(overtaken.views) == 2 && v == overtaken.views[1] && v != overtaken.views[0] && len(overtaken.written) == 0)
	})
}

// A process that is not the primary decides nothing, also where it was until it had the right to write.
func TestDecideAndWriteOnlyAtThePrimary(t *testing.T) {
	within(t, func(r *rig) {
		deposed := &decisions{verdicts: []string{"take"}}
		assert.NilError(t, r.k.lockWriter(r.ctx))
		done := make(chan error)
		go func() {
			_, _, err := deposed.run(r.ctx, r.k)
			done <- err
		}()
		synctest.Wait()
		r.s.set(func() { r.s.ok = false })
		r.k.unlockWriter()
		assert.ErrorIs(t, <-done, errNotPrimary)
		assert.Equal(t, len(deposed.views), 1)
		assert.Equal(t, len(deposed.written), 0)

		r.pass(time.Second)
		never := &decisions{verdicts: []string{"take"}}
		_, _, err := never.run(r.ctx, r.k)
		assert.ErrorIs(t, err, errNotPrimary)
		assert.Equal(t, len(never.views), 0)
	})
}
