package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	stdlog "log"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"saffronyard.example/saffronyard/internal/knowledge"
	pb "saffronyard.example/saffronyard/proto/saffronyard/peers/v1"
)

// Node is one sender's part among its peers.
type Node struct {
	c      Config
	to     Reaches
	log    *slog.Logger
	now    func() time.Duration
	heard  func([]knowledge.Fact) bool
	teller *teller
	server *grpc.Server
	list   *memberlist.Memberlist
	ring   *memberlist.Keyring // nil: in clear
	stop   context.CancelFunc
	ctx    context.Context
	wake   chan struct{}
	done   sync.WaitGroup
	meta   metaDelegate

	mu     sync.Mutex
	known  map[string]*followed
	parts  map[string]*progress // by name
	closed bool
}

// meta is what a member tells of itself with its membership.
type meta struct {
	Exchange string `json:"x"`
	Life     uint64 `json:"l"`
	Leaves   bool   `json:"b,omitempty"` // the membership does not say afterwards whether one left or died
}

// Start makes a sender take part: it listens, joins by its seeds, and follows some others until Close. heard is called
// with what they tell, from other goroutines, and reports false to end that. now is the clock of the facts.
func Start(c Config, log *slog.Logger, now func() time.Duration, heard func([]knowledge.Fact) bool) (*Node, error) {
	if c.Follow == 0 {
		c.Follow = DefaultFollow
	}
	if err := c.Check(); err != nil {
		return nil, err
	}
	to, err := NewReaches(c.Reach)
	if err != nil {
		return nil, err
	}
	n := &Node{c: c, to: to, log: log, now: now, heard: heard, wake: make(chan struct{}, 1), known: map[string]*followed{}, parts: map[string]*progress{}}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.teller = newTeller(&n.c, now)
	l, err := net.Listen("tcp", c.Exchange)
	if err != nil {
		n.stop()
		return nil, fmt.Errorf("peers: %w", err)
	}
	n.server = grpc.NewServer(grpc.MaxRecvMsgSize(4<<10), grpc.MaxConcurrentStreams(4), grpc.ConnectionTimeout(connectTime),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: silence, Timeout: pingTime}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: silence / 2, PermitWithoutStream: true}))
	pb.RegisterExchangeServer(n.server, n.teller)
	n.done.Add(1)
	go func() {
		defer n.done.Done()
		n.server.Serve(l)
	}()
	if err := n.join(l.Addr().String()); err != nil {
		n.Close()
		return nil, err
	}
	n.done.Add(1)
	go n.run()
	return n, nil
}

func (n *Node) join(exchange string) error {
	at, err := netip.ParseAddrPort(n.c.Listen)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	n.meta.set(meta{Exchange: exchange, Life: n.c.Life})
	m := memberlist.DefaultLANConfig()
	m.Name, m.Label = n.c.Name, n.c.Cluster
	m.BindAddr, m.BindPort = at.Addr().String(), int(at.Port())
	m.AdvertiseAddr, m.AdvertisePort = m.BindAddr, m.BindPort
	m.Logger = stdlog.New(logLines{n.log}, "", 0)
	if len(n.to) > 0 {
		t, err := newTransport(at, n.to, m.Logger)
		if err != nil {
			return fmt.Errorf("peers: membership: %w", err)
		}
		m.Transport = t
		defer func() {
			if n.list == nil {
				t.Shutdown()
			}
		}()
		if at.Port() == 0 {
			m.BindPort = t.GetAutoBindPort()
			m.AdvertisePort = m.BindPort
		}
	}
	m.Delegate = &n.meta
	m.GossipInterval = gossipEvery // it is sent only when there is something to tell
	m.Events = (*events)(n)
	m.Conflict = (*events)(n)
	m.DeadNodeReclaimTime = time.Millisecond // one that died may come back under its name at another address, at once
	if len(n.c.Keys) > 0 {
		if n.ring, err = memberlist.NewKeyring(n.c.Keys, n.c.Keys[0]); err != nil {
			return fmt.Errorf("peers: %w", err)
		}
		m.Keyring = n.ring
	}
	if n.list, err = memberlist.Create(m); err != nil {
		return fmt.Errorf("peers: membership: %w", err)
	}
	return nil
}

// Address is where the membership listens.
func (n *Node) Address() string { return n.list.LocalNode().Address() }

// Keys changes the keys of membership while it runs: those that are new are taken first, so that all members know them
// before one is sent with; the first is what is sent with.
func (n *Node) Keys(keys [][]byte) error {
	ring := n.ring
	if ring == nil || len(keys) == 0 {
		return fmt.Errorf("peers: membership is in clear; keys are changed only where there are some")
	}
	for _, k := range keys {
		if err := ring.AddKey(k); err != nil {
			return fmt.Errorf("peers: %w", err)
		}
	}
	if err := ring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	for _, k := range ring.GetKeys() {
		if !slices.ContainsFunc(keys, func(o []byte) bool { return string(o) == string(k) }) {
			if err := ring.RemoveKey(k); err != nil {
				return fmt.Errorf("peers: %w", err)
			}
		}
	}
	return nil
}

const (
	joinEvery  = time.Second // while nobody else is known
	rejoin     = 30 * time.Second
	watchEvery = 200 * time.Millisecond
)

