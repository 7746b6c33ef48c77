// Package traffic is the clients: they hand messages in, are refused, lose patience, come again, and keep
// the book of what they are owed.
package traffic

import (
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
)

// end is how a message that was taken on came to its end, as far as its client hears.
type end struct {
	how   string // delivered, given_up, handed_back, lost
	retry time.Duration
}

// handIn is one request of a client. A message that comes again is another, under a new id.
type handIn struct {
	id, sender string
	dest       int
	unsafe     bool
	calls      int
	mayRun     bool
	taken      bool
	over       bool
	outcome    chan end // room for one
}

// Registry is what the stand-ins know of each message: whose it is, and how it ended.
type Registry struct {
	log         *eventlog.Log
	maxAttempts int
	open        bool // anybody may hand in

	mu   sync.Mutex
	byID map[string]*handIn
}

// NewRegistry makes an empty book. An open one takes calls with messages that it has never heard of.
func NewRegistry(log *eventlog.Log, mostAttempts int, open bool) *Registry {
	return &Registry{log: log, maxAttempts: mostAttempts, open: open, byID: map[string]*handIn{}}
}

// alias books that a hand-in repeats the event of h under another id of the request: what ends the one ends the other.
func (b *Registry) alias(h *handIn, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.byID[id] = h
}

func (b *Registry) enter(h *handIn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.byID[h.id] = h
}

// Called says whose a message is, and whether the call is within its attempts.
func (b *Registry) Called(id string, dest int) (sender string, within, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.byID[id]
	if h == nil && b.open && id != "" {
		return "", true, true
	}
	if h == nil || h.dest != dest {
		return "", false, false
	}
	h.calls++
	h.mayRun = true
	return h.sender, h.calls <= b.maxAttempts, true
}

// Delivered says that a message's 200 is written.
func (b *Registry) Delivered(id string) { b.finish(id, end{how: "delivered"}) }

// Notice takes a line that a sender told the platform.
func (b *Registry) Notice(sender, id, outcome string, retry time.Duration) {
	b.log.Add(eventlog.Event{Kind: eventlog.Notice, Sender: sender, ID: id, Outcome: outcome, RetryMS: retry.Milliseconds()})
	b.finish(id, end{outcome, retry})
}

// finish ends a message for its client; only the first end counts.
func (b *Registry) finish(id string, e end) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.byID[id]; h != nil && !h.over {
		h.over = true
		h.outcome <- e
	}
}

// Lost says that a sender's folder is gone: what it had taken on comes back to its clients, unless it may
// have run and may not be repeated; that ends.
func (b *Registry) Lost(sender string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.byID {
		if h.sender != sender || !h.taken || h.over {
			continue
		}
		h.over = true
		if h.unsafe && h.mayRun {
			h.outcome <- end{how: "given_up"}
		} else {
			h.outcome <- end{how: "lost"}
		}
	}
}

// take marks a message as taken on.
func (b *Registry) take(h *handIn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.taken = true
}

// close ends a hand-in that its client counts on no longer; false if it had ended by itself.
func (b *Registry) close(h *handIn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	was := h.over
	h.over = true
	return !was
}

// Open is how many messages are taken on and have not ended.
func (b *Registry) Open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, h := range b.byID {
		if h.taken && !h.over {
			n++
		}
	}
	return n
}
