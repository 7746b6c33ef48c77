package calls

import (
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

func formatOf(name string) *requestFormat {
	f := newRequestFormats(&Delivery{Source: "/s", Type: "t", Targets: []Target{{Form: name, BatchEvents: 10, BatchBytes: 1 << 20}}})
	return f.find(0, "")
}

// The outcome table of doc.go for every form: the platform's rules, and those of web hooks for event forms.
func TestCall_OutcomesOfEveryForm(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		status int
		line   string
		plain  brain.AttemptResult
		events brain.AttemptResult
		gone   bool // in event forms
	}{
		{200, "", brain.AttemptResult{Outcome: brain.Served, Final: true}, brain.AttemptResult{Outcome: brain.Served, Final: true}, false},
		{201, "", brain.AttemptResult{Outcome: brain.Errored}, brain.AttemptResult{Outcome: brain.Served, Final: true}, false},
		{202, "", brain.AttemptResult{Outcome: brain.Errored}, brain.AttemptResult{Outcome: brain.Served, Final: true}, false},
		{204, "", brain.AttemptResult{Outcome: brain.Errored}, brain.AttemptResult{Outcome: brain.Served, Final: true}, false},
		{206, "", brain.AttemptResult{Outcome: brain.Errored}, brain.AttemptResult{Outcome: brain.Errored}, false},
		{400, "", brain.AttemptResult{Outcome: brain.Errored}, brain.AttemptResult{Outcome: brain.Errored}, false},
		{410, "", brain.AttemptResult{Outcome: brain.NotSent, Final: true}, brain.AttemptResult{Outcome: brain.NotSent}, true},
		{415, "", brain.AttemptResult{Outcome: brain.Errored}, brain.AttemptResult{Outcome: brain.Errored}, false},
		{429, "", brain.AttemptResult{Outcome: brain.Rejected}, brain.AttemptResult{Outcome: brain.Rejected}, false},
		{429, "X-RateLimit-Wait-Ms: 250", brain.AttemptResult{Outcome: brain.Rejected, RetryAfter: 250 * ms}, brain.AttemptResult{Outcome: brain.Rejected, RetryAfter: 250 * ms}, false},
		{429, "Retry-After: 3", brain.AttemptResult{Outcome: brain.Rejected}, brain.AttemptResult{Outcome: brain.Rejected, RetryAfter: 3000 * ms}, false},
		{503, "Retry-After: 0.25", brain.AttemptResult{Outcome: brain.Rejected}, brain.AttemptResult{Outcome: brain.Rejected, RetryAfter: 250 * ms}, false},
		{503, "X-Over-Slots: 1", brain.AttemptResult{Outcome: brain.NotSent}, brain.AttemptResult{Outcome: brain.NotSent}, false},
		{500, "Retry-After: 3", brain.AttemptResult{Outcome: brain.Errored}, brain.AttemptResult{Outcome: brain.Errored}, false},
		{504, "", brain.AttemptResult{Outcome: brain.NotSent}, brain.AttemptResult{Outcome: brain.NotSent}, false},
		{200, "X-Load: x0=0.4,x1=25", brain.AttemptResult{Outcome: brain.Served, Final: true, LimitReported: true, Remaining: 0.4, Limit: 25},
			brain.AttemptResult{Outcome: brain.Served, Final: true, LimitReported: true, Remaining: 0.4, Limit: 25}, false},
	} {
		var lines []string
		if c.line != "" {
			lines = append(lines, c.line)
		}
		e := st.NewEndpoint(t, st.Status(c.status, lines...))
		for _, name := range []string{Plain, Binary, Structured, Batched} {
			want, gone := c.events, c.gone
			if name == Plain {
				want, gone = c.plain, false
			}
			ctx, cancel := context.WithTimeout(context.Background(), st.Wait)
			got, isGone := testPool().Call(ctx, &Endpoint{addr: e.Addr, format: formatOf(name)}, tickets(Message{ID: "id"}, st.Wait), st.Wait)
			cancel()
			if got != want || isGone != gone {
				t.Errorf("%s, %d %s: %+v, gone %v; want %+v, %v", name, c.status, c.line, got, isGone, want, gone)
			}
		}
	}
	for name, c := range map[string]struct {
		answer func(st.Call, net.Conn) bool
		want   brain.Outcome
	}{"reset": {st.Reset, brain.ConnectionLost}, "no answer": {st.Unresponsive, brain.TimedOut},
		"noise":      {func(_ st.Call, c net.Conn) bool { io.WriteString(c, "noise\n"); return false }, brain.Errored},
		"half a 204": {func(_ st.Call, c net.Conn) bool { io.WriteString(c, "HTTP/1.1 204 X\r\nA"); return false }, brain.Served}} {
		e := st.NewEndpoint(t, c.answer)
		for _, form := range []string{Plain, Binary, Structured, Batched} {
			want := c.want
			if name == "half a 204" && form == Plain {
				want = brain.Errored
			}
			ctx, cancel := context.WithTimeout(context.Background(), 200*ms)
			got, _ := testPool().Call(ctx, &Endpoint{addr: e.Addr, format: formatOf(form)}, tickets(Message{ID: "id"}, st.Wait), 200*ms)
			cancel()
			if got.Outcome != want {
				t.Errorf("%s, %s: %+v, want %d", form, name, got, want)
			}
		}
	}
}

