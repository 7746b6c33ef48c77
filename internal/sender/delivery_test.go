package sender

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dockshift.example/dockshift/brain"
	"dockshift.example/dockshift/internal/cloudevents"
	st "dockshift.example/dockshift/internal/sendertest"
)

// delivers turns a form on for all destinations.
func delivers(to To) func(*Config) {
	return func(c *Config) {
		c.Delivery = &Delivery{Source: "/council", Type: "notice.{class}", To: []To{to}}
	}
}

// both makes one edit of several.
func both(edits ...func(*Config)) func(*Config) {
	return func(c *Config) {
		for _, e := range edits {
			e(c)
		}
	}
}

func formOf(name string) *form {
	f := newForms(&Delivery{Source: "/s", Type: "t", To: []To{{Form: name, BatchEvents: 10, BatchBytes: 1 << 20}}})
	return f.of(0, "")
}

// The outcome table, against every transport: PROTOCOL's for all, and the web hook's own words in event forms.
func TestOutcomesOfEveryForm(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		status int
		line   string
		plain  brain.AttemptEnd
		events brain.AttemptEnd
		gone   bool // in event forms
	}{
		{200, "", brain.AttemptEnd{Outcome: brain.Served, Over: true}, brain.AttemptEnd{Outcome: brain.Served, Over: true}, false},
		{201, "", brain.AttemptEnd{Outcome: brain.Errored}, brain.AttemptEnd{Outcome: brain.Served, Over: true}, false},
		{202, "", brain.AttemptEnd{Outcome: brain.Errored}, brain.AttemptEnd{Outcome: brain.Served, Over: true}, false},
		{204, "", brain.AttemptEnd{Outcome: brain.Errored}, brain.AttemptEnd{Outcome: brain.Served, Over: true}, false},
		{206, "", brain.AttemptEnd{Outcome: brain.Errored}, brain.AttemptEnd{Outcome: brain.Errored}, false},
		{400, "", brain.AttemptEnd{Outcome: brain.Errored}, brain.AttemptEnd{Outcome: brain.Errored}, false},
		{410, "", brain.AttemptEnd{Outcome: brain.NotSent, Over: true}, brain.AttemptEnd{Outcome: brain.NotSent}, true},
		{415, "", brain.AttemptEnd{Outcome: brain.Errored}, brain.AttemptEnd{Outcome: brain.Errored}, false},
		{429, "", brain.AttemptEnd{Outcome: brain.Refused}, brain.AttemptEnd{Outcome: brain.Refused}, false},
		{429, "X-RateLimit-Wait-Ms: 250", brain.AttemptEnd{Outcome: brain.Refused, Wait: 250 * ms}, brain.AttemptEnd{Outcome: brain.Refused, Wait: 250 * ms}, false},
		{429, "Retry-After: 3", brain.AttemptEnd{Outcome: brain.Refused}, brain.AttemptEnd{Outcome: brain.Refused, Wait: 3000 * ms}, false},
		{503, "Retry-After: 0.25", brain.AttemptEnd{Outcome: brain.Refused}, brain.AttemptEnd{Outcome: brain.Refused, Wait: 250 * ms}, false},
		{503, "X-Over-Slots: 1", brain.AttemptEnd{Outcome: brain.NotSent}, brain.AttemptEnd{Outcome: brain.NotSent}, false},
		{500, "Retry-After: 3", brain.AttemptEnd{Outcome: brain.Errored}, brain.AttemptEnd{Outcome: brain.Errored}, false},
		{504, "", brain.AttemptEnd{Outcome: brain.NotSent}, brain.AttemptEnd{Outcome: brain.NotSent}, false},
		{200, "X-Load: x0=0.4,x1=25", brain.AttemptEnd{Outcome: brain.Served, Over: true, Reported: true, Left: 0.4, Limit: 25},
			brain.AttemptEnd{Outcome: brain.Served, Over: true, Reported: true, Left: 0.4, Limit: 25}, false},
	} {
		var lines []string
		if c.line != "" {
			lines = append(lines, c.line)
		}
		e := st.NewEndpoint(t, st.Status(c.status, lines...))
		for _, name := range []string{formPlain, formBinary, formStructured, formBatched} {
			want, gone := c.events, c.gone
			if name == formPlain {
				want, gone = c.plain, false
			}
			ctx, cancel := context.WithTimeout(context.Background(), st.Wait)
			got, isGone := testPool().call(ctx, &endpoint{addr: e.Addr, form: formOf(name)}, tickets(record{ID: "id"}, st.Wait), st.Wait)
			cancel()
			if got != want || isGone != gone {
				t.Errorf("%s, %d %s: %+v, gone %v; want %+v, %v", name, c.status, c.line, got, isGone, want, gone)
			}
		}
	}
	for name, c := range map[string]struct {
		answer func(st.Call, net.Conn) bool
		want   brain.Outcome
	}{"reset": {st.Reset, brain.Broken}, "silence": {st.Silent, brain.TimedOut},
		"noise":      {func(_ st.Call, c net.Conn) bool { io.WriteString(c, "noise\n"); return false }, brain.Errored},
		"half a 204": {func(_ st.Call, c net.Conn) bool { io.WriteString(c, "HTTP/1.1 204 X\r\nA"); return false }, brain.Served}} {
		e := st.NewEndpoint(t, c.answer)
		for _, form := range []string{formPlain, formBinary, formStructured, formBatched} {
			want := c.want
			if name == "half a 204" && form == formPlain {
				want = brain.Errored
			}
			ctx, cancel := context.WithTimeout(context.Background(), 200*ms)
			got, _ := testPool().call(ctx, &endpoint{addr: e.Addr, form: formOf(form)}, tickets(record{ID: "id"}, st.Wait), 200*ms)
			cancel()
			if got.Outcome != want {
				t.Errorf("%s, %s: %+v, want %d", form, name, got, want)
			}
		}
	}
}

