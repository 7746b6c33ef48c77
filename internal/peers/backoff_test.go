package peers

import (
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"saffronyard.example/saffronyard/internal/knowledge"
)

// One that dies without a word is known to be dead, its stream ends, and it is followed anew as it is back; what it told
// stays, for as long as it is trusted.
func TestNode_PeerDiesSilently(t *testing.T) {
	t.Parallel()
	a := begin(t, config("a"), time.Hour)
	b := begin(t, config("b", a.Address()), time.Hour)
	b.Publish([]knowledge.Fact{out(b, 1, 0)})
	until(t, "b is heard", func() bool { return len(a.received()) > 0 })
	// As SIGKILL does: nothing is said, all its sockets are gone.
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.cancel()
	if err := b.members.Shutdown(); err != nil {
		t.Fatal(err)
	}
	b.server.Stop()
	until(t, "b is known to be dead", func() bool { return a.state("b") == stateDead })
	next := config("b", a.Address())
	next.Incarnation = 2
	again := begin(t, next, time.Hour)
	again.PublishSome([]knowledge.Fact{out(again, 2, 0)})
	until(t, "b is heard in its next life", func() bool {
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

// Halves that do not hear each other take the other for dead; as they hear each other again, each knows the other, by the
// seeds that are tried again, and what was told meanwhile is heard.
func TestNode_PartitionHeals(t *testing.T) {
	t.Parallel()
	a := begin(t, config("a"), time.Hour)
	b := begin(t, config("b", a.Address()), time.Hour)
	until(t, "they know each other", func() bool { return a.state("b") == stateAlive && b.state("a") == stateAlive })
	for _, pair := range [][2]*testPeer{{a, b}, {b, a}} { // each is told that the other is dead, and hears nothing else of it
		(*eventDelegate)(pair[0].Node).NotifyLeave(&memberlist.Node{Name: pair[1].c.Name})
	}
	if a.state("b") != stateDead || b.state("a") != stateDead {
		t.Fatalf("%s and %s", a.state("b"), b.state("a"))
	}
	for _, pair := range [][2]*testPeer{{a, b}, {b, a}} {
		(*eventDelegate)(pair[0].Node).NotifyJoin(pair[1].members.LocalNode())
	}
	b.Publish([]knowledge.Fact{out(b, 3, 0)})
	until(t, "what b tells is heard", func() bool { return len(a.received()) > 0 })
}
