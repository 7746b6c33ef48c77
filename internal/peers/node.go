package peers

import (
	"context"
	"fmt"
	"log/slog"
	"net"
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

// Node takes part in the exchange on behalf of one sender. Its methods may be called from any goroutine. Close stops run and the
// goroutine of each followed peer, and waits for them. mu guards the fields below it.
type Node struct {
	config     Config
	routes     RouteTable
	log        *slog.Logger
	now        func() time.Duration
	onFacts    func([]knowledge.Fact) bool
	factServer *factServer
	server     *grpc.Server
	members    *memberlist.Memberlist
	keyring    *memberlist.Keyring // nil without encryption
	cancel     context.CancelFunc
	ctx        context.Context
	wake       chan struct{}
	done       sync.WaitGroup
	meta       metaDelegate

	mu       sync.Mutex
	peers    map[string]*peer
	progress map[string]*streamProgress // by peer name
	closed   bool
}

// Start listens, joins the membership through the seeds, and follows some peers until Close. onFacts is called with the facts they
// send, from other goroutines, and returns false to end that stream. now is the clock of the facts. Errors are those of
// Config.Check, and of addresses that can't be listened on.
func Start(c Config, log *slog.Logger, now func() time.Duration, onFacts func([]knowledge.Fact) bool) (*Node, error) {
	if c.MaxFollowed == 0 {
		c.MaxFollowed = DefaultMaxFollowed
	}
	if err := c.Check(); err != nil {
		return nil, err
	}
	routes, err := NewRouteTable(c.Routes)
	if err != nil {
		return nil, err
	}
	n := &Node{config: c, routes: routes, log: log, now: now, onFacts: onFacts, wake: make(chan struct{}, 1),
		peers: map[string]*peer{}, progress: map[string]*streamProgress{}}
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

// Intervals at which run joins through the seeds, and chooses the peers to follow.
const (
	joinInterval      = time.Second // while no other member is known
	rejoinInterval    = 30 * time.Second
	reconcileInterval = 200 * time.Millisecond
)

// run joins through the seeds, every joinInterval while no other member is known and every rejoinInterval after that, so that the
// two sides of a network partition find each other when it heals. It also keeps MaxFollowed peers followed.
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
				n.log.Debug("peers: failed to join through any seed", "err", err)
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

// followChosen starts to follow the chosen peers, each in a goroutine that ends with the stream.
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
			s := subscription{config: &n.config, peer: m, now: n.now, progress: p, onFacts: n.onFacts}
			err := s.follow(n.ctx)
			n.mu.Lock()
			defer n.mu.Unlock()
			if f.following = false; p.chunks > before {
				f.failures = 0
			}
			f.failures++
			f.retryAt = n.now() + backoff(f.failures)
			if n.ctx.Err() == nil {
				n.log.Debug("peers: stream from a peer ended", "peer", m.Name, "err", err)
			}
		}()
	}
}

// Publish replaces the published facts by all that this sender has observed by now.
func (n *Node) Publish(facts []knowledge.Fact) { n.factServer.publish(facts, true, n.now()) }

// PublishSome adds some facts that this sender has just observed.
func (n *Node) PublishSome(facts []knowledge.Fact) { n.factServer.publish(facts, false, n.now()) }

// Members returns the known members, sorted by name.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]Member, 0, len(n.peers))
	for _, p := range n.peers {
		all = append(all, p.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Times of the membership protocol.
const (
	leaveTimeout   = 150 * time.Millisecond // applies twice: to announcing the leave, and to leaving
	gossipInterval = 50 * time.Millisecond
)

// Close leaves the membership, announcing it to the other members, and stops the node. It takes about half a second at most. A
// second call does nothing.
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
		n.members.UpdateNode(leaveTimeout) // an error of either call means that not all members were notified; they detect it by failed probes
		n.members.Leave(leaveTimeout)
		n.members.Shutdown()
	}
	n.server.Stop()
	n.done.Wait()
}
