package controlplane

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// operatorCalls are calls of operators, one of each kind of final answer that the primary gives when it is in touch, in a state
// in which revision 3 is in force and v1, v2 and v3 keep data, of which v1 is to be emptied.
var operatorCalls = []struct {
	name  string
	call  func(*rig) *httptest.ResponseRecorder
	final int // at a primary in touch
}{
	{"read back", func(r *rig) *httptest.ResponseRecorder { return r.describe() }, 200},
	{"taken before", func(r *rig) *httptest.ResponseRecorder { return r.replace(0, 3) }, 200},
	{"stale", func(r *rig) *httptest.ResponseRecorder { return r.replace(1, 4) }, 412},
	{"not above", func(r *rig) *httptest.ResponseRecorder { return r.replaceBody(3, configuration(3, "other")) }, 400},
	{"invalid", func(r *rig) *httptest.ResponseRecorder { return r.replaceBody(3, []byte("{")) }, 400},
	{"too large", func(r *rig) *httptest.ResponseRecorder { return r.replaceBody(3, make([]byte, 5<<20)) }, 413},
	{"no base", func(r *rig) *httptest.ResponseRecorder {
		return r.call("POST", "Configuration.Replace", nil, strings.NewReader("{}"))
	}, 400},
	{"retired before", func(r *rig) *httptest.ResponseRecorder { return r.retire("v1") }, 200},
	{"unknown machine", func(r *rig) *httptest.ResponseRecorder { return r.retire("v9") }, 404},
	{"too few left", func(r *rig) *httptest.ResponseRecorder { return r.retire("v2") }, 409},
	{"not JSON", func(r *rig) *httptest.ResponseRecorder {
		return r.call("POST", "Retire.Create/v1", nil, strings.NewReader("{"))
	}, 400},
	{"state of one", func(r *rig) *httptest.ResponseRecorder { return r.call("GET", "Retire.Describe/v1", nil, nil) }, 200},
	{"state of another", func(r *rig) *httptest.ResponseRecorder { return r.call("GET", "Retire.Describe/v2", nil, nil) }, 404},
}

func (r *rig) retire(node string) *httptest.ResponseRecorder {
	return r.call("POST", "Retire.Create/"+node, nil, strings.NewReader(`{"duration_s":10}`))
}

// look is another control-plane process that is asked whether it is the primary.
type look struct {
	tierv1.ControlPlane
	primary bool
	err     error
}

func (l look) Watch(context.Context, *tierv1.WatchRequest) (*tierv1.WatchReply, error) {
	return &tierv1.WatchReply{IsPrimary: l.primary}, l.err
}

// TestAnswersByProcess is the table of docs/design/hardening/1-answers.md: which answer each call gets from each kind of
// process.
func TestAnswersByProcess(t *testing.T) {
	const final = 0
	silent := look{err: errors.New("no answer")}
	for _, c := range []struct {
		process string
		state   func(*rig)
		other   look
		want    int // of all calls; final: the answer of a primary in touch
	}{
		{"primary in touch", func(*rig) {}, silent, final},
		{"primary whose backups do not confirm", func(r *rig) { r.s.set(func() { r.s.deaf = true }) }, silent, 503},
		{"primary whose lease has ended", func(r *rig) { r.s.set(func() { r.s.ok = false; r.s.hint = "10.0.0.1:7380" }) }, silent, 503},
		{"primary whose lease has ended, unnoticed", func(r *rig) {
			r.s.mu.Lock() // nobody is woken
			r.s.ok, r.s.hint = false, "10.0.0.1:7380"
			r.s.mu.Unlock()
		}, silent, 503},
		{"starting: its state is not written through", func(r *rig) {
			r.s.set(func() {
				r.s.epoch += 1 << 12
				r.s.unclear = func(map[string][]byte) (bool, bool) { return true, true }
			})
			synctest.Wait()
		}, silent, 503},
		{"starting: it knows nobody", func(r *rig) { r.s.set(func() { r.s.ok = false }) }, silent, 503},
		{"candidate that was the primary", func(r *rig) { r.s.set(func() { r.s.ok = false }) }, look{primary: true}, 503},
		{"backup", func(r *rig) { r.s.set(func() { r.s.ok, r.s.hint = false, "10.0.0.2:7380" }) }, look{primary: true}, 307},
		{"backup whose primary is out of touch", func(r *rig) { r.s.set(func() { r.s.ok, r.s.hint = false, "10.0.0.2:7380" }) }, look{}, 503},
		{"witness that is cut off", func(r *rig) { r.s.set(func() { r.s.ok, r.s.hint = false, "10.0.0.2:7380" }) }, silent, 503},
		{"failed disk", func(r *rig) { r.s.set(func() { r.s.ok = false; r.s.epoch = 0 }) }, silent, 503},
	} {
		t.Run(c.process, func(t *testing.T) {
			within(t, func(r *rig) {
				asked := ""
				r.k.Dial = func(address string) tierv1.ControlPlane { asked = address; return c.other }
				r.prepare()
				c.state(r)
				for _, o := range operatorCalls {
					want := c.want
					if want == final {
						want = o.final
					}
					if c.process == "primary whose backups do not confirm" && unchanging[o.name] {
						want = o.final
					}
					w := o.call(r)
					assert.Equal(t, w.Code, want, "%s: %s", o.name, w.Body)
					assert.Equal(t, w.Header().Get("Retry-After") != "", want == 503, o.name)
					assert.Equal(t, strings.HasPrefix(w.Header().Get("Location"), "http://10.0.0.2:8144/saffronyard/"), want == 307, o.name)
				}
				if asked != "" {
					assert.Equal(t, asked, "10.0.0.2:7380")
				}
			})
		})
	}
}

