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
	config     Config
	routes     RouteTable
	log        *slog.Logger
	now        func() time.Duration
	onFacts    func([]knowledge.Fact) bool
	factServer *factServer
	server     *grpc.Server
	members    *memberlist.Memberlist
	keyring    *memberlist.Keyring // nil: in clear
	cancel     context.CancelFunc
	ctx        context.Context
	wake       chan struct{}
	done       sync.WaitGroup
	meta       metaDelegate

	mu       sync.Mutex
	peers    map[string]*peer
	progress map[string]*streamProgress // by name
	closed   bool
}

// memberMeta is what a member tells of itself with its membership.
type memberMeta struct {
	Exchange    string `json:"x"`
	Incarnation uint64 `json:"l"`
	Leaving     bool   `json:"b,omitempty"` // the membership does not say afterwards whether one left or died
}

// Start makes a sender take part: it listens, joins by its seeds, and follows some others until Close. heard is called
// with what they tell, from other goroutines, and reports false to end that. now is the clock of the facts.
func Start(c Config, log *slog.Logger, now func() time.Duration, heard func([]knowledge.Fact) bool) (*Node, error) {
	if c.MaxFollowed == 0 {
		c.MaxFollowed = DefaultMaxFollowed
	}
	if err := c.Check(); err != nil {
		return nil, err
	}
	to, err := NewRouteTable(c.Routes)
	if err != nil {
		return nil, err
	}
	n := &Node{config: c, routes: to, log: log, now: now, onFacts: heard, wake: make(chan struct{}, 1), peers: map[string]*peer{}, progress: map[string]*streamProgress{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.factServer = newFactServer(&n.config, now)
	l, err := net.Listen("tcp", c.Exchange)
	if err != nil {
		n.cancel()
		return nil, fmt.Errorf("peers: %w", err)
	}
	n.server = grpc.NewServer(grpc.MaxRecvMsgSize(4<<10), grpc.MaxConcurrentStreams(4), grpc.ConnectionTimeout(connectTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}))
	pb.RegisterExchangeServer(n.server, n.factServer)
	n.done.Add(1)
	go func() {
		defer n.done.Done()
		n.server.Serve(l)
	}()
	if err := n.joinMembership(l.Addr().String()); err != nil {
		n.Close()
		return nil, err
	}
	n.done.Add(1)
	go n.run()
	return n, nil
}

func (n *Node) joinMembership(exchange string) error {
	at, err := netip.ParseAddrPort(n.config.Listen)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	n.meta.set(memberMeta{Exchange: exchange, Incarnation: n.config.Incarnation})
	m := memberlist.DefaultLANConfig()
	m.Name, m.Label = n.config.Name, n.config.Cluster
	m.BindAddr, m.BindPort = at.Addr().String(), int(at.Port())
	m.AdvertiseAddr, m.AdvertisePort = m.BindAddr, m.BindPort
	m.Logger = stdlog.New(logWriter{n.log}, "", 0)
	if len(n.routes) > 0 {
		t, err := newTransport(at, n.routes, m.Logger)
		if err != nil {
			return fmt.Errorf("peers: membership: %w", err)
		}
		m.Transport = t
		defer func() {
			if n.members == nil {
				t.Shutdown()
			}
		}()
		if at.Port() == 0 {
			m.BindPort = t.GetAutoBindPort()
			m.AdvertisePort = m.BindPort
		}
	}
	m.Delegate = &n.meta
	m.GossipInterval = gossipInterval // it is sent only when there is something to tell
	m.Events = (*eventDelegate)(n)
	m.Conflict = (*eventDelegate)(n)
	m.DeadNodeReclaimTime = time.Millisecond // one that died may come back under its name at another address, at once
	if len(n.config.Keys) > 0 {
		if n.keyring, err = memberlist.NewKeyring(n.config.Keys, n.config.Keys[0]); err != nil {
			return fmt.Errorf("peers: %w", err)
		}
		m.Keyring = n.keyring
	}
	if n.members, err = memberlist.Create(m); err != nil {
		return fmt.Errorf("peers: membership: %w", err)
	}
	return nil
}

// Address is where the membership listens.
func (n *Node) Address() string { return n.members.LocalNode().Address() }

// SetKeys changes the keys of membership while it runs: those that are new are taken first, so that all members know them
// before one is sent with; the first is what is sent with.
func (n *Node) SetKeys(keys [][]byte) error {
	ring := n.keyring
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
	joinInterval      = time.Second // while nobody else is known
	rejoinInterval    = 30 * time.Second
	reconcileInterval = 200 * time.Millisecond
)

// run joins by the seeds, again while it is alone and now and then after that, so that the halves of a partition find
// each other; and keeps so many peers followed.
func (n *Node) run() {
	defer n.done.Done()
	tick := time.NewTicker(reconcileInterval)
	defer tick.Stop()
	var joined time.Time
	for {
		every := rejoinInterval
		if n.members.NumMembers() < 2 {
			every = joinInterval
		}
		if len(n.config.Seeds) > 0 && time.Since(joined) >= every {
			joined = time.Now()
			if _, err := n.members.Join(n.config.Seeds); err != nil {
				n.log.Debug("peers: no seed answers", "err", err)
			}
		}
		n.followChosen()
		select {
		case <-tick.C:
		case <-n.wake:
		case <-n.ctx.Done():
			return
		}
	}
}

// followChosen begins to follow those that are chosen.
func (n *Node) followChosen() {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []peer
	for _, f := range n.peers {
		all = append(all, *f)
	}
	if n.closed {
		return
	}
	for _, name := range choosePeers(all, n.config.MaxFollowed, n.now()) {
		f := n.peers[name]
		f.following = true
		m, p := f.Member, n.progress[name]
		m.Exchange = n.routes.Resolve(m.Exchange)
		if p == nil {
			p = &streamProgress{}
			n.progress[name] = p
		}
		n.done.Add(1)
		go func() {
			defer n.done.Done()
			before := p.chunks
			err := followPeer(n.ctx, &n.config, m, n.now, p, n.onFacts)
			n.mu.Lock()
			defer n.mu.Unlock()
			if f.following = false; p.chunks > before {
				f.failures = 0
			}
			f.failures++
			f.retryAt = n.now() + backoff(f.failures)
			if n.ctx.Err() == nil {
				n.log.Debug("peers: a stream has ended", "peer", m.Name, "err", err)
			}
		}()
	}
}

// Publish takes what this sender has seen by now, all of it.
func (n *Node) Publish(facts []knowledge.Fact) { n.factServer.publish(facts, true, n.now()) }

// PublishSome takes some that it has just seen.
func (n *Node) PublishSome(facts []knowledge.Fact) { n.factServer.publish(facts, false, n.now()) }

// Members is who is known, by name.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]Member, 0, len(n.peers))
	for _, f := range n.peers {
		all = append(all, f.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

const (
	leaveTimeout   = 150 * time.Millisecond // twice: saying so, and going
	gossipInterval = 50 * time.Millisecond
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
	n.cancel()
	if n.members != nil {
		n.meta.set(memberMeta{Incarnation: n.config.Incarnation, Leaving: true})
		n.members.UpdateNode(leaveTimeout) // an error of either is that not all have heard: they find out
		n.members.Leave(leaveTimeout)
		n.members.Shutdown()
	}
	n.server.Stop()
	n.done.Wait()
}

// eventDelegate is what the membership tells.
type eventDelegate Node

func (e *eventDelegate) NotifyJoin(m *memberlist.Node)   { e.recordChange(m, stateAlive) }
func (e *eventDelegate) NotifyUpdate(m *memberlist.Node) { e.recordChange(m, stateAlive) }
func (e *eventDelegate) NotifyLeave(m *memberlist.Node) {
	e.recordChange(m, stateDead)
}

// NotifyConflict is told where two have one name: the one that was there first stays, and both hear of it.
func (e *eventDelegate) NotifyConflict(existing, other *memberlist.Node) {
	e.log.Error("peers: two senders have one name: the later one is refused", "name", existing.Name, "at", existing.Address(), "refused", other.Address())
}

func (e *eventDelegate) recordChange(m *memberlist.Node, state string) {
	if m.Name == e.config.Name {
		return
	}
	var told memberMeta
	if err := json.Unmarshal(m.Meta, &told); err != nil || CheckLoopback(told.Exchange) != nil {
		told.Exchange = "" // it is there, and tells nothing that can be followed
	}
	if told.Leaving {
		state = stateLeft
	}
	e.mu.Lock()
	f := e.peers[m.Name]
	if f == nil {
		f = &peer{}
		e.peers[m.Name] = f
	}
	if f.State != state || f.Incarnation != told.Incarnation {
		f.Since, f.retryAt, f.failures = e.now(), 0, 0
	}
	f.Member = Member{Name: m.Name, Incarnation: told.Incarnation, Address: m.Address(), Exchange: told.Exchange, Since: f.Since, State: state}
	if len(e.peers) > maxMembers {
		e.forgetDeparted()
	}
	e.mu.Unlock()
	e.log.Info("peers", "peer", m.Name, "state", state, "address", m.Address())
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// maxMembers is how many are remembered with those that have gone.
const maxMembers = 1024

func (e *eventDelegate) forgetDeparted() {
	for name, f := range e.peers {
		if f.State != stateAlive && !f.following {
			delete(e.peers, name)
			delete(e.progress, name)
		}
	}
}

// metaDelegate gives what a member tells of itself.
type metaDelegate struct {
	mu sync.Mutex
	memberMeta
}

func (d *metaDelegate) set(m memberMeta) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.memberMeta = m
}

func (d *metaDelegate) NodeMeta(limit int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	raw, err := json.Marshal(d.memberMeta)
	if err != nil || len(raw) > limit { // neither can be: it holds an address and two figures
		return nil
	}
	return raw
}
func (*metaDelegate) NotifyMsg([]byte)                {}
func (*metaDelegate) GetBroadcasts(int, int) [][]byte { return nil }
func (*metaDelegate) LocalState(bool) []byte          { return nil }
func (*metaDelegate) MergeRemoteState([]byte, bool)   {}

// logWriter passes the membership's own lines on, those that tell of trouble as such.
type logWriter struct{ log *slog.Logger }

var _ io.Writer = logWriter{}

func (l logWriter) Write(p []byte) (int, error) {
	line := strings.TrimSpace(string(p))
	if strings.Contains(line, "[ERR]") {
		l.log.Warn("peers: membership", "says", line)
	} else {
		l.log.Debug("peers: membership", "says", line)
	}
	return len(p), nil
}