func TestRetryAfter(t *testing.T) {
	now := time.Date(2026, 12, 1, 10, 0, 0, 0, time.UTC)
	for text, want := range map[string]time.Duration{"": 0, "0": 0, "-1": 0, "NaN": 0, "Inf": 0, "1": time.Second, "0.0004": time.Millisecond, "86400": 24 * time.Hour,
		"86401": 0, "soon": 0, "Tue, 01 Dec 2026 10:00:05 GMT": 5 * time.Second, "Tue, 01 Dec 2026 09:59:59 GMT": 0, "Thu, 03 Dec 2026 10:00:00 GMT": 0} {
		if got := retryAfter(text, now); got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}

// What came in as an event leaves with all of it, in each form and on every attempt; what came plain gets stated
// attributes, the same on every attempt.
func TestFormsOut(t *testing.T) {
	t.Parallel()
	const in = `,"datacontenttype":"text/plain","data":"a\"b","ext":"x y","n":7,"time":"2026-12-01T10:00:00Z"`
	for _, name := range []string{formBinary, formStructured, formBatched, formPlain} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path := "/in"
			if name == formPlain {
				path = "/hook"
			}
			first := map[string]bool{}
			var mu sync.Mutex
			e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool { // each is tried twice
				mu.Lock()
				again := first[c.Key+c.Body]
				first[c.Key+c.Body] = true
				mu.Unlock()
				if !again {
					return st.Status(503)(c, nc)
				}
				return st.Status(200)(c, nc)
			})
			addr := run(t, st.NewPlatform(t, e.Addr), both(takesEvents, delivers(To{Form: name, Path: path, BatchEvents: 5, BatchBytes: 65536})))
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
				t.Errorf("%+v and then %+v", a, b)
			}
			for _, c := range []st.Call{a, b} {
				got := read(c)
				if got.Get("id") != "1" || got.Get("source") != "/s" || got.Get("ext") != "x y" || got.Get("n") != "7" || got.Get("time") != "2026-12-01T10:00:00Z" ||
					got.Get("subject") != "0" || got.Get("datacontenttype") != "text/plain" || got.Form != cloudevents.Text || string(got.Data) != `a"b` {
					t.Errorf("%+v", got)
				}
			}
			st.HandIn(t, addr, "m1", "keyed", 0, 9*time.Second)
			a, b = e.Next(t), e.Next(t)
			if a.Body != b.Body {
				t.Errorf("%q and then %q", a.Body, b.Body)
			}
			if name == formPlain {
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

// Forms go by destination or kind, the first that names one.
func TestWhichForm(t *testing.T) {
	f := newForms(&Delivery{To: []To{{Destinations: []uint32{3}, Form: formBinary}, {Kinds: []string{"m2"}, Form: formStructured}, {Destinations: []uint32{4, 5}, Kinds: []string{"m3"}, Form: formBatched}}})
	for _, c := range []struct {
		dest uint32
		kind string
		want string
	}{{3, "m2", formBinary}, {9, "m2", formStructured}, {5, "m2", formStructured}, {5, "", formBatched}, {6, "m3", formBatched}, {6, "m4", ""}} {
		if got := f.of(c.dest, c.kind); got.Form != c.want || got.plain != (c.want == "") {
			t.Errorf("%d %s: %+v", c.dest, c.kind, got)
		}
	}
}

// hook is an endpoint that asks for validation: it answers OPTIONS with lines, and counts.
func hook(t *testing.T, options func() (status int, lines []string), answer func(st.Call, net.Conn) bool) (*st.Endpoint, *atomic.Int64) {
	t.Helper()
	asked := new(atomic.Int64)
	return st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		if c.Method != "OPTIONS" {
			return answer(c, nc)
		}
		asked.Add(1)
		status, lines := options()
		if status == 0 {
			return st.Silent(c, nc)
		}
		return st.Status(status, lines...)(c, nc)
	}), asked
}