func TestRetryAfter_Parsing(t *testing.T) {
	now := time.Date(2026, 12, 1, 10, 0, 0, 0, time.UTC)
	for text, want := range map[string]time.Duration{"": 0, "0": 0, "-1": 0, "NaN": 0, "Inf": 0, "1": time.Second, "0.0004": time.Millisecond, "86400": 24 * time.Hour,
		"86401": 0, "soon": 0, "Tue, 01 Dec 2026 10:00:05 GMT": 5 * time.Second, "Tue, 01 Dec 2026 09:59:59 GMT": 0, "Thu, 03 Dec 2026 10:00:00 GMT": 0} {
		if got := retryAfter(text, now); got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}

// validatingEndpoint is an endpoint that answers a validation request (OPTIONS) by options, and other calls by answer. It counts the
// validation requests; a status of 0 leaves one unanswered.
func validatingEndpoint(t *testing.T, options func() (status int, lines []string), answer func(st.Call, net.Conn) bool) (*st.Endpoint, *atomic.Int64) {
	t.Helper()
	validations := new(atomic.Int64)
	return st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		if c.Method != "OPTIONS" {
			return answer(c, nc)
		}
		validations.Add(1)
		status, lines := options()
		if status == 0 {
			return st.Unresponsive(c, nc)
		}
		return st.Status(status, lines...)(c, nc)
	}), validations
}

var validatingTarget = Target{Form: Binary, Path: "/in", Validate: true, Origin: "council.example", Rate: 120}

// An endpoint is validated once, before the first call. The rate that it allows is reported to the decision module.
func TestValidation_OnceBeforeFirstCall(t *testing.T) {
	t.Parallel()
	e, validations := validatingEndpoint(t, func() (int, []string) {
		return 200, []string{"WebHook-Allowed-Origin: council.example", "WebHook-Allowed-Rate: 90"}
	}, st.Status(200))
	pool := testPool()
	f := newRequestFormats(&Delivery{Source: "/s", Type: "t", Targets: []Target{validatingTarget}})
	at := &Endpoint{addr: e.Addr, format: f.find(0, ""), validating: make(chan struct{}, 1)}
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if got := callOnce(pool, at, st.Wait, "x"); got != (brain.AttemptResult{Outcome: brain.Served, Final: true, LimitReported: true, Remaining: 1, Limit: 1.5}) {
				t.Errorf("%+v", got)
			}
		}()
	}
	wg.Wait()
	if n := validations.Load(); n != 1 {
		t.Errorf("the endpoint is validated %d times", n)
	}
	first := e.Next(t)
	if h := first.Header; first.Method != "OPTIONS" || first.Path != "/in" || h.Get("WebHook-Request-Origin") != "council.example" || h.Get("WebHook-Request-Rate") != "120" {
		t.Errorf("%+v", first)
	}
	if c := e.Next(t); c.Method != "POST" || c.Header.Get("Origin") != "council.example" {
		t.Errorf("%+v", c)
	}
	other, otherValidations := validatingEndpoint(t, func() (int, []string) { return 204, []string{"WebHook-Allowed-Origin: *", "WebHook-Allowed-Rate: *"} }, st.Status(200))
	at.mu.Lock()
	at.addr = other.Addr // the address changed: another endpoint may answer there
	at.mu.Unlock()
	if got := callOnce(pool, at, st.Wait, "x"); got != (brain.AttemptResult{Outcome: brain.Served, Final: true}) || otherValidations.Load() != 1 {
		t.Errorf("%+v after %d validations", got, otherValidations.Load())
	}
}

