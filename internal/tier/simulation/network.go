package simulation

import (
	"bytes"
	"context"
	"errors"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the network.
const (
	minDelay          = 100 * time.Microsecond
	maxDelay          = 3 * time.Millisecond
	lostCallTimeout   = time.Second           // a call across a cut, or to a machine without power, fails after it
	maxMessageDelay   = 40 * time.Millisecond // a message that comes late is held so long at most
	maxDuplicateDelay = 3 * time.Second       // the second of two equal messages comes so much later at most
)

// Of so many messages one is lost, comes twice, or comes late, where some do.
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

// network carries calls between processes. All state is that of its links; it knows nothing of what the calls mean.
type network struct {
	seed        uint64
	tamperReply func(*Delivery) // of a planted fault

	mu            sync.Mutex
	machines      map[string]*machine // by IP
	partitioned   map[[2]string]int   // how many faults cut a link, by names: from, to
	frozen        map[string]bool     // by name
	loseResponses bool
	reorder       bool
	loseMessages  bool
	sent          map[[2]string]uint64
	messages      int
	changed       chan struct{} // closed when a link has opened or closed
	closed        bool
	changeBegun   map[string]chan struct{} // closed when the machine has begun to serve an order; by name
}

func newNetwork(seed uint64) *network {
	return &network{seed: seed, machines: map[string]*machine{}, partitioned: map[[2]string]int{}, frozen: map[string]bool{},
		sent: map[[2]string]uint64{}, changed: make(chan struct{}), changeBegun: map[string]chan struct{}{}}
}

// update changes the network, and lets all that wait look again.
func (n *network) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Delivery is a call that has been answered, on its way back to the caller.
type Delivery struct {
	Path   string
	Header http.Header // of the request
	Reply  []byte
	Repeat func() // serves the call once more
}

// fate is what befalls one call.
type fate struct {
	requestDelay, replyDelay, duplicateDelay time.Duration
	loseRequest, loseReply, duplicate        bool
}

// drawFate gives the fate of the next call on a link. It depends on the seed, the link and the number of calls on it alone.
func (n *network) drawFate(from, to string, doublable bool) fate {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]string{from, to}
	n.sent[key]++
	n.messages++
	h := fnv.New64a()
	_, _ = io.WriteString(h, from+">"+to)
	r := rand.New(rand.NewPCG(n.seed^h.Sum64(), n.sent[key]))
	delay := func() time.Duration { return minDelay + time.Duration(r.Int64N(int64(maxDelay-minDelay))) }
	f := fate{requestDelay: delay(), replyDelay: delay()}
	if n.loseResponses && strings.HasPrefix(from, operatorPrefix) {
		f.loseReply = r.IntN(2) == 0
	}
	if n.loseMessages {
		f.loseRequest = r.IntN(lostOneIn) == 0
		f.loseReply = f.loseReply || r.IntN(lostOneIn) == 0
	}
	if n.reorder {
		f.duplicate, f.duplicateDelay = doublable && r.IntN(duplicatedOneIn) == 0, time.Duration(r.Int64N(int64(maxDuplicateDelay)))
		if r.IntN(delayedOneIn) == 0 {
			f.requestDelay += time.Duration(r.Int64N(int64(maxMessageDelay)))
			f.replyDelay += time.Duration(r.Int64N(int64(maxMessageDelay)))
		}
	}
	return f
}

// deliver waits until a message that left now has come, and tells whether it has: it is lost where the link is cut for
// longer than silence. A frozen side holds it.
func (n *network) deliver(from, to string, delay time.Duration) bool {
	time.Sleep(delay)
	var limit <-chan time.Time
	for {
		n.mu.Lock()
		cut, frozen, changed, closed := n.partitioned[[2]string{from, to}] > 0, n.frozen[from] || n.frozen[to], n.changed, n.closed
		n.mu.Unlock()
		if closed {
			return false
		}
		if !cut && !frozen {
			return true
		}
		if cut && limit == nil {
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

// link is how one process calls others, by HTTP.
type link struct {
	network *network
	from    *process
}

type callResult struct {
	response *http.Response
	err      error
}

// Do makes a call. It implements the client of twirp.
func (l *link) Do(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return nil, err
		}
		_ = r.Body.Close()
	}
	done := make(chan callResult, 1)
	go func() {
		response, err := l.call(r, body)
		done <- callResult{response, err}
	}()
	select {
	case o := <-done:
		return o.response, o.err
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// RoundTrip implements http.RoundTripper.
func (l *link) RoundTrip(r *http.Request) (*http.Response, error) { return l.Do(r) }

// call brings a call to its machine and the answer back.
func (l *link) call(r *http.Request, body []byte) (*http.Response, error) {
	if l.from.ended() {
		return nil, errReset
	}
	host, port, err := net.SplitHostPort(r.URL.Host)
	if err != nil {
		return nil, err
	}
	n := l.network
	n.mu.Lock()
	to := n.machines[host]
	n.mu.Unlock()
	if to == nil {
		time.Sleep(lostCallTimeout)
		return nil, errTimeout
	}
	from := l.from.machine.name
	f := n.drawFate(from, to.name, strings.HasPrefix(r.URL.Path, "/twirp/"))
	if !n.deliver(from, to.name, f.requestDelay) {
		return nil, errTimeout
	}
	if f.loseRequest {
		time.Sleep(lostCallTimeout)
		return nil, errTimeout
	}
	p, dark := to.process()
	switch {
	case dark:
		time.Sleep(lostCallTimeout)
		return nil, errTimeout
	case p == nil:
		return nil, errRefused
	}
	if r.URL.Path == replacePath {
		n.recordChange(to.name)
	}
	if f.duplicate {
		go func() {
			time.Sleep(f.duplicateDelay)
			if again, _ := to.process(); again != nil && n.deliver(from, to.name, 0) {
				again.serve(context.WithoutCancel(r.Context()), from, port, r, body)
			}
		}()
	}
	answer := p.serve(r.Context(), from, port, r, body)
	if answer == nil || p.ended() {
		return nil, errReset
	}
	if n.tamperReply != nil {
		d := &Delivery{Path: r.URL.Path, Header: r.Header, Reply: answer.body.Bytes(),
			Repeat: func() { p.serve(r.Context(), from, port, r, body) }}
		n.tamperReply(d)
		answer.body = *bytes.NewBuffer(d.Reply)
	}
	if f.loseReply || !n.deliver(to.name, from, f.replyDelay) {
		time.Sleep(lostCallTimeout)
		return nil, errTimeout
	}
	if l.from.ended() {
		return nil, errReset
	}
	return answer.response(r), nil
}

// awaitChange gives a channel that is closed when a machine has begun to serve an order. One at a time waits for a machine.
func (n *network) awaitChange(name string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changeBegun[name] = make(chan struct{})
	return n.changeBegun[name]
}

// recordChange notes that a machine begins to serve an order.
func (n *network) recordChange(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ordered := n.changeBegun[name]; ordered != nil {
		close(ordered)
		delete(n.changeBegun, name)
	}
}

// recorder takes an answer in.
type recorder struct {
	status int
	header http.Header
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header { return r.header }

func (r *recorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

func (r *recorder) Write(b []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	return r.body.Write(b)
}

func (r *recorder) response(to *http.Request) *http.Response {
	r.WriteHeader(http.StatusOK)
	return &http.Response{Status: http.StatusText(r.status), StatusCode: r.status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: r.header, Body: io.NopCloser(bytes.NewReader(r.body.Bytes())), ContentLength: int64(r.body.Len()), Request: to}
}