var validated = To{Form: formBinary, Path: "/in", Validate: true, Origin: "council.example", Rate: 120}

// Before the first call, and once only, an endpoint is asked whether it wants calls; the rate that it allows is told
// to the module.
func TestValidation(t *testing.T) {
	t.Parallel()
	e, asked := hook(t, func() (int, []string) {
		return 200, []string{"WebHook-Allowed-Origin: council.example", "WebHook-Allowed-Rate: 90"}
	}, st.Status(200))
	pool := newPool(&Config{ConnectTimeout: time.Second, Limits: Limits{Sockets: 64}, Settings: brain.Settings{IdleConnections: 15 * time.Second}})
	f := newForms(&Delivery{Source: "/s", Type: "t", To: []To{validated}})
	at := &endpoint{addr: e.Addr, form: f.of(0, ""), asking: make(chan struct{}, 1)}
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if got := callOnce(pool, at, st.Wait, "x"); got != (brain.AttemptEnd{Outcome: brain.Served, Over: true, Reported: true, Left: 1, Limit: 1.5}) {
				t.Errorf("%+v", got)
			}
		}()
	}
	wg.Wait()
	if n := asked.Load(); n != 1 {
		t.Errorf("it is asked %d times", n)
	}
	first := e.Next(t)
	if h := first.Header; first.Method != "OPTIONS" || first.Path != "/in" || h.Get("WebHook-Request-Origin") != "council.example" || h.Get("WebHook-Request-Rate") != "120" {
		t.Errorf("%+v", first)
	}
	if c := e.Next(t); c.Method != "POST" || c.Header.Get("Origin") != "council.example" {
		t.Errorf("%+v", c)
	}
	other, asked2 := hook(t, func() (int, []string) { return 204, []string{"WebHook-Allowed-Origin: *", "WebHook-Allowed-Rate: *"} }, st.Status(200))
	at.mu.Lock()
	at.addr = other.Addr // it moved: another may answer there
	at.mu.Unlock()
	if got := callOnce(pool, at, st.Wait, "x"); got != (brain.AttemptEnd{Outcome: brain.Served, Over: true}) || asked2.Load() != 1 {
		t.Errorf("%+v, asked %d times", got, asked2.Load())
	}
}