// An endpoint that does not allow the origin gets no call, so the message has not run there. The next call validates it again.
func TestValidation_OriginNotAllowed(t *testing.T) {
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
			var allowed atomic.Bool
			e, validations := validatingEndpoint(t, func() (int, []string) {
				if allowed.Load() {
					return 200, []string{"WebHook-Allowed-Origin: Council.Example", "WebHook-Allowed-Rate: none"}
				}
				return c.status, c.lines
			}, st.Status(200))
			f := newRequestFormats(&Delivery{Source: "/s", Type: "t", Targets: []Target{validatingTarget}})
			at := &Endpoint{addr: e.Addr, format: f.find(0, ""), validating: make(chan struct{}, 1)}
			pool := testPool()
			if got := callOnce(pool, at, 300*time.Millisecond, "x"); got.Outcome != brain.ConnectFailed && got.Outcome != brain.NotSent || got.Final {
				t.Errorf("%+v", got)
			}
			allowed.Store(true)
			if got := callOnce(pool, at, st.Wait, "x"); got.Outcome != brain.Served || got.LimitReported || validations.Load() != 2 {
				t.Errorf("%+v after %d validations", got, validations.Load())
			}
			methods := []string{e.Next(t).Method, e.Next(t).Method, e.Next(t).Method}
			if !slices.Equal(methods, []string{"OPTIONS", "OPTIONS", "POST"}) {
				t.Errorf("%v", methods)
			}
		})
	}
}

// The format is that of the first target that matches the destination or its kind.
func TestRequestFormats_FirstMatchApplies(t *testing.T) {
	f := newRequestFormats(&Delivery{Targets: []Target{{Destinations: []uint32{3}, Form: Binary}, {Kinds: []string{"m2"}, Form: Structured}, {Destinations: []uint32{4, 5}, Kinds: []string{"m3"}, Form: Batched}}})
	for _, c := range []struct {
		dest uint32
		kind string
		want string
	}{{3, "m2", Binary}, {9, "m2", Structured}, {5, "m2", Structured}, {5, "", Batched}, {6, "m3", Batched}, {6, "m4", ""}} {
		if got := f.find(c.dest, c.kind); got.Form != c.want || got.plain != (c.want == "") {
			t.Errorf("%d %s: %+v", c.dest, c.kind, got)
		}
	}
}

// BenchmarkForms reports the size of a request with a body of 400 bytes in each form.
func BenchmarkForms(b *testing.B) {
	m := Message{ID: "9b1f03aa5c7e2d41", Key: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211", Class: "keyed", Tenant: "acme", Body: []byte(strings.Repeat("x", 400))}
	for _, name := range []string{Plain, Binary, Structured, Batched} {
		b.Run(name, func(b *testing.B) {
			f := formatOf(name)
			var buf []byte
			b.ReportAllocs()
			for b.Loop() {
				buf = f.appendRequest(buf[:0], []Message{m}, "10.0.0.1:8080", time.Second)
			}
			b.ReportMetric(float64(len(buf)), "bytes/call")
		})
	}
}
