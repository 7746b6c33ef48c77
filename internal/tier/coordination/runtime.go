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
	// ErrNotPrimary: this process may not answer; nothing was done.
	ErrNotPrimary = errors.New("coordination: not the primary")
	// ErrBusy: nothing was done, as the call was not begun in time, or its state was dropped with a write that failed.
	ErrBusy = errors.New("coordination: nothing was done")
	// ErrTooLarge: nothing was done, as the control state would be too large.
	ErrTooLarge = errors.New("coordination: the control state would be too large")
	// ErrOutcomeUnknown: the call may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("coordination: the outcome is unknown")
)

// primaryCheckInterval is how often the runtime looks whether it may still hold watches.
const primaryCheckInterval = 100 * time.Millisecond

// Store is the replicated control state, as package consensus keeps it.
type Store interface {
	// Put writes records, and returns nil only when they are synced at all replicas; consensus.ErrNotPrimary, or an error of
	// type consensus.StateTooLarge, where nothing was written.
	Put(ctx context.Context, epoch uint64, sets map[string][]byte) (sequence uint64, err error)
	// Confirm returns nil after a round trip to all replicas that began after the call.
	Confirm(ctx context.Context, epoch uint64) error
	// Scan returns all records whose keys begin with a prefix, as committed at all replicas.
	Scan(prefix string) map[string][]byte
}

// RuntimeConfig is what NewRuntime needs.
type RuntimeConfig struct {
	Config
	Store Store
	// Primary returns the epoch in which this process may write and answer, and whether it may: not before what earlier epochs wrote
	// is either committed or gone for good.
	Primary      func() (epoch uint64, ok bool)
	Now          func() time.Duration // monotonic
	WriteTimeout time.Duration        // of one write or round trip
	Log          *log.Logger
}

// Runtime runs a Machine on a Store while this process is the primary: it orders all calls, a batch at a time. Its methods are safe
// for concurrent use; Run is called once.
type Runtime struct {
	config RuntimeConfig
	wake   chan struct{} // has an element while there is something in the queue

	mu        sync.Mutex // guards what follows
	queue     []*pendingCall
	cancelled []uint64 // tokens of watches that nobody waits for any more
	lastToken uint64
	stopped   bool
	figures   Figures

	// Of Run alone.
	machine *Machine // nil: to be loaded
	epoch   uint64   // in which machine was loaded
	waiting map[uint64]*pendingCall

	unresolved bool // a write of this process may be under way

	onLoad func(*Machine) // called with each machine that was loaded; nil but in tests that inject faults
}

// pendingCall is a call that waits for its outcome.
type pendingCall struct {
	token   uint64
	call    Call
	begun   atomic.Bool // Run has taken it, or its caller has given it up
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

// Do has a call applied and waits for its result. If ctx ends before the call was begun, the error is ErrBusy, and it never will be.
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

// cancel drops a watch.
func (r *Runtime) cancel(token uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancelled = append(r.cancelled, token)
	r.Wake()
}

// Wake has Run look whether this process is the primary, and load the records if it is: holds of locks are counted from then on.
func (r *Runtime) Wake() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Figures returns the counts of the last batch.
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

// stop fails all calls that wait, and those that are still to come.
func (r *Runtime) stop() {
	r.mu.Lock()
	r.stopped = true
	r.mu.Unlock()
	r.drop(ErrNotPrimary)
}

// untilNextCheck is the pause until the watches that are held have to be looked at again, and whether there are any.
func (r *Runtime) untilNextCheck() (time.Duration, bool) {
	if r.machine == nil {
		return 0, false
	}
	at, holds := r.machine.NextDeadline()
	return max(0, min(at-r.config.Now(), primaryCheckInterval)), holds
}

// runBatch applies all calls that wait as one batch, and answers them when it is committed.
func (r *Runtime) runBatch(ctx context.Context) {
	epoch, ok := r.config.Primary()
	if !ok {
		r.drop(ErrNotPrimary)
		return
	}
	if err := r.ensureLoaded(ctx, epoch); err != nil {
		r.drop(ErrBusy)
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

// ensureLoaded has a machine for an epoch.
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
		r.config.Log.Error().Str("event", "coordination_unreadable").Err(err).Msg("records of locks, counters and keys cannot be read")
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

// resolveWrites makes a round trip that ends whatever write of this process may still be under way: what comes after it finds that
// write either committed or gone for good. Where none is, nothing is sent: each call of a new primary counts while messages are lost.
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

// take takes what is queued, but for what its callers have given up, as events of the next step.
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

// commit writes what a step asks for, or confirms it by a round trip.
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

// failBatch answers the calls of a batch that was not committed, and drops the machine, which is ahead of the records.
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
		Msg("a batch of locks, counters and keys was not committed for sure: loading the records again")
}

// mayWrite reports whether a call may change a record.
func mayWrite(call Call) bool {
	switch call.(type) {
	case ReadKey, WatchGroup:
		return false
	}
	return true
}

// deliver hands responses to their callers.
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

// end gives a call its outcome.
func (r *Runtime) end(pending *pendingCall, o callOutcome) {
	delete(r.waiting, pending.token)
	pending.outcome <- o
}

// failWaiting ends the watches that are held.
func (r *Runtime) failWaiting(err error) {
	for _, pending := range r.waiting {
		r.end(pending, callOutcome{err: err})
	}
}

// drop ends all calls and forgets the machine.
func (r *Runtime) drop(err error) {
	r.machine = nil
	r.take()
	r.failWaiting(err)
}
