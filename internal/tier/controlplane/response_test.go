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

// operatorCalls has one call for each kind of final answer of a primary in contact with its backups, in a state in which revision
// 3 is in force, v1, v2 and v3 keep data, and v1 is to be emptied.
var operatorCalls = []struct {
	name  string
	call  func(*harness) *httptest.ResponseRecorder
	final int // status from a primary in contact with its backups
}{

	{"read back", func(h *harness) *httptest.ResponseRecorder { return h.describe() }, 200},
	{"accepted before", func(h *harness) *httptest.ResponseRecorder { return h.replace(0, 3) }, 200},
	{"stale", func(h *harness) *httptest.ResponseRecorder { return h.replace(1, 4) }, 412},
	{"not above", func(h *harness) *httptest.ResponseRecorder { return h.replaceBody(3, configuration(3, "other")) }, 400},
	{"invalid", func(h *harness) *httptest.ResponseRecorder { return h.replaceBody(3, []byte("{")) }, 400},
	{"too large", func(h *harness) *httptest.ResponseRecorder { return h.replaceBody(3, make([]byte, 5<<20)) }, 413},
	{"no base", func(h *harness) *httptest.ResponseRecorder {
		return h.call("POST", "Configuration.Replace", nil, strings.NewReader("{}"))
	}, 400},
	{"retired before", func(h *harness) *httptest.ResponseRecorder { return h.retire("v1") }, 200},
	{"unknown machine", func(h *harness) *httptest.ResponseRecorder { return h.retire("v9") }, 404},
	{"too few left", func(h *harness) *httptest.ResponseRecorder { return h.retire("v2") }, 409},
	{"not JSON", func(h *harness) *httptest.ResponseRecorder {
		return h.call("POST", "Retire.Create/v1", nil, strings.NewReader("{"))
	}, 400},
	{"state of one", func(h *harness) *httptest.ResponseRecorder { return h.call("GET", "Retire.Describe/v1", nil, nil) }, 200},
	{"state of another", func(h *harness) *httptest.ResponseRecorder { return h.call("GET", "Retire.Describe/v2", nil, nil) }, 404},
}

func (h *harness) retire(node string) *httptest.ResponseRecorder {
	return h.call("POST", "Retire.Create/"+node, nil, strings.NewReader(`{"duration_s":10}`))
}

// fakeControlPlane is another control-plane process, with a set reply to the probe whether it is the primary.
type fakeControlPlane struct {
	tierv1.ControlPlane
	primary bool
	err     error
}

func (l fakeControlPlane) Watch(context.Context, *tierv1.WatchRequest) (*tierv1.WatchReply, error) {
	return &tierv1.WatchReply{IsPrimary: l.primary}, l.err
}

// TestOperators_ResponseByProcessState checks the table of docs/design/hardening/1-answers.md: the answer to each call from a
// process in each state.
func TestOperators_ResponseByProcessState(t *testing.T) {
	const final = 0
	unreachable := fakeControlPlane{err: errors.New("no answer")}
	for _, c := range []struct {
		process string
		state   func(*harness)
		other   fakeControlPlane
		want    int // of all calls; final: the answer of a primary in contact with its backups
	}{
		{"primary in touch", func(*harness) {}, unreachable, final},
		{"primary whose backups do not confirm", func(h *harness) { h.store.set(func() { h.store.unconfirmed = true }) }, unreachable, 503},
		{"primary whose lease has ended", func(h *harness) { h.store.set(func() { h.store.primary = false; h.store.hint = "10.0.0.1:7380" }) }, unreachable, 503},
		{"primary whose lease has ended, unnoticed", func(h *harness) {
			h.store.mu.Lock() // without a signal of the change
			h.store.primary, h.store.hint = false, "10.0.0.1:7380"
			h.store.mu.Unlock()
		}, unreachable, 503},
		{"starting: its state is not replicated", func(h *harness) {
			h.store.set(func() {
				h.store.epoch += 1 << 12
				h.store.failPut = func(map[string][]byte) (bool, bool) { return true, true }
			})
			synctest.Wait()
		}, unreachable, 503},
		{"starting: no primary is known", func(h *harness) { h.store.set(func() { h.store.primary = false }) }, unreachable, 503},
		{"candidate that was the primary", func(h *harness) { h.store.set(func() { h.store.primary = false }) }, fakeControlPlane{primary: true}, 503},
		{"backup", func(h *harness) { h.store.set(func() { h.store.primary, h.store.hint = false, "10.0.0.2:7380" }) }, fakeControlPlane{primary: true}, 307},
		{"backup whose primary is out of touch", func(h *harness) { h.store.set(func() { h.store.primary, h.store.hint = false, "10.0.0.2:7380" }) }, fakeControlPlane{}, 503},
		{"witness that is partitioned", func(h *harness) { h.store.set(func() { h.store.primary, h.store.hint = false, "10.0.0.2:7380" }) }, unreachable, 503},
		{"failed disk", func(h *harness) { h.store.set(func() { h.store.primary = false; h.store.epoch = 0 }) }, unreachable, 503},
	} {
		t.Run(c.process, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				dialed := ""
				h.plane.Dial = func(address string) tierv1.ControlPlane { dialed = address; return c.other }
				h.prepare()
				c.state(h)
				for _, o := range operatorCalls {
					want := c.want
					if want == final {
						want = o.final
					}
					if c.process == "primary whose backups do not confirm" && stateIndependent[o.name] {
						want = o.final
					}
					w := o.call(h)
					assert.Equal(t, w.Code, want, "%s: %s", o.name, w.Body)
					assert.Equal(t, w.Header().Get("Retry-After") != "", want == 503, o.name)
					assert.Equal(t, strings.HasPrefix(w.Header().Get("Location"), "http://10.0.0.2:8144/saffronyard/"), want == 307, o.name)
				}
				if dialed != "" {
					assert.Equal(t, dialed, "10.0.0.2:7380")
				}
			})
		})
	}
}

