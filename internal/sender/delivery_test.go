package sender

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/calls"
	"saffronyard.example/saffronyard/internal/cloudevents"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

// delivers configures a delivery form for all destinations.
func delivers(to calls.Target) func(*Config) {
	return func(c *Config) {
		c.Delivery = &calls.Delivery{Source: "/council", Type: "notice.{class}", Targets: []calls.Target{to}}
	}
}

// combineEdits combines several edits of the configuration.
func combineEdits(edits ...func(*Config)) func(*Config) {
	return func(c *Config) {
		for _, e := range edits {
			e(c)
		}
	}
}

// An event is sent with all of its attributes and data, in each form and on every attempt. A plain message gets the configured
// attributes, the same on every attempt.
func TestDelivery_RequestForms(t *testing.T) {
	t.Parallel()
	const in = `,"datacontenttype":"text/plain","data":"a\"b","ext":"x y","n":7,"time":"2026-12-01T10:00:00Z"`
	for _, name := range []string{calls.Binary, calls.Structured, calls.Batched, calls.Plain} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path := "/in"
			if name == calls.Plain {
				path = "/hook"
			}
			seen := map[string]bool{}
			var mu sync.Mutex
			e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool { // rejects the first call of each message
				mu.Lock()
				again := seen[c.Key+c.Body]
				seen[c.Key+c.Body] = true
				mu.Unlock()
				if !again {
					return st.Status(503)(c, nc)
				}
				return st.Status(200)(c, nc)
			})
			addr := run(t, st.NewPlatform(t, e.Addr), combineEdits(acceptEvents, delivers(calls.Target{Form: name, Path: path, BatchEvents: 5, BatchBytes: 65536})))
			if resp, text := post(t, addr, oneEvent, eventJSON("1", "keyed", in)); resp.StatusCode != 202 {
				t.Fatalf("%s %s", resp.Status, text)
			}
			read := func(c st.Call) *cloudevents.Event {
				t.Helper()
				mode, err := cloudevents.ModeOf(c.Header)
				if err != nil {
					t.Fatal(err)
				}
				var got *cloudevents.Event
				switch mode {
				case cloudevents.BinaryMode:
					got, err = cloudevents.ReadBinary(c.Header, []byte(c.Body))
				case cloudevents.StructuredMode:
					got, err = cloudevents.ReadStructured([]byte(c.Body))
				default:
					var items []cloudevents.Item
					if items, err = cloudevents.ReadBatch([]byte(c.Body), 5, 1<<20); err == nil {
						got, err = items[0].Event, items[0].Err
					}
				}
				if err != nil {
					t.Fatal(err)
				}
				return got
			}
			a, b := e.Next(t), e.Next(t)
			if a.Path != path || a.Method != "POST" || a.Body != b.Body || a.ID != b.ID || a.Key != b.Key {
				t.Errorf("first attempt %+v, second %+v", a, b)
			}
			for _, c := range []st.Call{a, b} {
				got := read(c)
				if got.Get("id") != "1" || got.Get("source") != "/s" || got.Get("ext") != "x y" || got.Get("n") != "7" || got.Get("time") != "2026-12-01T10:00:00Z" ||
					got.Get("subject") != "0" || got.Get("datacontenttype") != "text/plain" || got.DataFormat != cloudevents.Text || string(got.Data) != `a"b` {
					t.Errorf("%+v", got)
				}
			}
			st.Submit(t, addr, st.Submission{ID: "m1", Class: "keyed", Destination: 0, Deadline: 9 * time.Second})
			a, b = e.Next(t), e.Next(t)
			if a.Body != b.Body {
				t.Errorf("first attempt %q, second %q", a.Body, b.Body)
			}
			if name == calls.Plain {
				if a.Header.Get("Ce-Id") != "" || a.Body != "body of m1" || a.Key != "key-m1" || a.ID != "m1" {
					t.Errorf("%+v", a)
				}
				return
			}
			got := read(b)
			if got.Get("id") != "m1" || got.Get("source") != "/council" || got.Get("type") != "notice.keyed" || got.Get("tenant") != "acme" || string(got.Data) != "body of m1" {
				t.Errorf("%+v", got)
			}
		})
	}
}

// An endpoint that answers 410 gets no further call until the list has taken it out of service and put it back. The message goes to
// another endpoint.
func TestDelivery_EndpointGone(t *testing.T) {
	t.Parallel()
	var accepts atomic.Bool
	gone := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		if accepts.Load() {
			return st.Status(200)(c, nc)
		}
		return st.Status(410)(c, nc)
	})
	other := st.NewEndpoint(t, st.Status(204))
	p := st.NewPlatform(t, gone.Addr)
	p.Change(st.Target("s-9", other.Addr, 0, "SERVING"))
	addr := run(t, p, delivers(calls.Target{Form: calls.Structured}))
	for i := 0; len(gone.Calls) == 0; i++ {
		st.Submit(t, addr, st.Submission{ID: "a" + strconv.Itoa(i), Class: "unsafe", Destination: 0, Deadline: 9 * time.Second})
		other.Next(t)
		if i > 200 {
			t.Fatal("the endpoint that answers 410 is never called")
		}
	}
	for i := range 30 {
		st.Submit(t, addr, st.Submission{ID: "b" + strconv.Itoa(i), Class: "unsafe", Destination: 0, Deadline: 9 * time.Second})
		other.Next(t)
	}
	if n := len(gone.Calls); n != 1 {
		t.Errorf("the endpoint that answers 410 got %d calls", n)
	}
	gone.Next(t)
	accepts.Store(true)
	for _, state := range []string{"SERVING", "DRAINING", "SERVING"} { // the first is no change
		for len(p.Lists) > 0 {
			<-p.Lists
		}
		p.Change(st.Target("s-0", gone.Addr, 0, state))
		st.Receive(t, p.Lists) // the sender has the change and watches for the next
	}
	p.Change(st.Target("s-9", other.Addr, 0, "DRAINING"))
	until(t, func() bool {
		st.Submit(t, addr, st.Submission{ID: fmt.Sprint("c", time.Now().UnixNano()), Class: "safe", Destination: 0, Deadline: 9 * time.Second})
		return len(gone.Calls) > 0
	})
}