// unchanging are refusals that need no round trip: what is wrong with the call is wrong at every process for ever. They
// are given within the lease only.
var unchanging = map[string]bool{"invalid": true, "too large": true, "no base": true, "not JSON": true}

// prepare brings the state that operatorCalls speak of.
func (r *rig) prepare() {
	r.t.Helper()
	status(r.t, r.replace(0, 3), 200)
	for _, node := range []string{"v1", "v2", "v3"} {
		r.join(roleTurnStore, node, nil)
	}
	r.pass(2 * time.Second)
	status(r.t, r.retire("v1"), 200)
	r.pass(8 * time.Second)
}

// A process that loses touch between its decision and its answer, as one that is paused there, gives no final answer.
func TestNoFinalAnswerLeavesOutOfTouch(t *testing.T) {
	for _, o := range operatorCalls {
		if unchanging[o.name] {
			continue // decided and answered in one go: see the table
		}
		t.Run(o.name, func(t *testing.T) {
			within(t, func(r *rig) {
				r.prepare()
				r.s.mu.Lock()
				r.s.confirmed = func() { r.s.ok = false }
				r.s.mu.Unlock()
				w := o.call(r)
				assert.Equal(t, w.Code, 503, "%s", w.Body)
				assert.Assert(t, w.Header().Get("Retry-After") != "")
			})
		})
	}
}

// The same for an order that was written: its 200 waits for gateways, and the process loses touch meanwhile. The order
// stands, and is acknowledged when it is sent again to whoever is the primary then.
func TestAnAcknowledgementIsWithheldOutOfTouch(t *testing.T) {
	within(t, func(r *rig) {
		status(t, r.replace(0, 3), 200)
		r.join(roleGateway, "e1", func(p *process) { p.slow = 300 * time.Millisecond })
		r.pass(500 * time.Millisecond) // its call is held
		go func() {
			<-time.After(100 * time.Millisecond)
			r.s.set(func() { r.s.ok = false })
		}()
		status(t, r.replace(3, 4), 503)
		r.s.set(func() { r.s.ok, r.s.epoch = true, r.s.epoch+1<<12 })
		r.pass(500 * time.Millisecond)
		status(t, r.replace(4, 5), 200)
		status(t, r.replace(3, 4), 200)
	})
}

// A pair of the same order that arrives at the old and at the new primary of a takeover: whatever the old one says later,
// it is no refusal and no acknowledgement of its own.
func TestAPairAtTheOldAndTheNewPrimary(t *testing.T) {
	within(t, func(old *rig) {
		next := &rig{t: t, s: newStore(), ctx: old.ctx}
		next.k = New(Config{Settings: site(), Store: next.s})
		go next.k.Run(next.ctx)
		status(t, old.replace(0, 3), 200)
		next.s.set(func() { // it has the copy, and takes over
			old.s.mu.Lock()
			defer old.s.mu.Unlock()
			for key, value := range old.s.values {
				next.s.values[key], next.s.at[key] = value, old.s.at[key]
			}
			next.s.sequence, next.s.epoch = old.s.sequence, old.s.epoch+1<<12
		})
		next.pass(500 * time.Millisecond)
		status(t, next.replace(3, 4), 200)
		status(t, next.replace(4, 6), 200)
		// The old one still has its lease, but no backup answers it any more.
		old.s.set(func() {
			old.s.deaf = true
			old.s.unclear = func(map[string][]byte) (bool, bool) { return true, true }
		})
		for _, again := range []func() *httptest.ResponseRecorder{
			func() *httptest.ResponseRecorder { return old.replace(3, 4) },
			func() *httptest.ResponseRecorder { return old.replace(4, 6) },
			func() *httptest.ResponseRecorder { return old.replace(0, 3) },
			func() *httptest.ResponseRecorder { return old.replaceBody(3, configuration(5, "x")) },
			old.describe,
		} {
			status(t, again(), 503)
		}
		status(t, next.replace(3, 4), 200)
		status(t, next.replaceBody(3, configuration(4, "x")), 412)
		assert.Equal(t, next.describe().Body.String(), string(configuration(6, "s")))
	})
}
