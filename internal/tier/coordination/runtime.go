package coordination

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"

	"saffronyard.example/saffronyard/internal/tier/consensus"
)

// Errors of Runtime.Do.
var (
	// ErrNotPrimary: this process must not answer; the call had no effect.
	ErrNotPrimary = errors.New("coordination: not the primary")
	// ErrBusy: the call had no effect, because it was not started in time, or because the machine was discarded after a failed
	// write.
	ErrBusy = errors.New("coordination: nothing was done")
	// ErrTooLarge: the call had no effect, because the control state would become too large.
	ErrTooLarge = errors.New("coordination: the control state would be too large")
	// ErrOutcomeUnknown: the call may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("coordination: the outcome is unknown")
)

// primaryCheckInterval is how often the runtime checks, while watches are pending, that it is still the primary.
const primaryCheckInterval = 100 * time.Millisecond

// Store is the replicated control state, as implemented by package consensus.
type Store interface {
	// Put writes records and returns nil only when they are synced at all replicas. If the error is consensus.ErrNotPrimary, or of
	// type consensus.StateTooLarge, nothing was written.
	Put(ctx context.Context, epoch uint64, sets map[string][]byte) (sequence uint64, err error)
	// Confirm returns nil after a round trip to all replicas that began after the call.
	Confirm(ctx context.Context, epoch uint64) error
	// Scan returns all records whose keys begin with a prefix, as committed at all replicas.
	Scan(prefix string) map[string][]byte
}

// RuntimeConfig is the configuration of a Runtime.
type RuntimeConfig struct {
	Config
	Store Store
	// Primary returns the epoch in which this process may write and answer, and whether it may. It must return false until each
	// write of earlier epochs is either committed or discarded for good.
	Primary      func() (epoch uint64, ok bool)
	Now          func() time.Duration // monotonic
	WriteTimeout time.Duration        // of one write or round trip
	Log          *log.Logger
}

// Runtime runs a Machine on a Store while this process is the primary: it orders all calls into batches. Its methods are safe for
// concurrent use; Run is called once.
type Runtime struct {
	config RuntimeConfig
	wake   chan struct{} // has an element while Run has to check the queue and the primary

	mu        sync.Mutex // guards the fields from queue to figures
	queue     []*pendingCall
	cancelled []uint64 // tokens of watches whose callers have given up
	lastToken uint64
	stopped   bool
	figures   Figures

	// Used only by Run.
	machine *Machine // nil: to be loaded
	epoch   uint64   // in which machine was loaded
	waiting map[uint64]*pendingCall

	unresolved bool // a write of this process may be in flight

	onLoad func(*Machine) // called with each loaded machine; set only by tests that inject faults
}

// pendingCall is a call that waits for its outcome.
type pendingCall struct {
	token   uint64
	call    Call
	begun   atomic.Bool // Run has started it, or its caller has given up
	outcome chan callOutcome
}

type callOutcome struct {
	result Result
	err    error
}

// NewRuntime returns a runtime that answers nothing until Run is called.
func NewRuntime(config RuntimeConfig) *Runtime {
	return &Runtime{config: config, wake: make(chan struct{}, 1), waiting: map[uint64]*pendingCall{}}
}

// Do applies a call and waits for its result. If ctx ends before the call was started, the error is ErrBusy and the call is never
// applied.
func (r *Runtime) Do(ctx context.Context, call Call) (Result, error) {
	pending := &pendingCall{call: call, outcome: make(chan callOutcome, 1)}
	if !r.enqueue(pending) {
		return nil, ErrNotPrimary
	}
	select {
	case o := <-pending.outcome:
		return o.result, o.err
	case <-ctx.Done():
	}
	if pending.begun.CompareAndSwap(false, true) {
		return nil, ErrBusy
	}
	if _, isWatch := call.(WatchGroup); isWatch {
		r.cancel(pending.token)
		return nil, ErrBusy
	}
	return nil, ErrOutcomeUnknown
}

// enqueue queues a call. It returns false once Run has ended.
func (r *Runtime) enqueue(pending *pendingCall) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return false
	}
	r.lastToken++
	pending.token = r.lastToken
	r.queue = append(r.queue, pending)
	r.Wake()
	return true
}

// cancel removes a watch whose caller has given up.
func (r *Runtime) cancel(token uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelled = append(r.cancelled, token)
	r.Wake()
}

// Wake makes Run check whether this process is the primary, and load the records if it is: from that moment on, the recorded holds
// of locks are measured.
func (r *Runtime) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Figures returns the counts as of the last batch.
func (r *Runtime) Figures() Figures {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.figures
}

// Run serves calls until ctx ends.
func (r *Runtime) Run(ctx context.Context) {
	defer r.stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
		}
		r.runBatch(ctx)
		if pause, holds := r.untilNextCheck(); holds {
			timer.Reset(pause)
		}
	}
}

// stop fails all waiting calls, and makes all later ones fail.
func (r *Runtime) stop() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.failAll(ErrNotPrimary)
}

// untilNextCheck returns the time until the pending watches must be checked again, and whether there are any.
func (r *Runtime) untilNextCheck() (time.Duration, bool) {
	if r.machine == nil {
		return 0, false
	}
	at, holds := r.machine.NextDeadline()
	return max(0, min(at-r.config.Now(), primaryCheckInterval)), holds
}