// Messages that the module sends to one endpoint in one step share a call, within the limits of a batch.
func TestDelivery_Batches(t *testing.T) {
	t.Parallel()
	s, e, _ := newManualSender(t, st.Status(200), combineEdits(acceptEvents, delivers(calls.Target{Form: calls.Batched, BatchEvents: 3, BatchBytes: 65536})))
	s.sendInOneStep(t, 5)
	var sizes []int
	got := map[string]bool{}
	for len(got) < 5 {
		ids := st.BatchIDs(t, e.Next(t))
		sizes = append(sizes, len(ids))
		for _, id := range ids {
			if got[id] {
				t.Errorf("%s is sent twice", id)
			}
			got[id] = true
		}
	}
	slices.Sort(sizes)
	if !slices.Equal(sizes, []int{2, 3}) {
		t.Errorf("calls of %v events", sizes)
	}
	for s.pending > 0 {
		s.turn(context.Background(), st.Receive(t, s.events))
	}
}

// sendInOneStep sends n messages in one step, without a decision of the module.
func (s *Sender) sendInOneStep(t *testing.T, n int) {
	t.Helper()
	var at *calls.Endpoint
	for _, e := range s.endpoints.ByNumber {
		at = e
	}
	for i := range n {
		m, err := s.journal.insert(record{ID: "m" + strconv.Itoa(i), Class: "safe", Tenant: "acme", Deadline: s.clock.now() + time.Minute, Body: []byte("x")})
		if err != nil {
			t.Fatal(err)
		}
		id := s.register(m, nil, 0)
		s.journal.update(m, record{Op: opSend, Sent: &attemptRecord{At: s.clock.now(), Endpoint: at.ID}})
		s.send(context.Background(), brain.Send{Message: id, Endpoint: at.Number, Timeout: 5 * time.Second}, true)
	}
	s.sendBatches(context.Background(), s.flush())
}

// A cancelled message of a batch ends alone, and the call goes on for the others. The call ends when its last message is cancelled.
func TestDelivery_CancelWithinBatch(t *testing.T) {
	t.Parallel()
	batched := combineEdits(acceptEvents, delivers(calls.Target{Form: calls.Batched, BatchEvents: 3, BatchBytes: 65536}))
	statuses := make(chan int)
	s, e, _ := newManualSender(t, gate(statuses), batched)
	s.sendInOneStep(t, 3)
	e.Next(t)
	s.byID["m1"].calls.cancel(0)
	if end := st.Receive(t, s.events).(callResult); end.message.ID != "m1" || end.Outcome != brain.Cancelled {
		t.Errorf("%+v", end)
	}
	statuses <- 200
	for range 2 {
		if end := st.Receive(t, s.events).(callResult); end.Outcome != brain.Served {
			t.Errorf("%+v", end)
		}
	}

	ended := make(chan struct{})
	s, e, _ = newManualSender(t, func(_ st.Call, nc net.Conn) bool {
		io.Copy(io.Discard, nc)
		close(ended)
		return false
	}, batched)
	s.sendInOneStep(t, 2)
	e.Next(t)
	s.byID["m0"].calls.cancel(0)
	st.Receive(t, s.events)
	select {
	case <-ended:
		t.Error("the call ended when the first of its messages was cancelled")
	default:
	}
	s.byID["m1"].calls.cancel(0)
	st.Receive(t, s.events)
	st.Receive(t, ended)
}

// A batch whose connection is reset may have run: so may each of its messages, and those that may not be repeated are not sent again.
func TestDelivery_BatchTruncated(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Reset)
	p := st.NewPlatform(t, e.Addr)
	addr := run(t, p, delivers(calls.Target{Form: calls.Batched, BatchEvents: 8, BatchBytes: 65536}))
	for i := range 10 {
		st.Submit(t, addr, st.Submission{ID: "m" + strconv.Itoa(i), Class: "unsafe", Destination: 0, Deadline: 9 * time.Second})
	}
	ends := map[string]string{}
	for len(ends) < 10 {
		n := st.Receive(t, p.Notices)
		ends[n.Message] = n.Outcome
	}
	seen := map[string]int{}
	for len(e.Calls) > 0 {
		for _, id := range st.BatchIDs(t, e.Next(t)) {
			if seen[id]++; seen[id] > 1 {
				t.Errorf("%s is sent again", id)
			}
		}
	}
	for id, outcome := range ends {
		if outcome != outcomeGivenUp {
			t.Errorf("%s: %s", id, outcome)
		}
	}
}
