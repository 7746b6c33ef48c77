package peers

import (
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"saffronyard.example/saffronyard/internal/knowledge"
)

// A peer that crashes without leaving is detected as dead, its stream ends, and it is followed again once it is back. Its facts
// are kept for as long as they are trusted.
func TestNode_PeerDiesSilently(t *testing.T) {
	t.Parallel()
	a := startPeer(t, config("a"), time.Hour)
	b := startPeer(t, config("b", a.Address()), time.Hour)
	b.Publish([]knowledge.Fact{outageFact(b, 1, 0)})
	waitUntil(t, "b's fact is received", func() bool { return len(a.received()) > 0 })
	// As after SIGKILL: nothing is sent, and all sockets are closed.
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.cancel()
	if err := b.members.Shutdown(); err != nil {
		t.Fatal(err)
	}
	b.server.Stop()
	waitUntil(t, "b is detected as dead", func() bool { return a.state("b") == stateDead })
	next := config("b", a.Address())
	next.Incarnation = 2
	restarted := startPeer(t, next, time.Hour)
	restarted.PublishSome([]knowledge.Fact{outageFact(restarted, 2, 0)})
	waitUntil(t, "a fact of b's next incarnation is received", func() bool {
		for _, f := range a.received() {
			if f.Source.Incarnation == 2 && f.Destination == 2 {
				return true
			}
		}
		return false
	})
	if a.state("b") != stateAlive {
		t.Error(a.state("b"))
	}
}

// The two sides of a network partition record each other as dead. When it heals, they record each other as alive again, and facts
// published meanwhile are received.
func TestNode_PartitionHeals(t *testing.T) {
	t.Parallel()
	a := startPeer(t, config("a"), time.Hour)
	b := startPeer(t, config("b", a.Address()), time.Hour)
	waitUntil(t, "a and b have discovered each other", func() bool { return a.state("b") == stateAlive && b.state("a") == stateAlive })
	for _, pair := range [][2]*testPeer{{a, b}, {b, a}} { // each is notified that the other is dead, and of nothing else
		(*eventDelegate)(pair[0].Node).NotifyLeave(&memberlist.Node{Name: pair[1].config.Name})
	}
	if a.state("b") != stateDead || b.state("a") != stateDead {
		t.Fatalf("a has b as %s, b has a as %s", a.state("b"), b.state("a"))
	}
	for _, pair := range [][2]*testPeer{{a, b}, {b, a}} {
		(*eventDelegate)(pair[0].Node).NotifyJoin(pair[1].members.LocalNode())
	}
	b.Publish([]knowledge.Fact{outageFact(b, 3, 0)})
	waitUntil(t, "b's fact is received", func() bool { return len(a.received()) > 0 })
}
