// Package resend resends undelivered messages, by rule and on operators' request, as background work. Package undelivered decides what
// may be resent and when; the sender's decision module decides whether, where and when each attempt is made, as for any message.
//
// A resend is a sequence of durable steps: the store marks the entry as resending; the sender writes the message to its journal as its
// next incarnation; the message ends there; the recorder gets that end, and the store records it. If the process is killed between any two
// of these steps, the message is either in the journal, and its delivery continues, or marked in the store and not in the journal, in
// which case Store.Reconcile returns it to the stored entries. Engine persists nothing of its own, and is safe for concurrent use.
package resend

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/undelivered"
)

// Sender is the part of the sender that the engine uses.
type Sender interface {
	// Receivers returns the state of destinations.
	Receivers(ctx context.Context) (map[uint32]undelivered.Receiver, error)
	// Resend accepts a message once more, to be delivered within deadline; on an error it has not accepted it.
	Resend(ctx context.Context, e undelivered.Entry, deadline time.Duration) error
	// InFlight returns the ids of resent messages whose end is not recorded yet.
	InFlight(ctx context.Context) (map[string]bool, error)
}

const (
	pageSize           = 200                   // entries scanned in one slice
	recheckInterval    = 30 * time.Second      // between two scans of entries none of which could be resent
	manualDeadline     = 28 * time.Second      // of messages resent on request
	manualRateFraction = 0.5                   // of the receiver's rate, for messages resent on request
	expireBatch        = 500                   // entries dropped in one slice
	minRetryDelay      = 10 * time.Millisecond // before a pacer that admits nothing is called again
	nextPageDelay      = 50 * time.Millisecond // after messages were handed over
)

// Engine resends messages. Its exported fields are set before Kinds is called.
type Engine struct {
	Rules  []undelivered.Rule
	Window func(class string) time.Duration // how long receivers remember the keys of a class
	Store  func() (*undelivered.Store, error)
	Sender Sender
	Log    *slog.Logger
	Clock  func() time.Duration // a clock that does not go back
	Wall   func() time.Time

	mu         sync.Mutex
	reconciled bool
	pacers     map[uint32]*undelivered.Pacer
	scheduled  map[string]bool // members that have a job
	requested  []string        // members for which the last findMembers spawned one
	positions  map[string]position
	generation int // grows when a resent message ends, a resend is requested, or rules change: all entries are scanned again
}

// RecordResendEnd records how a resent message ended; it is set as LazyStore.OnResendEnd.
func (e *Engine) RecordResendEnd(x *undelivered.Entry) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g := e.pacers[x.Destination]; g != nil {
		g.RecordResult(x.Ending == undelivered.Delivered)
	}
	e.generation++
}

// SetRules replaces the rules in service. Messages in flight are not affected.
func (e *Engine) SetRules(rules []undelivered.Rule) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Rules = rules
	e.generation++
}

func (e *Engine) rules() []undelivered.Rule {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Rules
}
