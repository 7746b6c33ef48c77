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
	// withinCapacity is how many messages may be undelivered at once without filling the sender's room: it hands messages back from
	// 95 of 100 on, and up to ten more count as held whose answers are on their way.
	withinCapacity = 80
	// moveBound is how long after the update's answer a call may still go to the old address, with some slack for its way.
	moveBound = 2*time.Second + 50*time.Millisecond
)

// Two hundred moves under load, as much as the sender holds without handing any back: no message is refused, each is delivered
// exactly once, and no new call goes to an address later than two seconds after the update that removed it was answered. How
// late the last call to each was is logged.
func TestEndpointsMove_WithinCapacity(t *testing.T) {
	l := newMoveLoad(t, withinCapacity)
	l.play()
	if len(l.handedBack) > 0 || l.refused > 0 {
		t.Errorf("%d messages are refused and %d handed back, though there is room", l.refused, len(l.handedBack))
	}
}

// The same beyond the sender's room. A message whose call was recalled as its address went waits again, and came to wait last: so it
// is the one that is handed back while the room is full, which its client hears by a notice. Each message that was taken on is
// delivered exactly once, or handed back by one notice and never sent; none is given up.
func TestEndpointsMove_BeyondCapacity(t *testing.T) {
	newMoveLoad(t, 0).play()
}

// moveLoad is clients that hand messages in while the only member of their destination moves from address to address.
type moveLoad struct {
	t              *testing.T
	names          *namedMembers
	platform       *st.Platform
	sender         string
	addrs          []string
	acknowledgedAt []time.Time   // when the update that removed each address was answered
	slots          chan struct{} // a place for each message that is handed in and not yet delivered; nil without a bound

	mu         sync.Mutex
	last       []time.Time // when the last call to each address came
	got        []int       // calls to each address
	accepted   map[string]bool
	refused    int
	delivered  map[string]int
	handedBack map[string]int
}

// newMoveLoad starts the endpoints and the sender; most is how many messages may be undelivered at once, 0 for no bound.
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
	l.names.at(l.addrs[0])
	l.sender = run(t, l.platform, l.names.names(membership.NamesFirst))
	return l
}

// called books a call to the address at place i.
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

// play moves the member under load, and checks how each message ended.
func (l *moveLoad) play() {
	done := make(chan struct{})
	var clients sync.WaitGroup
	for client := range moveClients {
		clients.Go(func() { l.handIn(client, done) })
	}
	l.move()
	close(done)
	clients.Wait()
	l.waitUntilQuiet()
	l.check()
}

// handIn hands in messages, one after the other, until the load is over.
func (l *moveLoad) handIn(client int, done <-chan struct{}) {
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

// answered books the answer to a message.
func (l *moveLoad) answered(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch status {
	case http.StatusAccepted:
		l.accepted[id] = true
	case http.StatusServiceUnavailable: // its room is taken: the load is as much as it bears
		l.refused++
	default:
		l.t.Errorf("%s is answered %d", id, status)
	}
}

// move repoints the member from address to address; the next move comes when some calls have gone to this one.
func (l *moveLoad) move() {
	for i := 1; i <= moves; i++ {
		l.acknowledgedAt[i-1] = l.names.at(l.addrs[i])
		l.until(fmt.Sprintf("move %d is not followed", i), func() bool { return l.got[i] >= moveCalls })
	}
}

// waitUntilQuiet waits until each message that was taken on has ended.
func (l *moveLoad) waitUntilQuiet() {
	l.until("messages have not ended", func() bool {
		for len(l.platform.Notices) > 0 {
			l.noticed(<-l.platform.Notices)
		}
		return len(l.delivered)+len(l.handedBack) >= len(l.accepted)
	})
}

// noticed books a notice.
func (l *moveLoad) noticed(n st.Notice) {
	if n.Outcome != outcomeHandedBack {
		l.t.Errorf("%s ends as %s", n.Message, n.Outcome)
	}
	l.handedBack[n.Message]++
}

// until waits, under the lock, for what is to come about.
func (l *moveLoad) until(otherwise string, about func() bool) {
	l.t.Helper()
	for over := time.Now().Add(st.Wait); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		came := about()
		taken, delivered, back := len(l.accepted), len(l.delivered), len(l.handedBack)
		l.mu.Unlock()
		if came {
			return
		}
		if time.Now().After(over) {
			l.t.Fatalf("%s: %d taken on, %d delivered, %d handed back", otherwise, taken, delivered, back)
		}
	}
}

// check is that each message ended once, and no call came late.
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
			l.t.Errorf("%s was delivered, and not taken on", id)
		}
	}
	var late []time.Duration
	for i := range moves {
		d := l.last[i].Sub(l.acknowledgedAt[i])
		if d > moveBound {
			l.t.Errorf("move %d: a call went to the old address %v after", i+1, d)
		}
		late = append(late, max(0, d))
	}
	slices.Sort(late)
	l.t.Logf("%d messages, %d handed back, %d refused; last call to the old address after the answer: median %v, p90 %v, most %v",
		len(l.accepted), len(l.handedBack), l.refused, late[len(late)/2], late[len(late)*9/10], late[len(late)-1])
}
