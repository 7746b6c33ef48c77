package peers

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"saffronyard.example/saffronyard/internal/knowledge"
	kpb "saffronyard.example/saffronyard/proto/saffronyard/knowledge/v1"
	pb "saffronyard.example/saffronyard/proto/saffronyard/peers/v1"
)

const waitTimeout = 20 * time.Second

func waitUntil(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", event)
		}
	}
}

// testPeer is a node with a clock of its own, offset by clockOffset, and the facts that it has received.
type testPeer struct {
	*Node
	config      Config
	start       time.Time
	clockOffset time.Duration

	mu    sync.Mutex
	facts []knowledge.Fact
}

func (p *testPeer) now() time.Duration { return p.clockOffset + time.Since(p.start) }

func (p *testPeer) received() []knowledge.Fact {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.facts)
}

func config(name string, seeds ...string) Config {
	return Config{Name: name, Incarnation: 1, Cluster: "test", Listen: "127.0.0.1:0", Exchange: "127.0.0.1:0", Seeds: seeds}
}

var quietLog = slog.New(slog.NewTextHandler(io.Discard, nil))

func startPeer(t *testing.T, c Config, off time.Duration) *testPeer {
	t.Helper()
	p := &testPeer{config: c, start: time.Now(), clockOffset: off}
	n, err := Start(c, quietLog, p.now, func(f []knowledge.Fact) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.facts = append(p.facts, f...)
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	p.Node = n
	t.Cleanup(n.Close)
	return p
}

func outageFact(p *testPeer, dest uint32, age time.Duration) knowledge.Fact {
	now := p.now()
	return knowledge.Fact{Subject: knowledge.Subject{Destination: dest}, Kind: knowledge.Health, ObservedAt: now - age, Calls: 3,
		Value: knowledge.Value{State: knowledge.Unhealthy, Since: now - age - time.Second, Rate: 2}}
}

func (p *testPeer) state(name string) string {
	for _, m := range p.Members() {
		if m.Name == name {
			return m.State
		}
	}
	return "unknown"
}

// Three senders find each other through one seed. An observation of one reaches the others with its source and with its age
// on their own clocks, and they do not relay it. Changes are sent, and a sender that leaves is recorded as having left.
func TestNode_ThreeSendersExchangeFacts(t *testing.T) {
	t.Parallel()
	a := startPeer(t, config("a"), time.Hour)
	b := startPeer(t, config("b", a.Address()), 5*time.Hour)
	a.Publish([]knowledge.Fact{outageFact(a, 7, 4*time.Second)})
	c := startPeer(t, config("c", a.Address()), 100*time.Hour)
	for _, p := range []*testPeer{b, c} {
		waitUntil(t, "a's fact is received", func() bool { return len(p.received()) > 0 })
		f := p.received()[0]
		age := p.now() - f.ObservedAt
		if f.Source != (knowledge.Source{Name: "a", Incarnation: 1}) || f.State != knowledge.Unhealthy || age < 4*time.Second || age > 10*time.Second {
			t.Errorf("fact %+v of age %v, want a's with an age of 4 s", f, age)
		}
	}
	b.Publish(nil) // b has received a fact, but observed nothing itself
	a.Publish([]knowledge.Fact{outageFact(a, 7, 0), outageFact(a, 8, 0)})
	waitUntil(t, "the change is received", func() bool {
		return slices.ContainsFunc(c.received(), func(f knowledge.Fact) bool { return f.Destination == 8 })
	})
	for _, f := range append(a.received(), c.received()...) {
		if f.Source.Name != "a" {
			t.Errorf("%s relays a fact that it received", f.Source.Name)
		}
	}
	waitUntil(t, "all members have discovered each other", func() bool {
		return b.state("c") == stateAlive && c.state("b") == stateAlive && a.state("c") == stateAlive
	})
	b.Close()
	waitUntil(t, "b is recorded as having left", func() bool { return a.state("b") == stateLeft && c.state("b") == stateLeft })
}

// A peer that rejoins under its name, at another address and with a new incarnation, is followed again from the first version.
func TestNode_PeerRejoins(t *testing.T) {
	t.Parallel()
	a := startPeer(t, config("a"), time.Hour)
	b := startPeer(t, config("b", a.Address()), time.Hour)
	b.Publish([]knowledge.Fact{outageFact(b, 1, 0)})
	waitUntil(t, "b's fact is received", func() bool { return len(a.received()) > 0 })
	b.Close()
	next := config("b", a.Address())
	next.Incarnation = 2
	restarted := startPeer(t, next, time.Hour)
	restarted.Publish([]knowledge.Fact{outageFact(restarted, 2, 0)})
	waitUntil(t, "a fact of b's next incarnation is received", func() bool {
		return slices.ContainsFunc(a.received(), func(f knowledge.Fact) bool { return f.Source.Incarnation == 2 && f.Destination == 2 })
	})
}

// Senders of another deployment on the same network, and senders with another key, can't join. Keys can be changed at run time.
func TestNode_OtherClustersAndKeys(t *testing.T) {
	t.Parallel()
	key := func(b byte) []byte { return []byte(strings.Repeat(string(rune('a'+b)), 32)) }
	with := func(c Config, keys ...[]byte) Config { c.Keys = keys; return c }
	a := startPeer(t, with(config("a"), key(0)), 0)
	b := startPeer(t, with(config("b", a.Address()), key(0)), 0)
	otherCluster := config("stranger", a.Address())
	otherCluster.Cluster = "other"
	s := startPeer(t, with(otherCluster, key(0)), 0)
	n := startPeer(t, with(config("no-key", a.Address()), key(1)), 0)
	waitUntil(t, "b joins", func() bool { return a.state("b") == stateAlive && b.state("a") == stateAlive })
	for _, p := range []*testPeer{a, b} { // all members get the new key before any sends with it; the old one is removed last
		if err := p.SetKeys([][]byte{key(0), key(2)}); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range []*testPeer{a, b} {
		if err := p.SetKeys([][]byte{key(2)}); err != nil {
			t.Fatal(err)
		}
	}
	c := startPeer(t, with(config("c", a.Address()), key(2)), 0)
	waitUntil(t, "c joins with the new key", func() bool { return b.state("c") == stateAlive && c.state("b") == stateAlive })
	if a.state("stranger") != "unknown" || a.state("no-key") != "unknown" || s.state("a") != "unknown" || n.state("a") != "unknown" {
		t.Errorf("a member of another cluster or with another key joined: %v", a.Members())
	}
	// The exchange rejects another cluster and a duplicate name, too.
	for _, other := range []Config{otherCluster, config("a")} {
		var p streamProgress
		s := subscription{&other, Member{Name: "a", Exchange: a.exchange(t)}, a.now, &p, func([]knowledge.Fact) bool { return true }}
		err := s.follow(context.Background())
		if got := status.Code(errors.Unwrap(err)); got != codes.PermissionDenied && got != codes.AlreadyExists {
			t.Errorf("follower %s of cluster %s: %v", other.Name, other.Cluster, err)
		}
	}
}

func (p *testPeer) exchange(t *testing.T) string {
	p.meta.mu.Lock()
	defer p.meta.mu.Unlock()
	return p.meta.Exchange
}

func TestConfig_Check(t *testing.T) {
	t.Parallel()
	for name, edit := range map[string]func(*Config){
		"no name":         func(c *Config) { c.Name = "" },
		"no cluster":      func(c *Config) { c.Cluster = "" },
		"beyond loopback": func(c *Config) { c.Exchange = "10.0.0.4:7000" },
		"all addresses":   func(c *Config) { c.Exchange = "0.0.0.0:7000" },
		"a host's name":   func(c *Config) { c.Listen = "localhost:7000" },
		"no port":         func(c *Config) { c.Seeds = []string{"127.0.0.1"} },
		"a short key":     func(c *Config) { c.Keys = [][]byte{[]byte("short")} },
	} {
		c := config("a")
		edit(&c)
		if err := c.Check(); err == nil || !strings.HasPrefix(err.Error(), "peers: ") {
			t.Errorf("%s: %v", name, err)
		}
	}
	c := config("a")
	if c.Exchange = "192.168.1.1:1"; !errors.Is(c.Check(), ErrBeyondLoopback) {
		t.Error(c.Check())
	}
}

// Only peers that are alive and not in a backoff are chosen, at most maxFollowed, the earliest incarnation first.
func TestChoosePeers(t *testing.T) {
	t.Parallel()
	member := func(name string, incarnation uint64, edit func(*peer)) peer {
		f := peer{Member: Member{Name: name, Incarnation: incarnation, Exchange: "127.0.0.1:1", State: stateAlive}}
		if edit != nil {
			edit(&f)
		}
		return f
	}
	all := []peer{member("new", 9, nil), member("old", 1, nil), member("mid", 5, nil), member("left", 0, func(f *peer) { f.State = stateLeft }),
		member("dead", 0, func(f *peer) { f.State = stateDead }), member("no-exchange", 0, func(f *peer) { f.Exchange = "" }),
		member("backoff", 0, func(f *peer) { f.retryAt = 10 * time.Second }), member("fails", 0, func(f *peer) { f.failures = 2 })}
	for _, c := range []struct {
		maxFollowed int
		now         time.Duration
		want        string
	}{{2, 0, "[old mid]"}, {10, 0, "[old mid new fails]"}, {1, 10 * time.Second, "[backoff]"}, {0, 0, "[]"}} {
		if got := fmt.Sprint(choosePeers(all, c.maxFollowed, c.now)); got != c.want {
			t.Errorf("at most %d at %v: %s, want %s", c.maxFollowed, c.now, got, c.want)
		}
	}
	all[1].following = true
	if got := fmt.Sprint(choosePeers(all, 2, 0)); got != "[mid]" {
		t.Errorf("with one already followed: %s", got)
	}
	for n, want := range map[int]time.Duration{1: minBackoff, 2: 2 * minBackoff, 100: maxBackoff} {
		if got := backoff(n); got != want {
			t.Errorf("backoff after %d failures: %v", n, got)
		}
	}
}

// scriptedPeer is a peer whose stream is scripted by a test.
type scriptedPeer struct {
	pb.UnimplementedExchangeServer
	answer func(grpc.ServerStreamingServer[pb.Piece]) error
}

func (b scriptedPeer) Follow(_ *pb.FollowRequest, to grpc.ServerStreamingServer[pb.Piece]) error {
	return b.answer(to)
}

func serveScriptedPeer(t *testing.T, answer func(grpc.ServerStreamingServer[pb.Piece]) error) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	pb.RegisterExchangeServer(s, scriptedPeer{answer: answer})
	go s.Serve(l)
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

func followOne(addr string, p *streamProgress, onFacts func([]knowledge.Fact) bool) error {
	c := config("z")
	s := subscription{&c, Member{Name: "faulty", Exchange: addr}, func() time.Duration { return time.Hour }, p, onFacts}
	return s.follow(context.Background())
}

// The stream of a faulty peer ends in bounded time, with a bounded number of facts received.
func TestFollow_FaultyPeers(t *testing.T) {
	t.Parallel()
	fact := &kpb.Fact{Destination: 1, Calls: 1, Value: &kpb.Fact_Health{Health: &kpb.Health{State: kpb.State_STATE_OUT}}}
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silent.Close() })
	for name, c := range map[string]struct {
		addr     string
		want     string
		maxFacts int // facts received
	}{
		"not listening":      {"127.0.0.1:1", "Unavailable", 0},
		"accepts, no answer": {silent.Addr().String(), "Canceled", 0},
		"no chunk":           {serveScriptedPeer(t, func(to grpc.ServerStreamingServer[pb.Piece]) error { <-to.Context().Done(); return nil }), "Canceled", 0},
		"endless": {serveScriptedPeer(t, func(to grpc.ServerStreamingServer[pb.Piece]) error {
			for to.Send(&pb.Piece{Life: 1, Facts: []*kpb.Fact{fact}}) == nil {
			}
			return nil
		}), errFlooding.Error(), 2 * maxChunkBurst},
		"huge": {serveScriptedPeer(t, func(to grpc.ServerStreamingServer[pb.Piece]) error {
			return to.Send(&pb.Piece{Life: 1, Facts: slices.Repeat([]*kpb.Fact{fact}, maxChunkBytes/4)})
		}), "ResourceExhausted", 0},
		"fails after one": {serveScriptedPeer(t, func(to grpc.ServerStreamingServer[pb.Piece]) error {
			to.Send(&pb.Piece{Life: 1, Facts: []*kpb.Fact{fact}})
			return status.Error(codes.Aborted, "scripted abort")
		}), "scripted abort", 1},
		"unknown kind of fact": {serveScriptedPeer(t, func(to grpc.ServerStreamingServer[pb.Piece]) error {
			to.Send(&pb.Piece{Life: 1, Facts: []*kpb.Fact{{Destination: 3}, fact}})
			return status.Error(codes.Aborted, "ends")
		}), "ends", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received := 0
			err := followOne(c.addr, &streamProgress{}, func(f []knowledge.Fact) bool { received += len(f); return true })
			if err == nil || !strings.Contains(err.Error(), c.want) || received > c.maxFacts || c.maxFacts == 1 && received != 1 {
				t.Errorf("%v after %d facts", err, received)
			}
		})
	}
}

