// Package links simulates the network between the processes of a fleet and its faults: for each directed pair of senders a proxy on
// loopback, through which one sender reaches the other, and faults that a plan sets on it.
//
// A condition belongs to the direction in which data travels, not to the side that dialled: what b answers on a connection from a
// travels from b to a. So a cut of a to b alone lets b's data through and none of a's. On a real network TCP would stall in both
// directions once acknowledgements are missing; here the direction that works continues, which is the harder case for a protocol. Data
// on a cut direction is held back, not dropped, as TCP would send it again: after the heal it arrives late and in order.
package links

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	chunk            = 16 << 10 // bytes that are forwarded at a time
	maxQueuedParcels = 64       // chunks in flight in one direction of a connection; beyond that reading stops, which slows down the sender
)

// Condition is the state of one direction. The zero value is a healthy link.
type Condition struct {
	Blocked bool          // no data passes, and neither side gets an error
	Refuse  bool          // new connections are refused; existing ones stay up
	Delay   time.Duration // of each chunk
	Jitter  time.Duration // maximum of an additional delay, drawn for each chunk; the order is kept
	Rate    int           // maximum bytes per second; 0: no limit
	// Shares of datagrams that are lost, delivered twice, or overtaken by later ones.
	Loss, Repeat, Reorder float64

	Freeze int // if over 0, this many more bytes pass on each connection, then none; the cut may fall inside a frame
}

// healthy reports whether the condition has no fault.
func (c Condition) healthy() bool { return c == Condition{} }

// String returns the faults as event logs show them; "heal" if there are none.
func (c Condition) String() string {
	if c.healthy() {
		return "heal"
	}
	text := ""
	for _, part := range []struct {
		is   bool
		text string
	}{{c.Blocked, "cut"}, {c.Refuse, "refuse"}, {c.Delay > 0, "delay " + c.Delay.String()}, {c.Jitter > 0, "jitter " + c.Jitter.String()},
		{c.Rate > 0, fmt.Sprintf("trickle %d B/s", c.Rate)}, {c.Freeze > 0, fmt.Sprintf("freeze after %d B", c.Freeze)}, {c.Loss > 0, fmt.Sprintf("loss %g", c.Loss)},
		{c.Repeat > 0, fmt.Sprintf("repeat %g", c.Repeat)}, {c.Reorder > 0, fmt.Sprintf("reorder %g", c.Reorder)}} {
		if part.is && text != "" {
			text += ", "
		}
		if part.is {
			text += part.text
		}
	}
	return text
}

// Net is the set of all links of a fleet. The same seed gives the same random draws on each link, whatever the other links do.
type Net struct {
	seed   uint64
	record func(from, to, what string)
	ctx    context.Context
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu         sync.Mutex
	directions map[pair]*direction
	links      []*link
	closers    []func() // close the links for datagrams
}

type pair struct{ from, to string }

// New returns a net without links. note is called with each fault and each heal before it takes effect; note may be nil.
func New(seed uint64, note func(from, to, what string)) *Net {
	if note == nil {
		note = func(string, string, string) {}
	}
	n := &Net{seed: seed, record: note, directions: map[pair]*direction{}}
	n.ctx, n.stop = context.WithCancel(context.Background())
	return n
}

// direction is one direction between two names.
type direction struct {
	mu         sync.Mutex
	condition  Condition
	generation int           // number of changes of the condition; a freeze counts its bytes from the last one
	changed    chan struct{} // closed with each change
}

func (w *direction) current() (Condition, int, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.condition, w.generation, w.changed
}

func (n *Net) direction(from, to string) *direction {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.directions[pair{from, to}]
	if w == nil {
		w = &direction{changed: make(chan struct{})}
		n.directions[pair{from, to}] = w
	}
	return w
}

// Set replaces the condition of a direction.
func (n *Net) Set(from, to string, c Condition) {
	n.record(from, to, c.String())
	w := n.direction(from, to)
	w.mu.Lock()
	w.condition = c
	w.generation++
	close(w.changed)
	w.changed = make(chan struct{})
	w.mu.Unlock()
	n.mu.Lock()
	links := slices.Clone(n.links)
	n.mu.Unlock()
	for _, l := range links {
		if l.pair == (pair{from, to}) {
			l.listen(!c.Refuse)
		}
	}
}

// Both sets the condition of both directions between two names.
func (n *Net) Both(a, b string, c Condition) {
	n.Set(a, b, c)
	n.Set(b, a, c)
}

// Reset resets all connections that from has opened to the other.
func (n *Net) Reset(from, to string) {
	n.record(from, to, "reset")
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		if l.pair == (pair{from, to}) {
			l.reset()
		}
	}
}

// Heal ends the faults of all directions.
func (n *Net) Heal() {
	n.mu.Lock()
	var unhealthy []pair
	for p, w := range n.directions {
		if c, _, _ := w.current(); !c.healthy() {
			unhealthy = append(unhealthy, p)
		}
	}
	n.mu.Unlock()
	slices.SortFunc(unhealthy, func(a, b pair) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to)) })
	for _, p := range unhealthy {
		n.Set(p.from, p.to, Condition{})
	}
}

// Link opens a link by which from reaches the other at target, and returns the address to dial instead of target.
func (n *Net) Link(from, to, target string) (string, error) {
	first, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("link %s to %s: %w", from, to, err)
	}
	return n.link(from, to, target, first), nil
}

func (n *Net) link(from, to, target string, first net.Listener) string {
	l := &link{pair: pair{from, to}, target: target, net: n, conns: map[net.Conn]struct{}{}}
	l.addr = first.Addr().String()
	l.serve(first)
	n.mu.Lock()
	n.links = append(n.links, l)
	n.mu.Unlock()
	return l.addr
}