// run joins by the seeds, again while it is alone and now and then after that, so that the halves of a partition find
// each other; and keeps so many peers followed.
func (n *Node) run() {
	defer n.done.Done()
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	var joined time.Time
	for {
		every := rejoin
		if n.list.NumMembers() < 2 {
			every = joinEvery
		}
		if len(n.c.Seeds) > 0 && time.Since(joined) >= every {
			joined = time.Now()
			if _, err := n.list.Join(n.c.Seeds); err != nil {
				n.log.Debug("peers: no seed answers", "err", err)
			}
		}
		n.begin()
		select {
		case <-tick.C:
		case <-n.wake:
		case <-n.ctx.Done():
			return
		}
	}
}

// begin begins to follow those that are chosen.
func (n *Node) begin() {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []followed
	for _, f := range n.known {
		all = append(all, *f)
	}
	if n.closed {
		return
	}
	for _, name := range choose(all, n.c.Follow, n.now()) {
		f := n.known[name]
		f.following = true
		m, p := f.Member, n.parts[name]
		m.Exchange = n.to.At(m.Exchange)
		if p == nil {
			p = &progress{}
			n.parts[name] = p
		}
		n.done.Add(1)
		go func() {
			defer n.done.Done()
			before := p.pieces
			err := follow(n.ctx, &n.c, m, n.now, p, n.heard)
			n.mu.Lock()
			defer n.mu.Unlock()
			if f.following = false; p.pieces > before {
				f.failures = 0
			}
			f.failures++
			f.again = n.now() + pause(f.failures)
			if n.ctx.Err() == nil {
				n.log.Debug("peers: a stream has ended", "peer", m.Name, "err", err)
			}
		}()
	}
}

// Tell takes what this sender has seen by now, all of it.
func (n *Node) Tell(facts []knowledge.Fact) { n.teller.update(facts, true, n.now()) }

// TellNews takes some that it has just seen.
func (n *Node) TellNews(facts []knowledge.Fact) { n.teller.update(facts, false, n.now()) }

// Members is who is known, by name.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]Member, 0, len(n.known))
	for _, f := range n.known {
		all = append(all, f.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

const (
	leaveTime   = 150 * time.Millisecond // twice: saying so, and going
	gossipEvery = 50 * time.Millisecond
)

// Close leaves: the others hear of it, and it ends within about half a second. Once it is closed it does nothing.
func (n *Node) Close() {
	n.mu.Lock()
	closed := n.closed
	n.closed = true
	n.mu.Unlock()
	if closed {
		return
	}
	n.stop()
	if n.list != nil {
		n.meta.set(meta{Life: n.c.Life, Leaves: true})
		n.list.UpdateNode(leaveTime) // an error of either is that not all have heard: they find out
		n.list.Leave(leaveTime)
		n.list.Shutdown()
	}
	n.server.Stop()
	n.done.Wait()
}

// events is what the membership tells.
type events Node

func (e *events) NotifyJoin(m *memberlist.Node)   { e.changed(m, here) }
func (e *events) NotifyUpdate(m *memberlist.Node) { e.changed(m, here) }
func (e *events) NotifyLeave(m *memberlist.Node) {
	e.changed(m, dead)
}

// NotifyConflict is told where two have one name: the one that was there first stays, and both hear of it.
func (e *events) NotifyConflict(existing, other *memberlist.Node) {
	e.log.Error("peers: two senders have one name: the later one is refused", "name", existing.Name, "at", existing.Address(), "refused", other.Address())
}

func (e *events) changed(m *memberlist.Node, state string) {
	if m.Name == e.c.Name {
		return
	}
	var told meta
	if err := json.Unmarshal(m.Meta, &told); err != nil || Loopback(told.Exchange) != nil {
		told.Exchange = "" // it is there, and tells nothing that can be followed
	}
	if told.Leaves {
		state = left
	}
	e.mu.Lock()
	f := e.known[m.Name]
	if f == nil {
		f = &followed{}
		e.known[m.Name] = f
	}
	if f.State != state || f.Life != told.Life {
		f.Since, f.again, f.failures = e.now(), 0, 0
	}
	f.Member = Member{Name: m.Name, Life: told.Life, Address: m.Address(), Exchange: told.Exchange, Since: f.Since, State: state}
	if len(e.known) > membersMost {
		e.dropGone()
	}
	e.mu.Unlock()
	e.log.Info("peers", "peer", m.Name, "state", state, "address", m.Address())
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// membersMost is how many are remembered with those that have gone.
const membersMost = 1024

func (e *events) dropGone() {
	for name, f := range e.known {
		if f.State != here && !f.following {
			delete(e.known, name)
			delete(e.parts, name)
		}
	}
}

// metaDelegate gives what a member tells of itself.
type metaDelegate struct {
	mu sync.Mutex
	meta
}

func (d *metaDelegate) set(m meta) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.meta = m
}

func (d *metaDelegate) NodeMeta(limit int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	raw, err := json.Marshal(d.meta)
	if err != nil || len(raw) > limit { // neither can be: it holds an address and two figures
		return nil
	}
	return raw
}
func (*metaDelegate) NotifyMsg([]byte)                {}
func (*metaDelegate) GetBroadcasts(int, int) [][]byte { return nil }
func (*metaDelegate) LocalState(bool) []byte          { return nil }
func (*metaDelegate) MergeRemoteState([]byte, bool)   {}

// logLines passes the membership's own lines on, those that tell of trouble as such.
type logLines struct{ log *slog.Logger }

var _ io.Writer = logLines{}

func (l logLines) Write(p []byte) (int, error) {
	line := strings.TrimSpace(string(p))
	if strings.Contains(line, "[ERR]") {
		l.log.Warn("peers: membership", "says", line)
	} else {
		l.log.Debug("peers: membership", "says", line)
	}
	return len(p), nil
}
