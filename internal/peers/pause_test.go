package peers

import (
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"saffronyard.example/saffronyard/internal/knowledge"
)

// One that dies without a word is known to be dead, its stream ends, and it is followed anew as it is back; what it told
// stays, for as long as it is trusted.
func TestDiesWithoutAWord(t *testing.T) {
	t.Parallel()
	a := begin(t, config("a"), time.Hour)
	b := begin(t, config("b", a.Address()), time.Hour)
	b.Tell([]knowledge.Fact{out(b, 1, 0)})
	until(t, "b is heard", func() bool { return len(a.heard()) > 0 })
	// As SIGKILL does: nothing is said, all its sockets are gone.
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.stop()
	if err := b.list.Shutdown(); err != nil {
		t.Fatal(err)
	}
	b.server.Stop()
	until(t, "b is known to be dead", func() bool { return a.state("b") == dead })
	next := config("b", a.Address())
	next.Life = 2
	again := begin(t, next, time.Hour)
	again.TellNews([]knowledge.Fact{out(again, 2, 0)})
	until(t, "b is heard in its next life", func() bool {
		for _, f := range a.heard() {
			if f.Source.Life == 2 && f.Destination == 2 {
				return true
			}
		}
		return false
	})
	if a.state("b") != here {
		t.Error(a.state("b"))
	}
}

// Halves that do not hear each other take the other for dead; as they hear each other again, each knows the other, by the
// seeds that are tried again, and what was told meanwhile is heard.
func TestHalvesHeal(t *testing.T) {
	t.Parallel()
	a := begin(t, config("a"), time.Hour)
	b := begin(t, config("b", a.Address()), time.Hour)
	until(t, "they know each other", func() bool { return a.state("b") == here && b.state("a") == here })
	for _, pair := range [][2]*peer{{a, b}, {b, a}} { // each is told that the other is dead, and hears nothing else of it
		(*events)(pair[0].Node).NotifyLeave(&memberlist.Node{Name: pair[1].c.Name})
	}
	if a.state("b") != dead || b.state("a") != dead {
		t.Fatalf("%s and %s", a.state("b"), b.state("a"))
	}
	for _, pair := range [][2]*peer{{a, b}, {b, a}} {
		(*events)(pair[0].Node).NotifyJoin(pair[1].list.LocalNode())
	}
	b.Tell([]knowledge.Fact{out(b, 3, 0)})
	until(t, "what b tells is heard", func() bool { return len(a.heard()) > 0 })
}