// A stream is cut off after any number of bytes. Only complete chunks are processed, and the next stream resumes after the last
// of them, so that no fact is lost.
func TestFollow_StreamTruncatedAtEachByte(t *testing.T) {
	t.Parallel()
	const all = 3
	a := startPeer(t, config("a"), time.Hour)
	var facts []knowledge.Fact
	for d := range uint32(all) {
		facts = append(facts, outageFact(a, d, 0))
	}
	a.Publish(facts)
	target := a.exchange(t)
	total := followThroughProxy(t, target, 1<<30, all)
	for n := int64(0); n < total; n += 1 + total/200 {
		followThroughProxy(t, target, n, all)
	}
}

// followThroughProxy follows target through a proxy that passes at most maxBytes of the answer, then directly. It fails the test
// unless want facts are received in all, and returns the number of bytes that the proxy passed.
func followThroughProxy(t *testing.T, target string, maxBytes int64, want int) int64 {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var passed atomic.Int64
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		to, err := net.Dial("tcp", target)
		if err != nil {
			return
		}
		defer to.Close()
		go func() {
			io.Copy(to, c)
			to.Close()
		}()
		n, _ := io.Copy(c, io.LimitReader(to, maxBytes))
		passed.Add(n)
	}()
	var p streamProgress
	seen := map[uint32]int{}
	onFacts := func(f []knowledge.Fact) bool {
		for _, fact := range f {
			seen[fact.Destination]++
		}
		return len(seen) < want
	}
	followOne(l.Addr().String(), &p, onFacts)
	l.Close()
	if len(seen) < want {
		followOne(target, &p, onFacts)
	}
	if len(seen) != want {
		t.Fatalf("cut after %d bytes: %d of %d facts", maxBytes, len(seen), want)
	}
	if maxBytes == 1<<30 {
		waitUntil(t, "the proxy ends", func() bool { return passed.Load() > 0 })
	}
	return passed.Load()
}
