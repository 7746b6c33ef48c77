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
	delayMin  = 100 * time.Microsecond
	delayMax  = 3 * time.Millisecond
	silence   = time.Second           // a call across a cut, or to a machine without power, fails after it
	heldMost  = 40 * time.Millisecond // a message that comes late is held so long at most
	againMost = 3 * time.Second       // the second of two equal messages comes so much later at most
)

// Of so many messages one is lost, comes twice, or comes late, where some do.
const (
	lostOf    = 16
	doubledOf = 8
	heldOf    = 4
)

var (
	errSilent  = errors.New("simulation: no answer")
	errRefused = errors.New("simulation: connection refused")
	errReset   = errors.New("simulation: connection reset")
)

// network carries calls between processes. All state is that of its links; it knows nothing of what the calls mean.
type network struct {
	seed   uint64
	tamper func(*Delivery) // of a planted fault

	mu          sync.Mutex
	machines    map[string]*machine // by IP
	cut         map[[2]string]int   // how many faults cut a link, by names: from, to
	frozen      map[string]bool     // by name
	loseAnswers bool
	reorder     bool
	trouble     bool
	sent        map[[2]string]uint64
	messages    int
	changed     chan struct{} // closed when a link has opened or closed
	closed      bool
	ordered     map[string]chan struct{} // closed when the machine has begun to serve an order; by name
}

func newNetwork(seed uint64) *network {
	return &network{seed: seed, machines: map[string]*machine{}, cut: map[[2]string]int{}, frozen: map[string]bool{},
		sent: map[[2]string]uint64{}, changed: make(chan struct{}), ordered: map[string]chan struct{}{}}
}

// set changes the network, and lets all that wait look again.
func (n *network) set(f func()) {
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
	Answer []byte
	Repeat func() // serves the call once more
}

// fate is what befalls one call.
type fate struct {
	there, back, again              time.Duration
	loseRequest, loseAnswer, double bool
}

// draw gives the fate of the next call on a link. It depends on the seed, the link and the number of calls on it alone.
func (n *network) draw(from, to string, doublable bool) fate {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]string{from, to}
	n.sent[key]++
	n.messages++
	h := fnv.New64a()
	_, _ = io.WriteString(h, from+">"+to)
	r := rand.New(rand.NewPCG(n.seed^h.Sum64(), n.sent[key]))
	delay := func() time.Duration { return delayMin + time.Duration(r.Int64N(int64(delayMax-delayMin))) }
	f := fate{there: delay(), back: delay()}
	if n.loseAnswers && strings.HasPrefix(from, operatorPrefix) {
		f.loseAnswer = r.IntN(2) == 0
	}
	if n.trouble {
		f.loseRequest = r.IntN(lostOf) == 0
		f.loseAnswer = f.loseAnswer || r.IntN(lostOf) == 0
	}
	if n.reorder {
		f.double, f.again = doublable && r.IntN(doubledOf) == 0, time.Duration(r.Int64N(int64(againMost)))
		if r.IntN(heldOf) == 0 {
			f.there += time.Duration(r.Int64N(int64(heldMost)))
			f.back += time.Duration(r.Int64N(int64(heldMost)))
		}
	}
	return f
}

// pass waits until a message that left now has come, and tells whether it has: it is lost where the link is cut for
// longer than silence. A frozen side holds it.
func (n *network) pass(from, to string, delay time.Duration) bool {
	time.Sleep(delay)
	var limit <-chan time.Time
	for {
		n.mu.Lock()
		cut, frozen, changed, closed := n.cut[[2]string{from, to}] > 0, n.frozen[from] || n.frozen[to], n.changed, n.closed
		n.mu.Unlock()
		if closed {
			return false
		}
		if !cut && !frozen {
			return true
		}
		if cut && limit == nil {
			timer := time.NewTimer(silence)
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

type outcome struct {
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
	done := make(chan outcome, 1)
	go func() {
		response, err := l.carry(r, body)
		done <- outcome{response, err}
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

// carry brings a call to its machine and the answer back.
func (l *link) carry(r *http.Request, body []byte) (*http.Response, error) {
	if l.from.over() {
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
		time.Sleep(silence)
		return nil, errSilent
	}
	from := l.from.machine.name
	f := n.draw(from, to.name, strings.HasPrefix(r.URL.Path, "/twirp/"))
	if !n.pass(from, to.name, f.there) {
		return nil, errSilent
	}
	if f.loseRequest {
		time.Sleep(silence)
		return nil, errSilent
	}
	p, dark := to.process()
	switch {
	case dark:
		time.Sleep(silence)
		return nil, errSilent
	case p == nil:
		return nil, errRefused
	}
	if r.URL.Path == orderPath {
		n.noteOrder(to.name)
	}
	if f.double {
		go func() {
			time.Sleep(f.again)
			if again, _ := to.process(); again != nil && n.pass(from, to.name, 0) {
				again.serve(context.WithoutCancel(r.Context()), from, port, r, body)
			}
		}()
	}
	answer := p.serve(r.Context(), from, port, r, body)
	if answer == nil || p.over() {
		return nil, errReset
	}
	if n.tamper != nil {
		d := &Delivery{Path: r.URL.Path, Header: r.Header, Answer: answer.body.Bytes(),
			Repeat: func() { p.serve(r.Context(), from, port, r, body) }}
		n.tamper(d)
		answer.body = *bytes.NewBuffer(d.Answer)
	}
	if f.loseAnswer || !n.pass(to.name, from, f.back) {
		time.Sleep(silence)
		return nil, errSilent
	}
	if l.from.over() {
		return nil, errReset
	}
	return answer.response(r), nil
}

// awaitOrder gives a channel that is closed when a machine has begun to serve an order. One at a time waits for a machine.
func (n *network) awaitOrder(name string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ordered[name] = make(chan struct{})
	return n.ordered[name]
}

// noteOrder notes that a machine begins to serve an order.
func (n *network) noteOrder(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ordered := n.ordered[name]; ordered != nil {
		close(ordered)
		delete(n.ordered, name)
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
