package simulation

import (
	"errors"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the network.
const (
	minDelay          = 100 * time.Microsecond
	maxDelay          = 3 * time.Millisecond
	lostCallTimeout   = time.Second           // after which a lost call fails, as across a partition or to a machine without power
	maxMessageDelay   = 40 * time.Millisecond // of a delayed message
	maxDuplicateDelay = 3 * time.Second       // from a message to its duplicate
)

// While such a fault is injected, one in this many messages is lost, duplicated or delayed.
const (
	lostOneIn       = 16
	duplicatedOneIn = 8
	delayedOneIn    = 4
)

var (
	errTimeout = errors.New("simulation: no answer")
	errRefused = errors.New("simulation: connection refused")
	errReset   = errors.New("simulation: connection reset")
)

// network carries calls between processes. It keeps the state of the links, and does not interpret the calls.
type network struct {
	seed        uint64
	tamperReply func(*Delivery) // changes replies for an injected fault; nil: none

	mu            sync.Mutex
	machines      map[string]*machine // by IP
	partitioned   map[[2]string]int   // number of faults that block a link, by the names of sender and receiver
	frozen        map[string]bool     // by name
	loseResponses bool
	reorder       bool
	loseMessages  bool
	sent          map[[2]string]uint64
	messages      int
	changed       chan struct{} // closed and replaced by each update
	closed        bool
	changeBegun   map[string]chan struct{} // by machine name; closed when the machine begins to serve a change
}

// newNetwork returns a network without machines, whose delays and losses are drawn from a seed.
func newNetwork(seed uint64) *network {
	return &network{seed: seed, machines: map[string]*machine{}, partitioned: map[[2]string]int{}, frozen: map[string]bool{},
		sent: map[[2]string]uint64{}, changed: make(chan struct{}), changeBegun: map[string]chan struct{}{}}
}

// machineAt returns the machine at an IP address, or nil.
func (n *network) machineAt(ip string) *machine {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.machines[ip]
}

// update changes the network, and wakes the messages that wait for a change.
func (n *network) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Delivery is the reply to a call on its way to the caller.
type Delivery struct {
	Path   string
	Header http.Header // of the request
	Reply  []byte
	Repeat func() // serves the call once more
}

// callOutcome is the outcome of one call on the network: its delays, losses and duplicates.
type callOutcome struct {
	requestDelay, replyDelay, duplicateDelay time.Duration
	loseRequest, loseReply, duplicate        bool
}

// drawOutcome draws the outcome of the next call on a link. It depends only on the seed, the link, the number of calls on the link and the
// injected faults.
func (n *network) drawOutcome(from, to string, mayDuplicate bool) callOutcome {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]string{from, to}
	n.sent[key]++
	n.messages++
	h := fnv.New64a()
	_, _ = io.WriteString(h, from+">"+to)
	r := rand.New(rand.NewPCG(n.seed^h.Sum64(), n.sent[key]))
	delay := func() time.Duration { return minDelay + time.Duration(r.Int64N(int64(maxDelay-minDelay))) }
	f := callOutcome{requestDelay: delay(), replyDelay: delay()}
	if n.loseResponses && strings.HasPrefix(from, operatorPrefix) {
		f.loseReply = r.IntN(2) == 0
	}
	if n.loseMessages {
		f.loseRequest = r.IntN(lostOneIn) == 0
		f.loseReply = f.loseReply || r.IntN(lostOneIn) == 0
	}
	if n.reorder {
		f.duplicate, f.duplicateDelay = mayDuplicate && r.IntN(duplicatedOneIn) == 0, time.Duration(r.Int64N(int64(maxDuplicateDelay)))
		if r.IntN(delayedOneIn) == 0 {
			f.requestDelay += time.Duration(r.Int64N(int64(maxMessageDelay)))
			f.replyDelay += time.Duration(r.Int64N(int64(maxMessageDelay)))
		}
	}
	return f
}

// deliver waits until a message that is sent now is delivered, and reports whether it was. A message is lost if the link is partitioned
// for longer than lostCallTimeout. A frozen sender or receiver delays the message.
func (n *network) deliver(from, to string, delay time.Duration) bool {
	time.Sleep(delay)
	var limit <-chan time.Time
	for {
		n.mu.Lock()
		partitioned, frozen, changed, closed := n.partitioned[[2]string{from, to}] > 0, n.frozen[from] || n.frozen[to], n.changed, n.closed
		n.mu.Unlock()
		if closed {
			return false
		}
		if !partitioned && !frozen {
			return true
		}
		if partitioned && limit == nil {
			timer := time.NewTimer(lostCallTimeout)
			defer timer.Stop()
			limit = timer.C
		}
		select {
		case <-changed:
		case <-limit:
			return false
		}
	}
}

// awaitChange returns a channel that is closed when a machine has begun to serve a change. At most one caller
// at a time may wait for a machine.
func (n *network) awaitChange(name string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changeBegun[name] = make(chan struct{})
	return n.changeBegun[name]
}

// recordChange records that a machine begins to serve a change.
func (n *network) recordChange(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if begun := n.changeBegun[name]; begun != nil {
		close(begun)
		delete(n.changeBegun, name)
	}
}
