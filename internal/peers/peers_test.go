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

const wait = 20 * time.Second

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(wait); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s does not come to hold", what)
		}
	}
}

// testPeer is a node in a test, with a clock of its own that is off by an hour or more.
type testPeer struct {
	*Node
	c     Config
	start time.Time
	off   time.Duration

	mu    sync.Mutex
	facts []knowledge.Fact
}

func (p *testPeer) now() time.Duration { return p.off + time.Since(p.start) }

func (p *testPeer) received() []knowledge.Fact {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.facts)
}

func config(name string, seeds ...string) Config {
	return Config{Name: name, Incarnation: 1, Cluster: "test", Listen: "127.0.0.1:0", Exchange: "127.0.0.1:0", Seeds: seeds}
}

var quietLog = slog.New(slog.NewTextHandler(io.Discard, nil))

func begin(t *testing.T, c Config, off time.Duration) *testPeer {
	t.Helper()
	p := &testPeer{c: c, start: time.Now(), off: off}
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

func out(p *testPeer, dest uint32, age time.Duration) knowledge.Fact {
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

// Three senders find each other by one seed; what one has seen reaches the others, of its age by their own clocks, in
// the name of who saw it, and is not told on by them. What changes is told; one that leaves is known to have.
func TestNode_ThreeSendersExchangeFacts(t *testing.T) {
	t.Parallel()
	a := begin(t, config("a"), time.Hour)
	b := begin(t, config("b", a.Address()), 5*time.Hour)
	a.Publish([]knowledge.Fact{out(a, 7, 4*time.Second)})
	c := begin(t, config("c", a.Address()), 100*time.Hour)
	for _, p := range []*testPeer{b, c} {
		until(t, "a's fact is heard", func() bool { return len(p.received()) > 0 })
		f := p.received()[0]
		age := p.now() - f.ObservedAt
		if f.Source != (knowledge.Source{Name: "a", Incarnation: 1}) || f.State != knowledge.Unhealthy || age < 4*time.Second || age > 10*time.Second {
			t.Errorf("%+v, %v old", f, age)
		}
	}
	b.Publish(nil) // it has heard, and seen nothing itself
	a.Publish([]knowledge.Fact{out(a, 7, 0), out(a, 8, 0)})
	until(t, "the change is heard", func() bool {
		return slices.ContainsFunc(c.received(), func(f knowledge.Fact) bool { return f.Destination == 8 })
	})
	for _, f := range append(a.received(), c.received()...) {
		if f.Source.Name != "a" {
			t.Errorf("%s tells what it has heard", f.Source.Name)
		}
	}
	until(t, "all know all", func() bool {
		return b.state("c") == stateAlive && c.state("b") == stateAlive && a.state("c") == stateAlive
	})
	b.Close()
	until(t, "b is known to have left", func() bool { return a.state("b") == stateLeft && c.state("b") == stateLeft })
}

// One that comes back, under its name, at another address and in another life, is followed anew from the start.
func TestNode_PeerRejoins(t *testing.T) {
	t.Parallel()
	a := begin(t, config("a"), time.Hour)
	b := begin(t, config("b", a.Address()), time.Hour)
	b.Publish([]knowledge.Fact{out(b, 1, 0)})
	until(t, "b is heard", func() bool { return len(a.received()) > 0 })
	b.Close()
	next := config("b", a.Address())
	next.Incarnation = 2
	again := begin(t, next, time.Hour)
	again.Publish([]knowledge.Fact{out(again, 2, 0)})
	until(t, "b is heard in its next life", func() bool {
		return slices.ContainsFunc(a.received(), func(f knowledge.Fact) bool { return f.Source.Incarnation == 2 && f.Destination == 2 })
	})
}

// Another deployment on the same network stays apart, and so do those that lack a key; a key is changed in service.
func TestNode_OtherClustersAndKeys(t *testing.T) {
	t.Parallel()
	key := func(b byte) []byte { return []byte(strings.Repeat(string(rune('a'+b)), 32)) }
	with := func(c Config, keys ...[]byte) Config { c.Keys = keys; return c }
	a := begin(t, with(config("a"), key(0)), 0)
	b := begin(t, with(config("b", a.Address()), key(0)), 0)
	stranger := config("stranger", a.Address())
	stranger.Cluster = "other"
	s := begin(t, with(stranger, key(0)), 0)
	n := begin(t, with(config("no-key", a.Address()), key(1)), 0)
	until(t, "b joins", func() bool { return a.state("b") == stateAlive && b.state("a") == stateAlive })
	for _, p := range []*testPeer{a, b} { // the new key is known to all before it is sent with, and the old goes last
		if err := p.SetKeys([][]byte{key(0), key(2)}); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range []*testPeer{a, b} {
		if err := p.SetKeys([][]byte{key(2)}); err != nil {
			t.Fatal(err)
		}
	}
	c := begin(t, with(config("c", a.Address()), key(2)), 0)
	until(t, "c joins by the new key", func() bool { return b.state("c") == stateAlive && c.state("b") == stateAlive })
	if a.state("stranger") != "unknown" || a.state("no-key") != "unknown" || s.state("a") != "unknown" || n.state("a") != "unknown" {
		t.Errorf("strangers: %v", a.Members())
	}
	// The exchange asks, too.
	for _, other := range []Config{stranger, config("a")} {
		var p streamProgress
		s := subscription{&other, Member{Name: "a", Exchange: a.exchange(t)}, a.now, &p, func([]knowledge.Fact) bool { return true }}
		err := s.follow(context.Background())
		if got := status.Code(errors.Unwrap(err)); got != codes.PermissionDenied && got != codes.AlreadyExists {
			t.Errorf("%s of %s: %v", other.Name, other.Cluster, err)
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

// Who is followed: as many as are wanted, the oldest first, none that has gone, none before its pause is over.
func TestChoosePeers(t *testing.T) {
	t.Parallel()
	one := func(name string, life uint64, edit func(*peer)) peer {
		f := peer{Member: Member{Name: name, Incarnation: life, Exchange: "127.0.0.1:1", State: stateAlive}}
		if edit != nil {
			edit(&f)
		}
		return f
	}
	all := []peer{one("new", 9, nil), one("old", 1, nil), one("mid", 5, nil), one("gone", 0, func(f *peer) { f.State = stateLeft }),
		one("dead", 0, func(f *peer) { f.State = stateDead }), one("mute", 0, func(f *peer) { f.Exchange = "" }),
		one("pauses", 0, func(f *peer) { f.retryAt = 10 * time.Second }), one("fails", 0, func(f *peer) { f.failures = 2 })}
	for _, c := range []struct {
		most int
		now  time.Duration
		want string
	}{{2, 0, "[old mid]"}, {10, 0, "[old mid new fails]"}, {1, 10 * time.Second, "[pauses]"}, {0, 0, "[]"}} {
		if got := fmt.Sprint(choosePeers(all, c.most, c.now)); got != c.want {
			t.Errorf("%d at %v: %s, want %s", c.most, c.now, got, c.want)
		}
	}
	all[1].following = true
	if got := fmt.Sprint(choosePeers(all, 2, 0)); got != "[mid]" {
		t.Errorf("with one followed: %s", got)
	}
	for n, want := range map[int]time.Duration{1: minBackoff, 2: 2 * minBackoff, 100: maxBackoff} {
		if got := backoff(n); got != want {
			t.Errorf("pause %d: %v", n, got)
		}
	}
}

// bad is a peer that answers as a test has it.
type bad struct {
	pb.UnimplementedExchangeServer
	answer func(grpc.ServerStreamingServer[pb.Piece]) error
}

func (b bad) Follow(_ *pb.FollowRequest, to grpc.ServerStreamingServer[pb.Piece]) error {
	return b.answer(to)
}

func badPeer(t *testing.T, answer func(grpc.ServerStreamingServer[pb.Piece]) error) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	pb.RegisterExchangeServer(s, bad{answer: answer})
	go s.Serve(l)
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

func followOne(addr string, p *streamProgress, heard func([]knowledge.Fact) bool) error {
	c := config("z")
	s := subscription{&c, Member{Name: "bad", Exchange: addr}, func() time.Duration { return time.Hour }, p, heard}
	return s.follow(context.Background())
}

// Peers that do wrong: each ends its stream, in bounded time, with a bounded number of facts taken in.
func TestFollow_FaultyPeers(t *testing.T) {
	t.Parallel()
	fact := &kpb.Fact{Destination: 1, Calls: 1, Value: &kpb.Fact_Health{Health: &kpb.Health{State: kpb.State_STATE_OUT}}}
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { silent.Close() })
	for name, c := range map[string]struct {
		addr string
		want string
		most int // facts taken in
	}{
		"nobody there":     {"127.0.0.1:1", "Unavailable", 0},
		"takes, and quiet": {silent.Addr().String(), "Canceled", 0},
		"quiet in gRPC":    {badPeer(t, func(to grpc.ServerStreamingServer[pb.Piece]) error { <-to.Context().Done(); return nil }), "Canceled", 0},
		"endless": {badPeer(t, func(to grpc.ServerStreamingServer[pb.Piece]) error {
			for to.Send(&pb.Piece{Life: 1, Facts: []*kpb.Fact{fact}}) == nil {
			}
			return nil
		}), errFlooding.Error(), 2 * maxChunkBurst},
		"huge": {badPeer(t, func(to grpc.ServerStreamingServer[pb.Piece]) error {
			return to.Send(&pb.Piece{Life: 1, Facts: slices.Repeat([]*kpb.Fact{fact}, maxChunkBytes/4)})
		}), "ResourceExhausted", 0},
		"dies after one": {badPeer(t, func(to grpc.ServerStreamingServer[pb.Piece]) error {
			to.Send(&pb.Piece{Life: 1, Facts: []*kpb.Fact{fact}})
			return status.Error(codes.Aborted, "dies")
		}), "dies", 1},
		"tells what nobody knows": {badPeer(t, func(to grpc.ServerStreamingServer[pb.Piece]) error {
			to.Send(&pb.Piece{Life: 1, Facts: []*kpb.Fact{{Destination: 3}, fact}})
			return status.Error(codes.Aborted, "ends")
		}), "ends", 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			taken := 0
			err := followOne(c.addr, &streamProgress{}, func(f []knowledge.Fact) bool { taken += len(f); return true })
			if err == nil || !strings.Contains(err.Error(), c.want) || taken > c.most || c.most == 1 && taken != 1 {
				t.Errorf("%v; %d facts", err, taken)
			}
		})
	}
}

// A stream that breaks off after any number of bytes: what came is whole pieces, and the next stream goes on from the
// last of them, so that all comes and none is lost.
func TestFollow_StreamTruncatedAtEachByte(t *testing.T) {
	t.Parallel()
	const all = 3
	a := begin(t, config("a"), time.Hour)
	var facts []knowledge.Fact
	for d := range uint32(all) {
		facts = append(facts, out(a, d, 0))
	}
	a.Publish(facts)
	target := a.exchange(t)
	whole := proxied(t, target, 1<<30, all)
	for n := int64(0); n < whole; n += 1 + whole/200 {
		proxied(t, target, n, all)
	}
}

// proxied follows through a proxy that lets so many bytes of the answer pass, then directly, wants all facts, and gives
// how many bytes passed until they were there.
func proxied(t *testing.T, target string, most int64, want int) int64 {
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
		n, _ := io.Copy(c, io.LimitReader(to, most))
		passed.Add(n)
	}()
	var p streamProgress
	seen := map[uint32]int{}
	heard := func(f []knowledge.Fact) bool {
		for _, one := range f {
			seen[one.Destination]++
		}
		return len(seen) < want
	}
	followOne(l.Addr().String(), &p, heard)
	l.Close()
	if len(seen) < want {
		followOne(target, &p, heard)
	}
	if len(seen) != want {
		t.Fatalf("cut after %d bytes: %d of %d facts", most, len(seen), want)
	}
	if most == 1<<30 {
		until(t, "the proxy has ended", func() bool { return passed.Load() > 0 })
	}
	return passed.Load()
}