// An endpoint that does not allow it gets no call: the message never ran there, and is asked for again next time.
func TestValidationRefused(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		status int
		lines  []string
	}{
		"no answer": {0, nil}, "not found": {404, nil}, "no origin": {200, nil}, "another origin": {200, []string{"WebHook-Allowed-Origin: other.example"}},
		"not allowed": {405, []string{"WebHook-Allowed-Origin: council.example"}}, "two origins": {200, []string{"WebHook-Allowed-Origin: a", "WebHook-Allowed-Origin: council.example"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var yes atomic.Bool
			e, asked := hook(t, func() (int, []string) {
				if yes.Load() {
					return 200, []string{"WebHook-Allowed-Origin: Council.Example", "WebHook-Allowed-Rate: none"}
				}
				return c.status, c.lines
			}, st.Status(200))
			f := newForms(&Delivery{Source: "/s", Type: "t", To: []To{validated}})
			at := &endpoint{addr: e.Addr, form: f.of(0, ""), asking: make(chan struct{}, 1)}
			pool := testPool()
			if got := callOnce(pool, at, 300*time.Millisecond, "x"); got.Outcome != brain.ConnectFailed && got.Outcome != brain.NotSent || got.Over {
				t.Errorf("%+v", got)
			}
			yes.Store(true)
			if got := callOnce(pool, at, st.Wait, "x"); got.Outcome != brain.Served || got.Reported || asked.Load() != 2 {
				t.Errorf("%+v, asked %d times", got, asked.Load())
			}
			methods := []string{e.Next(t).Method, e.Next(t).Method, e.Next(t).Method}
			if !slices.Equal(methods, []string{"OPTIONS", "OPTIONS", "POST"}) {
				t.Errorf("%v", methods)
			}
		})
	}
}

// An endpoint that answers 410 gets no further call, until the list has taken it out of service and back; the message
// goes to another.
func TestGone(t *testing.T) {
	t.Parallel()
	var wants atomic.Bool
	leaves := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		if wants.Load() {
			return st.Status(200)(c, nc)
		}
		return st.Status(410)(c, nc)
	})
	stays := st.NewEndpoint(t, st.Status(204))
	p := st.NewPlatform(t, leaves.Addr)
	p.Change(st.Target("s-9", stays.Addr, 0, "SERVING"))
	addr := run(t, p, delivers(To{Form: formStructured}))
	for i := 0; len(leaves.Calls) == 0; i++ {
		st.HandIn(t, addr, "a"+strconv.Itoa(i), "unsafe", 0, 9*time.Second)
		stays.Next(t)
		if i > 200 {
			t.Fatal("it is never called")
		}
	}
	for i := range 30 {
		st.HandIn(t, addr, "b"+strconv.Itoa(i), "unsafe", 0, 9*time.Second)
		stays.Next(t)
	}
	if n := len(leaves.Calls); n != 1 {
		t.Errorf("it got %d calls", n)
	}
	leaves.Next(t)
	wants.Store(true)
	for _, state := range []string{"SERVING", "DRAINING", "SERVING"} { // the first says nothing new
		for len(p.Lists) > 0 {
			<-p.Lists
		}
		p.Change(st.Target("s-0", leaves.Addr, 0, state))
		st.Receive(t, p.Lists) // it has that, and watches for the next
	}
	p.Change(st.Target("s-9", stays.Addr, 0, "DRAINING"))
	until(t, func() bool {
		st.HandIn(t, addr, fmt.Sprint("c", time.Now().UnixNano()), "safe", 0, 9*time.Second)
		return len(leaves.Calls) > 0
	})
}

// batchIDs is the ids of the events in a call.
func batchIDs(t *testing.T, c st.Call) []string {
	t.Helper()
	items, err := cloudevents.ReadBatch([]byte(c.Body), 1000, 1<<20)
	if err != nil {
		t.Fatalf("%v: %s", err, c.Body)
	}
	var ids []string
	for _, it := range items {
		if it.Err != nil {
			t.Fatal(it.Err)
		}
		ids = append(ids, it.Event.Get("id"))
	}
	return ids
}

