// Package traffic simulates the clients: they hand messages in, time out, retry refused messages, and record the messages whose outcome
// they wait for.
package traffic

import (
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
)

// end is the outcome of an accepted message as its client learns it.
type end struct {
	how   string // delivered, given_up, handed_back, lost
	retry time.Duration
}

// handIn is one request of a client. A retry of its message is another hand-in, under a new id.
type handIn struct {
	id, sender string
	dest       int
	unsafe     bool
	calls      int
	mayRun     bool
	accepted   bool
	ended      bool
	outcome    chan end // buffers one outcome
}

// Registry records the sender and the outcome of each message for the simulated receivers and clients.
type Registry struct {
	log            *eventlog.Log
	maxAttempts    int
	acceptsUnknown bool // also accepts calls with unknown ids

	mu   sync.Mutex
	byID map[string]*handIn
}

// NewRegistry returns an empty registry. With acceptsUnknown it also accepts calls with ids that it has no hand-in for.
func NewRegistry(log *eventlog.Log, maxAttempts int, acceptsUnknown bool) *Registry {
	return &Registry{log: log, maxAttempts: maxAttempts, acceptsUnknown: acceptsUnknown, byID: map[string]*handIn{}}
}

// addAlias records that a hand-in repeats the event of h under another request id: an outcome under either id ends both.
func (b *Registry) addAlias(h *handIn, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.byID[id] = h
}

func (b *Registry) add(h *handIn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.byID[h.id] = h
}

// Called counts a call and returns its message's sender and whether the call is within the allowed attempts; ok is false for an id that
// was not handed in for dest.
func (b *Registry) Called(id string, dest int) (sender string, within, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.byID[id]
	if h == nil && b.acceptsUnknown && id != "" {
		return "", true, true
	}
	if h == nil || h.dest != dest {
		return "", false, false
	}
	h.calls++
	h.mayRun = true
	return h.sender, h.calls <= b.maxAttempts, true
}

// Delivered records that the 200 for a message has been written.
func (b *Registry) Delivered(id string) { b.finish(id, end{how: "delivered"}) }

// Notice records a notice that a sender sent to the platform.
func (b *Registry) Notice(sender, id, outcome string, retry time.Duration) {
	b.log.Add(eventlog.Event{Kind: eventlog.Notice, Sender: sender, ID: id, Outcome: outcome, RetryMS: retry.Milliseconds()})
	b.finish(id, end{outcome, retry})
}

// finish ends a message for its client; only the first end counts.
func (b *Registry) finish(id string, e end) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.byID[id]; h != nil && !h.ended {
		h.ended = true
		h.outcome <- e
	}
}

// Lost records that a sender's state folder is lost. Messages that the sender had accepted go back to their clients, except those that
// may have run and must not be repeated: these are given up.
func (b *Registry) Lost(sender string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.byID {
		if h.sender != sender || !h.accepted || h.ended {
			continue
		}
		h.ended = true
		if h.unsafe && h.mayRun {
			h.outcome <- end{how: "given_up"}
		} else {
			h.outcome <- end{how: "lost"}
		}
	}
}

// accept marks a message as accepted by its sender.
func (b *Registry) accept(h *handIn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.accepted = true
}

// abandon ends a hand-in on which its client no longer relies; false if the hand-in had already ended.
func (b *Registry) abandon(h *handIn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	was := h.ended
	h.ended = true
	return !was
}

// Open returns how many messages are accepted and have not ended.
func (b *Registry) Open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, h := range b.byID {
		if h.accepted && !h.ended {
			n++
		}
	}
	return n
}
