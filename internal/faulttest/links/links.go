// Package links is what lies between the processes of a fleet, and what goes wrong there: for each directed pair of senders a
// proxy on loopback, through which the one reaches the other, and faults that a plan puts on it.
//
// A condition belongs to a direction of travel, not to who dialled: what b answers on a connection from a travels from b to a.
// So a cut of a to b alone lets b's words through, and none of a's. On a real network TCP would stall there both ways once
// acknowledgements are missing; here the half that works goes on, which is the harder case for a protocol. What is cut is held,
// not lost, as TCP would send it again: after the heal it comes late, and in order.
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
	chunk   = 16 << 10 // bytes that are passed on at a time
	waiting = 64       // chunks under way on one connection: beyond that its sender feels the delay
)

// Condition is how a direction is. The zero one is a sound link.
type Condition struct {
	Blocked bool          // nothing passes, and nobody is told
	Refuse  bool          // new connections are refused; the others go on
	Delay   time.Duration // of each chunk
	Jitter  time.Duration // up to so much more, drawn for each chunk; the order stays
	Rate    int           // bytes a second at most; 0: any number
	// Of datagrams: the shares that are lost, come twice, or are overtaken by those behind them.
	Loss, Repeat, Reorder float64

	Freeze int // over 0: so many bytes more pass on each connection, then nothing, in the middle of a frame as likely as not
}

// healthy is whether nothing is wrong.
func (c Condition) healthy() bool { return c == Condition{} }

// String returns what is wrong, as event logs tell it; "heal" if nothing is.
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

// Net is all links of a fleet. One seed gives the same draws on each link, whatever the others do.
type Net struct {
	seed   uint64
	record func(from, to, what string)
	ctx    context.Context
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	ways    map[pair]*way
	links   []*link
	closers []func() // of links for datagrams
}

type pair struct{ from, to string }

// New makes a net without links. note is told of each fault, and of each heal, before it takes hold; it may be nil.
func New(seed uint64, note func(from, to, what string)) *Net {
	if note == nil {
		note = func(string, string, string) {}
	}
	n := &Net{seed: seed, record: note, ways: map[pair]*way{}}
	n.ctx, n.stop = context.WithCancel(context.Background())
	return n
}

// way is one direction between two names.
type way struct {
	mu      sync.Mutex
	is      Condition
	turn    int           // of the condition: a freeze counts its bytes from its begin
	changed chan struct{} // closed with each change
}

func (w *way) now() (Condition, int, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.is, w.turn, w.changed
}

func (n *Net) way(from, to string) *way {
	n.mu.Lock()
	defer n.mu.Unlock()
	w := n.ways[pair{from, to}]
	if w == nil {
		w = &way{changed: make(chan struct{})}
		n.ways[pair{from, to}] = w
	}
	return w
}

// Set puts a direction into a condition, in place of what it was in.
func (n *Net) Set(from, to string, c Condition) {
	n.record(from, to, c.String())
	w := n.way(from, to)
	w.mu.Lock()
	w.is = c
	w.turn++
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

// Both puts both directions between two names into a condition.
func (n *Net) Both(a, b string, c Condition) {
	n.Set(a, b, c)
	n.Set(b, a, c)
}

// Reset breaks all connections that from has to the other.
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

// Heal makes all directions sound.
func (n *Net) Heal() {
	n.mu.Lock()
	var ill []pair
	for p, w := range n.ways {
		if c, _, _ := w.now(); !c.healthy() {
			ill = append(ill, p)
		}
	}
	n.mu.Unlock()
	slices.SortFunc(ill, func(a, b pair) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to)) })
	for _, p := range ill {
		n.Set(p.from, p.to, Condition{})
	}
}

// Link opens the way by which from reaches the other at target, and gives the address to dial in target's place.
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

// link is one proxy.
type link struct {
	pair
	target, addr string
	net          *Net

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	count    uint64
}

// listen opens or closes the door for new connections.
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
	again, err := net.Listen("tcp", l.addr)
	if err != nil { // the port is the link's own: nothing else is given it while connections on it live; tell, don't hide
		l.net.record(l.from, l.to, "fault of the kit: "+err.Error())
		return
	}
	l.accept(again)
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
				l.carry(c, n)
			}()
		}
	}()
}

// reset breaks the connections that are up, so that both ends see it.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns { // all of them before the first: the end of one ends the other
		c.(*net.TCPConn).SetLinger(0)
	}
	for c := range l.conns {
		c.Close()
	}
}

func (l *link) keep(c net.Conn, is bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if is {
		l.conns[c] = struct{}{}
	} else {
		delete(l.conns, c)
	}
}

// carry passes on what goes over one connection. It dials when the way there is open: a cut way swallows the attempt.
func (l *link) carry(a net.Conn, n uint64) {
	defer a.Close()
	l.keep(a, true)
	defer l.keep(a, false)
	forth, back := l.net.way(l.from, l.to), l.net.way(l.to, l.from)
	ctx, stop := context.WithCancel(l.net.ctx)
	defer stop()
	if !forth.open(ctx) {
		return
	}
	var d net.Dialer
	b, err := d.DialContext(ctx, "tcp", l.target)
	if err != nil {
		a.(*net.TCPConn).SetLinger(0)
		return
	}
	defer b.Close()
	l.keep(b, true)
	defer l.keep(b, false)
	defer context.AfterFunc(ctx, func() { a.Close(); b.Close() })()
	draw := func(dir uint64) *rand.Rand { return l.net.draws(l.from, l.to, n<<1|dir) }
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); defer stop(); pump(ctx, a, b, forth, draw(0)) }()
	go func() { defer both.Done(); defer stop(); pump(ctx, b, a, back, draw(1)) }()
	both.Wait()
}

// draws is a stream of a link's own.
func (n *Net) draws(from, to string, stream uint64) *rand.Rand {
	h := n.seed
	for _, r := range from + ">" + to {
		h = (h ^ uint64(r)) * 1099511628211
	}
	return rand.New(rand.NewPCG(h, stream))
}

// open waits until the way is not cut.
func (w *way) open(ctx context.Context) bool {
	for {
		c, _, changed := w.now()
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

// pump passes bytes on, one way, as the condition lets it.
func pump(ctx context.Context, from, to net.Conn, w *way, rng *rand.Rand) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	parcels := make(chan parcel, waiting)
	go func() {
		defer close(parcels)
		readParcels(ctx, from, w, rng, parcels)
	}()
	passed, turn := 0, -1 // since the present condition began
	for p := range parcels {
		if !sleep(ctx, time.Until(p.due)) {
			return
		}
		for len(p.bytes) > 0 {
			c, t, changed := w.now()
			if t != turn {
				turn, passed = t, 0
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

// readParcels reads chunks and gives each the time at which it is due, in the order in which they came. It returns when there is
// nothing more to read, or ctx ends.
func readParcels(ctx context.Context, from net.Conn, w *way, rng *rand.Rand, parcels chan<- parcel) {
	var last time.Time
	for {
		b := make([]byte, chunk)
		n, err := from.Read(b)
		if n > 0 {
			c, _, _ := w.now()
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