// What the module sends to one endpoint in one step travels in one call, as far as it fits.
func TestBatchesOut(t *testing.T) {
	t.Parallel()
	s, e, _ := byHand(t, st.Status(200), both(takesEvents, delivers(To{Form: formBatched, BatchEvents: 3, BatchBytes: 65536})))
	s.send2(t, 5)
	var sizes []int
	got := map[string]bool{}
	for len(got) < 5 {
		ids := batchIDs(t, e.Next(t))
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
	for s.held > 0 {
		s.turn(context.Background(), st.Receive(t, s.events))
	}
}

// send2 has the loop send n messages in one step, whatever the module would do with them.
func (s *Sender) send2(t *testing.T, n int) {
	t.Helper()
	var at *endpoint
	for _, e := range s.list.byNumber {
		at = e
	}
	for i := range n {
		m, err := s.journal.put(record{ID: "m" + strconv.Itoa(i), Class: "safe", Tenant: "acme", Deadline: s.clock.now() + time.Minute, Body: []byte("x")})
		if err != nil {
			t.Fatal(err)
		}
		id := s.hold(m, nil)
		s.journal.note(m, record{Op: "send", Sent: &try{At: s.clock.now(), Endpoint: at.id}})
		s.send(context.Background(), brain.Send{Message: id, Endpoint: at.number, Timeout: 5 * time.Second}, true)
	}
	s.sendBatches(context.Background(), s.flush())
}

// One message of a batch that is called off ends by itself; the call goes on for the others. When the last goes, so
// does the call.
func TestCancelInABatch(t *testing.T) {
	t.Parallel()
	batched := both(takesEvents, delivers(To{Form: formBatched, BatchEvents: 3, BatchBytes: 65536}))
	how := make(chan int)
	s, e, _ := byHand(t, gate(how), batched)
	s.send2(t, 3)
	e.Next(t)
	s.byID["m1"].calls.cancel(0)
	if end := st.Receive(t, s.events).(callEnd); end.message.ID != "m1" || end.Outcome != brain.Cancelled {
		t.Errorf("%+v", end)
	}
	how <- 200
	for range 2 {
		if end := st.Receive(t, s.events).(callEnd); end.Outcome != brain.Served {
			t.Errorf("%+v", end)
		}
	}

	ended := make(chan struct{})
	s, e, _ = byHand(t, func(_ st.Call, nc net.Conn) bool {
		io.Copy(io.Discard, nc)
		close(ended)
		return false
	}, batched)
	s.send2(t, 2)
	e.Next(t)
	s.byID["m0"].calls.cancel(0)
	st.Receive(t, s.events)
	select {
	case <-ended:
		t.Error("the call ends with the first of its messages")
	default:
	}
	s.byID["m1"].calls.cancel(0)
	st.Receive(t, s.events)
	st.Receive(t, ended)
}

// A batch that is cut off may have run: each of its messages is told so, and what may not be repeated is not.
func TestBatchCutOff(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Reset)
	p := st.NewPlatform(t, e.Addr)
	addr := run(t, p, delivers(To{Form: formBatched, BatchEvents: 8, BatchBytes: 65536}))
	for i := range 10 {
		st.HandIn(t, addr, "m"+strconv.Itoa(i), "unsafe", 0, 9*time.Second)
	}
	ends := map[string]string{}
	for len(ends) < 10 {
		n := st.Receive(t, p.Notices)
		ends[n.Message] = n.Outcome
	}
	seen := map[string]int{}
	for len(e.Calls) > 0 {
		for _, id := range batchIDs(t, e.Next(t)) {
			if seen[id]++; seen[id] > 1 {
				t.Errorf("%s is sent again", id)
			}
		}
	}
	for id, how := range ends {
		if how != givenUp {
			t.Errorf("%s: %s", id, how)
		}
	}
}

// headerBytes is what a form adds to a call of 400 bytes; for the note.
func BenchmarkForms(b *testing.B) {
	m := record{ID: "9b1f03aa5c7e2d41", Key: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", Class: "keyed", Tenant: "acme", Body: []byte(strings.Repeat("x", 400))}
	for _, name := range []string{formPlain, formBinary, formStructured, formBatched} {
		b.Run(name, func(b *testing.B) {
			f := formOf(name)
			var buf []byte
			b.ReportAllocs()
			for b.Loop() {
				buf = f.appendCall(buf[:0], []record{m}, "10.0.0.1:8080", time.Second)
			}
			b.ReportMetric(float64(len(buf)), "bytes/call")
		})
	}
}
