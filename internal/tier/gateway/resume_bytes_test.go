package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/tiertest"
)

// wire is the whole answer of resumed to an attempt, as it goes over the connection.
func wire(id string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	for n := 1; n <= 5; n++ {
		event := tiertest.EventText(n, fmt.Sprint("event ", n))
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(event), event)
	}
	return text.String() + "0\r\n\r\n"
}

// Wherever in its bytes the first run is cut, the client has each event once and in order: nothing is doubled at the seam, nothing is
// missing.
func TestResume_AfterBreakAtEachByte(t *testing.T) {
	var mu sync.Mutex
	first := map[string]int{} // by attempt: bytes of its first run; taken out when that was made
	script := func(a *tiertest.ReceivedRequest) {
		mu.Lock()
		cut, is := first[a.AttemptID]
		delete(first, a.AttemptID)
		mu.Unlock()
		if !is {
			resumed(a)
			return
		}
		a.WriteText(wire(a.AttemptID)[:cut])
		a.Close()
	}
	r := startGateway(t, tiertest.NewEndpoint(t, "i-a", "s", script), tiertest.NewEndpoint(t, "i-b", "s", script))
	for cut := range len(wire("a-000")) + 1 {
		id := fmt.Sprintf("a-%03d", cut)
		mu.Lock()
		first[id] = cut
		mu.Unlock()
		got := r.post("/resumable/x", id, "", "b")
		assert.NilError(t, got.Err, "cut after %d bytes", cut)
		assert.Equal(t, got.Status, 200, "cut after %d bytes", cut)
		assert.Equal(t, got.Body, fiveEvents(), "cut after %d bytes", cut)
		assert.Equal(t, got.Header.Get("X-Response-Signature"), "s."+id)
	}
}