// Close ends all links.
func (n *Net) Close() {
	n.stop()
	n.mu.Lock()
	links, closers := n.links, n.closers
	n.links, n.closers = nil, nil
	n.mu.Unlock()
	for _, stop := range closers {
		stop()
	}
	for _, l := range links {
		l.listen(false)
		l.reset()
	}
	n.done.Wait()
}

// link is the TCP proxy of a directed pair.
type link struct {
	pair
	target, addr string
	net          *Net

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	count    uint64
}

// listen starts or stops accepting new connections.
func (l *link) listen(open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open == (l.listener != nil) || open && l.net.ctx.Err() != nil {
		return
	}
	if !open {
		l.listener.Close()
		l.listener = nil
		return
	}
	reopened, err := net.Listen("tcp", l.addr)
	if err != nil { // the system assigns the port to nothing else while connections use it; record a failure all the same
		l.net.record(l.from, l.to, "fault of the kit: "+err.Error())
		return
	}
	l.accept(reopened)
}

func (l *link) serve(first net.Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accept(first)
}

func (l *link) accept(on net.Listener) {
	l.listener = on
	l.net.done.Add(1)
	go func() {
		defer l.net.done.Done()
		for {
			c, err := on.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			l.count++
			n := l.count
			l.mu.Unlock()
			l.net.done.Add(1)
			go func() {
				defer l.net.done.Done()
				l.forward(c, n)
			}()
		}
	}()
}

// reset resets the open connections, so that both ends see a reset.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns { // on all before the first is closed: closing one end makes forward close the other
		c.(*net.TCPConn).SetLinger(0)
	}
	for c := range l.conns {
		c.Close()
	}
}

func (l *link) track(c net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[c] = struct{}{}
	} else {
		delete(l.conns, c)
	}
}

// forward forwards the data of one connection. It dials only when the direction there is not blocked: a blocked direction leaves a
// connection attempt without an answer.
func (l *link) forward(a net.Conn, n uint64) {
	defer a.Close()
	l.track(a, true)
	defer l.track(a, false)
	forth, back := l.net.direction(l.from, l.to), l.net.direction(l.to, l.from)
	ctx, stop := context.WithCancel(l.net.ctx)
	defer stop()
	if !forth.waitUnblocked(ctx) {
		return
	}
	var d net.Dialer
	b, err := d.DialContext(ctx, "tcp", l.target)
	if err != nil {
		a.(*net.TCPConn).SetLinger(0)
		return
	}
	defer b.Close()
	l.track(b, true)
	defer l.track(b, false)
	defer context.AfterFunc(ctx, func() { a.Close(); b.Close() })()
	newRand := func(dir uint64) *rand.Rand { return l.net.newRand(l.from, l.to, n<<1|dir) }
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); defer stop(); pump(ctx, a, b, forth, newRand(0)) }()
	go func() { defer both.Done(); defer stop(); pump(ctx, b, a, back, newRand(1)) }()
	both.Wait()
}

// newRand returns the random source of one stream of a link.
func (n *Net) newRand(from, to string, stream uint64) *rand.Rand {
	h := n.seed
	for _, r := range from + ">" + to {
		h = (h ^ uint64(r)) * 1099511628211
	}
	return rand.New(rand.NewPCG(h, stream))
}

// waitUnblocked waits until the direction is not blocked; false if ctx ended first.
func (w *direction) waitUnblocked(ctx context.Context) bool {
	for {
		c, _, changed := w.current()
		if !c.Blocked {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

type parcel struct {
	bytes []byte
	due   time.Time
}

// pump forwards bytes in one direction as its condition allows.
func pump(ctx context.Context, from, to net.Conn, w *direction, rng *rand.Rand) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	parcels := make(chan parcel, maxQueuedParcels)
	go func() {
		defer close(parcels)
		readParcels(ctx, from, w, rng, parcels)
	}()
	passed, generation := 0, -1 // bytes passed since the condition last changed
	for p := range parcels {
		if !sleep(ctx, time.Until(p.due)) {
			return
		}
		for len(p.bytes) > 0 {
			c, t, changed := w.current()
			if t != generation {
				generation, passed = t, 0
			}
			n := len(p.bytes)
			if c.Freeze > 0 {
				n = min(n, c.Freeze-passed)
			}
			if c.Rate > 0 {
				n = min(n, max(1, c.Rate/50))
			}
			if c.Blocked || n <= 0 {
				select {
				case <-changed:
				case <-ctx.Done():
					return
				}
				continue
			}
			if c.Rate > 0 && !sleep(ctx, time.Duration(n)*time.Second/time.Duration(c.Rate)) {
				return
			}
			if _, err := to.Write(p.bytes[:n]); err != nil {
				return
			}
			p.bytes, passed = p.bytes[n:], passed+n
		}
	}
}

// readParcels reads chunks and sets the time at which each is due; the order of arrival is kept. It returns when there is nothing more
// to read, or ctx ends.
func readParcels(ctx context.Context, from net.Conn, w *direction, rng *rand.Rand, parcels chan<- parcel) {
	var last time.Time
	for {
		b := make([]byte, chunk)
		n, err := from.Read(b)
		if n > 0 {
			c, _, _ := w.current()
			due := time.Now().Add(c.Delay)
			if c.Jitter > 0 {
				due = due.Add(time.Duration(rng.Int64N(int64(c.Jitter))))
			}
			if due.Before(last) {
				due = last
			}
			last = due
			select {
			case parcels <- parcel{b[:n], due}:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