// stateIndependent are rejections that need no round trip, because the call is invalid at every process at any time. They are
// sent only within the lease.
var stateIndependent = map[string]bool{"invalid": true, "too large": true, "no base": true, "not JSON": true}

// prepare makes the state that operatorCalls needs.
func (h *harness) prepare() {
	h.t.Helper()
	assertStatus(h.t, h.replace(0, 3), 200)
	for _, node := range []string{"v1", "v2", "v3"} {
		h.join(roleTurnStore, node, nil)
	}
	h.advance(2 * time.Second)
	assertStatus(h.t, h.retire("v1"), 200)
	h.advance(8 * time.Second)
}

// A process that loses contact with its backups between its decision and its answer, for example because it is paused, sends no
// final answer.
func TestOperators_NoFinalResponseOutOfTouch(t *testing.T) {
	for _, o := range operatorCalls {
		if stateIndependent[o.name] {
			continue // answered without a round trip, see TestOperators_ResponseByProcessState
		}
		t.Run(o.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				h.prepare()
				h.store.mu.Lock()
				h.store.confirmed = func() { h.store.primary = false }
				h.store.mu.Unlock()
				w := o.call(h)
				assert.Equal(t, w.Code, 503, "%s", w.Body)
				assert.Assert(t, w.Header().Get("Retry-After") != "")
			})
		})
	}
}

// A change is written, and the process loses contact with its backups while it waits for gateways to acknowledge: it does not
// send the 200. The change is in force, and is acknowledged when it is repeated at the next primary.
func TestReplace_AcknowledgementWithheldOutOfTouch(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertStatus(t, h.replace(0, 3), 200)
		h.join(roleGateway, "e1", func(p *testProcess) { p.acknowledgeDelay = 300 * time.Millisecond })
		h.advance(500 * time.Millisecond) // its long poll is under way
		go func() {
			<-time.After(100 * time.Millisecond)
			h.store.set(func() { h.store.primary = false })
		}()
		assertStatus(t, h.replace(3, 4), 503)
		h.store.set(func() { h.store.primary, h.store.epoch = true, h.store.epoch+1<<12 })
		h.advance(500 * time.Millisecond)
		assertStatus(t, h.replace(4, 5), 200)
		assertStatus(t, h.replace(3, 4), 200)
	})
}

// The same changes are sent to the old and to the new primary of a takeover: the old primary sends neither a rejection nor an
// acknowledgement afterwards.
func TestReplace_SameChangeAtOldAndNewPrimary(t *testing.T) {
	withHarness(t, func(old *harness) {
		next := &harness{t: t, store: newMemoryStore(), ctx: old.ctx}
		next.plane = New(Config{Settings: testSettings(), Store: next.store})
		go next.plane.Run(next.ctx)
		assertStatus(t, old.replace(0, 3), 200)
		next.store.set(func() { // the new primary has the state, and takes over
			old.store.mu.Lock()
			defer old.store.mu.Unlock()
			for key, value := range old.store.values {
				next.store.values[key], next.store.sequences[key] = value, old.store.sequences[key]
			}
			next.store.sequence, next.store.epoch = old.store.sequence, old.store.epoch+1<<12
		})
		next.advance(500 * time.Millisecond)
		assertStatus(t, next.replace(3, 4), 200)
		assertStatus(t, next.replace(4, 6), 200)
		// The old primary still has its lease, but no backup answers it any more.
		old.store.set(func() {
			old.store.unconfirmed = true
			old.store.failPut = func(map[string][]byte) (bool, bool) { return true, true }
		})
		for _, again := range []func() *httptest.ResponseRecorder{
			func() *httptest.ResponseRecorder { return old.replace(3, 4) },
			func() *httptest.ResponseRecorder { return old.replace(4, 6) },
			func() *httptest.ResponseRecorder { return old.replace(0, 3) },
			func() *httptest.ResponseRecorder { return old.replaceBody(3, configuration(5, "x")) },
			old.describe,
		} {
			assertStatus(t, again(), 503)
		}
		assertStatus(t, next.replace(3, 4), 200)
		assertStatus(t, next.replaceBody(3, configuration(4, "x")), 412)
		assert.Equal(t, next.describe().Body.String(), string(configuration(6, "s")))
	})
}

func TestOperators_NothingAnsweredUnconfirmed(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertStatus(t, h.replace(0, 3), 200)
		h.store.set(func() { h.store.unconfirmed = true })
		assertStatus(t, h.describe(), 503)
		assertStatus(t, h.replace(0, 3), 503)
		assertStatus(t, h.replace(1, 4), 503)
	})
}