// runBatch applies all queued calls as one batch, and answers them when it is committed.
func (r *Runtime) runBatch(ctx context.Context) {
	epoch, ok := r.config.Primary()
	if !ok {
		r.failAll(ErrNotPrimary)
		return
	}
	if err := r.ensureLoaded(ctx, epoch); err != nil {
		r.failAll(ErrBusy)
		return
	}
	begun, events := r.take()
	actions := r.machine.Step(r.config.Now(), events...)
	if err := r.commit(ctx, actions); err != nil {
		r.failBatch(begun, err)
		return
	}
	r.deliver(actions.Responses)
}

// ensureLoaded loads the machine for an epoch, unless it is loaded already.
func (r *Runtime) ensureLoaded(ctx context.Context, epoch uint64) error {
	if r.machine != nil && r.epoch == epoch {
		return nil
	}
	r.machine = nil
	r.failWaiting(ErrBusy)
	if err := r.resolveWrites(ctx, epoch); err != nil {
		return err
	}
	records := r.config.Store.Scan(KeyPrefix)
	machine, err := Load(r.config.Config, r.config.Now(), records)
	if err != nil {
		r.config.Log.Error().Str("event", "coordination_unreadable").Err(err).Msg("failed to read the records of locks, counters and keys")
		return err
	}
	if r.onLoad != nil {
		r.onLoad(machine)
	}
	r.machine, r.epoch = machine, epoch
	figures := machine.Figures()
	r.config.Log.Info().Str("event", "coordination_loaded").Uint64("epoch", epoch).Int("locks", figures.Locks).Int("counters", figures.Counters).
		Int("keys", figures.Keys).Msg("serving locks, counters and keys")
	return nil
}

// resolveWrites makes a round trip after which any write of this process that was in flight is either committed or discarded for
// good. If no write may be in flight, it sends nothing: while messages are lost, each additional round trip can delay a new
// primary.
func (r *Runtime) resolveWrites(ctx context.Context, epoch uint64) error {
	if !r.unresolved {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.config.WriteTimeout)
	defer cancel()
	if err := r.config.Store.Confirm(ctx, epoch); err != nil {
		return err
	}
	r.unresolved = false
	return nil
}

// take returns the queued calls and cancellations as events of the next step, without the calls whose callers have given up.
func (r *Runtime) take() (begun []*pendingCall, events []Event) {
	r.mu.Lock()
	queue, cancelled := r.queue, r.cancelled
	r.queue, r.cancelled = nil, nil
	r.mu.Unlock()
	for _, pending := range queue {
		if !pending.begun.CompareAndSwap(false, true) {
			continue
		}
		begun = append(begun, pending)
		r.waiting[pending.token] = pending
		events = append(events, Request{pending.token, pending.call})
	}
	for _, token := range cancelled {
		delete(r.waiting, token)
		events = append(events, WatchCancelled{token})
	}
	return begun, events
}

// commit writes the records of a step. If the step has responses but no records, it makes a round trip that confirms them.
func (r *Runtime) commit(ctx context.Context, actions Actions) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.config.WriteTimeout)
	defer cancel()
	switch {
	case len(actions.Writes) > 0:
		_, err := r.config.Store.Put(ctx, r.epoch, actions.Writes)
		return err
	case actions.Confirm:
		return r.config.Store.Confirm(ctx, r.epoch)
	}
	return nil
}

// failBatch fails the calls of a batch whose commit failed, and discards the machine, whose state is ahead of the records.
func (r *Runtime) failBatch(begun []*pendingCall, cause error) {
	for _, pending := range begun {
		err := ErrOutcomeUnknown
		switch {
		case errors.Is(cause, consensus.ErrNotPrimary):
			err = ErrNotPrimary
		case errorx.IsOfType(cause, consensus.StateTooLarge):
			err = ErrTooLarge
		case !mayWrite(pending.call):
			err = ErrBusy
		}
		r.end(pending, callOutcome{err: err})
	}
	r.machine, r.unresolved = nil, true
	r.failWaiting(ErrBusy)
	r.config.Log.Warn().Str("event", "coordination_unclear").Uint64("epoch", r.epoch).Str("error", cause.Error()).
		Msg("failed to confirm a batch of locks, counters and keys; reloading the records")
}

// mayWrite reports whether a call may change a record.
func mayWrite(call Call) bool {
	switch call.(type) {
	case ReadKey, WatchGroup:
		return false
	}
	return true
}

// deliver passes responses to their callers, and updates the figures.
func (r *Runtime) deliver(responses []Response) {
	for _, response := range responses {
		if pending := r.waiting[response.Token]; pending != nil {
			r.end(pending, callOutcome{result: response.Result})
		}
	}
	figures := r.machine.Figures()
	r.mu.Lock()
	r.figures = figures
	r.mu.Unlock()
}

// end completes a call with its outcome.
func (r *Runtime) end(pending *pendingCall, o callOutcome) {
	delete(r.waiting, pending.token)
	pending.outcome <- o
}

// failWaiting fails all calls that were started and have no outcome yet.
func (r *Runtime) failWaiting(err error) {
	for _, pending := range r.waiting {
		r.end(pending, callOutcome{err: err})
	}
}

// failAll fails all calls, and discards the machine.
func (r *Runtime) failAll(err error) {
	r.machine = nil
	r.take()
	r.failWaiting(err)
}
