package sender

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/membership"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

const (
	moves       = 200
	moveCalls   = 5 // calls that each address gets before the next move
	moveClients = 4
	// withinCapacity is how many messages may be undelivered at once without filling the sender: it hands messages back from 95 of 100
	// pending messages on, and up to ten more are pending whose responses are in flight.
	withinCapacity = 80
	// moveBound is how long after the response to the update a call may still go to the old address, with some slack for its transmission.
	moveBound = 2*time.Second + 50*time.Millisecond
)

// Two hundred moves under a load that never fills the sender: no message is rejected or handed back, each is delivered exactly once, and
// no new call goes to an address later than two seconds after the response to the update that removed it. The delay of the last call to
// each address is logged.
func TestEndpointsMove_WithinCapacity(t *testing.T) {
	l := newMoveLoad(t, withinCapacity)
	l.run()
	if len(l.handedBack) > 0 || l.rejected > 0 {
		t.Errorf("%d messages are rejected and %d handed back, though there is room", l.rejected, len(l.handedBack))
	}
}

// The same under a load that fills the sender. A message whose call is recalled because its address was removed is queued again, behind
// all others: so it is the one that is handed back while the sender is full, with a notice to its client. Each accepted message is
// delivered exactly once, or handed back with one notice and never sent; none is given up.
func TestEndpointsMove_BeyondCapacity(t *testing.T) {
	newMoveLoad(t, 0).run()
}

// moveLoad is clients that submit messages while the only member of their destination moves from address to address.
type moveLoad struct {
	t              *testing.T
	names          *namedMembers
	platform       *st.Platform
	sender         string
	addrs          []string
	acknowledgedAt []time.Time   // when the update that removed each address was acknowledged
	slots          chan struct{} // a slot for each message that is submitted and not yet delivered; nil: no limit

	mu         sync.Mutex
	last       []time.Time // when the last call to each address arrived
	got        []int       // calls to each address
	accepted   map[string]bool
	rejected   int
	delivered  map[string]int
	handedBack map[string]int
}

// newMoveLoad starts the endpoints and the sender; most is how many messages may be undelivered at once, 0 for no limit.
func newMoveLoad(t *testing.T, most int) *moveLoad {
	l := &moveLoad{t: t, acknowledgedAt: make([]time.Time, moves), last: make([]time.Time, moves+1), got: make([]int, moves+1),
		accepted: map[string]bool{}, delivered: map[string]int{}, handedBack: map[string]int{}}
	if most > 0 {
		l.slots = make(chan struct{}, most)
	}
	for i := range moves + 1 {
		e := st.NewUnreadEndpoint(t, func(c st.Call, nc net.Conn) bool {
			l.called(i, c)
			return st.Status(http.StatusOK)(c, nc)
		})
		l.addrs = append(l.addrs, e.Addr)
	}
	l.names, l.platform = newNamed(t, t.TempDir()), st.NewPlatform(t)
	l.names.pointTo(l.addrs[0])
	l.sender = run(t, l.platform, l.names.names(membership.NamesFirst))
	return l
}

// called records a call to the address at index i.
func (l *moveLoad) called(i int, c st.Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last[i] = time.Now()
	l.got[i]++
	l.delivered[c.ID]++
	if l.slots != nil && l.delivered[c.ID] == 1 {
		<-l.slots
	}
}

// run moves the member under load, and checks how each message ended.
func (l *moveLoad) run() {
	done := make(chan struct{})
	var clients sync.WaitGroup
	for client := range moveClients {
		clients.Go(func() { l.submit(client, done) })
	}
	l.move()
	close(done)
	clients.Wait()
	l.waitUntilQuiet()
	l.check()
}

// submit submits messages, one after the other, until done is closed.
func (l *moveLoad) submit(client int, done <-chan struct{}) {
	for n := 0; ; n++ {
		if l.slots != nil {
			select {
			case <-done:
				return
			case l.slots <- struct{}{}:
			}
		}
		select {
		case <-done:
			return
		default:
		}
		id := fmt.Sprintf("m%d-%d", client, n)
		resp, _ := st.Do(l.t, st.Request(l.t, l.sender, st.Submission{ID: id, Class: "unsafe", Destination: 0, Deadline: time.Hour, Body: "b"}))
		l.answered(id, resp.StatusCode)
	}
}

// answered records the response to a message.
func (l *moveLoad) answered(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch status {
	case http.StatusAccepted:
		l.accepted[id] = true
	case http.StatusServiceUnavailable: // the sender is full
		l.rejected++
	default:
		l.t.Errorf("%s is answered %d", id, status)
	}
}

// move points the member to one address after the other; before each next move it waits for moveCalls calls to the current address.
func (l *moveLoad) move() {
	for i := 1; i <= moves; i++ {
		l.acknowledgedAt[i-1] = l.names.pointTo(l.addrs[i])
		l.until(fmt.Sprintf("move %d is not followed", i), func() bool { return l.got[i] >= moveCalls })
	}
}

// waitUntilQuiet waits until each accepted message has ended.
func (l *moveLoad) waitUntilQuiet() {
	l.until("messages have not ended", func() bool {
		for len(l.platform.Notices) > 0 {
			l.noticed(<-l.platform.Notices)
		}
		return len(l.delivered)+len(l.handedBack) >= len(l.accepted)
	})
}

// noticed records a notice.
func (l *moveLoad) noticed(n st.Notice) {
	if n.Outcome != outcomeHandedBack {
		l.t.Errorf("%s ends as %s", n.Message, n.Outcome)
	}
	l.handedBack[n.Message]++
}

// until waits for a condition, which it checks with mu held, and fails the test with a message if that is not met in time.
func (l *moveLoad) until(failure string, condition func() bool) {
	l.t.Helper()
	for over := time.Now().Add(st.Wait); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		met := condition()
		accepted, delivered, back := len(l.accepted), len(l.delivered), len(l.handedBack)
		l.mu.Unlock()
		if met {
			return
		}
		if time.Now().After(over) {
			l.t.Fatalf("%s: %d accepted, %d delivered, %d handed back", failure, accepted, delivered, back)
		}
	}
}

// check checks that each message ended once, and that no call came late.
func (l *moveLoad) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.accepted {
		if l.delivered[id]+l.handedBack[id] != 1 {
			l.t.Errorf("%s was delivered %d times and handed back %d times", id, l.delivered[id], l.handedBack[id])
		}
	}
	for id := range l.delivered {
		if !l.accepted[id] {
			l.t.Errorf("%s was delivered, but not accepted", id)
		}
	}
	var late []time.Duration
	for i := range moves {
		d := l.last[i].Sub(l.acknowledgedAt[i])
		if d > moveBound {
			l.t.Errorf("move %d: a call went to the old address %v after the update", i+1, d)
		}
		late = append(late, max(0, d))
	}
	slices.Sort(late)
	l.t.Logf("%d messages, %d handed back, %d rejected; last call to the old address after the response: median %v, p90 %v, maximum %v",
		len(l.accepted), len(l.handedBack), l.rejected, late[len(late)/2], late[len(late)*9/10], late[len(late)-1])
}
