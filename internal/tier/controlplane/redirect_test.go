package controlplane

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// losePrimary makes the process a backup whose primary, 10.0.0.2, does not answer any more, while 10.0.0.3 does.
func (h *harness) losePrimary() {
	h.plane.Dial = func(address string) tierv1.ControlPlane {
		if address == "10.0.0.3:7380" {
			return fakeControlPlane{primary: true}
		}
		return fakeControlPlane{err: errors.New("no answer")}
	}
	h.store.set(func() { h.store.primary, h.store.hint = false, "10.0.0.2:7380" })
	synctest.Wait()
}

// after changes the store once d has passed.
func (h *harness) after(d time.Duration, f func()) {
	time.AfterFunc(d, func() { h.store.set(f) })
}

// A caller that comes during a takeover is redirected to the new primary as soon as that is known.
func TestRedirect_WaitsForNewPrimary(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.losePrimary()
		began := time.Now()
		h.after(700*time.Millisecond, func() { h.store.hint = "10.0.0.3:7380" })
		w := h.replace(0, 3)
		assertStatus(t, w, 307)
		assert.Equal(t, w.Header().Get("Location"), "http://10.0.0.3:8144/saffronyard/Configuration.Replace")
		assert.Equal(t, time.Since(began), 700*time.Millisecond)
	})
}

// If this process takes over itself, the caller is redirected to it, repeats its call and is served.
func TestRedirect_WaitsForOwnTakeover(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.losePrimary()
		began := time.Now()
		h.after(300*time.Millisecond, func() { h.store.primary, h.store.hint, h.store.epoch = true, "10.0.0.1:7380", h.store.epoch+1<<12 })
		w := h.replace(0, 3)
		assertStatus(t, w, 307)
		assert.Equal(t, w.Header().Get("Location"), "http://10.0.0.1:8144/saffronyard/Configuration.Replace")
		assert.Assert(t, time.Since(began) < 300*time.Millisecond+2*h.plane.windowFraction(primaryProbeDivisor), "%v", time.Since(began))
		assertStatus(t, h.replace(0, 3), 200)
	})
}

// No call is held for so long that its caller times out, and none at a process that has been without a primary for longer than
// a takeover takes. After the process has found a primary and lost it again, calls are held again.
func TestRedirect_NoWaitWhenPartitioned(t *testing.T) {
	withHarness(t, func(h *harness) {
		took := func() time.Duration {
			began := time.Now()
			assertStatus(t, h.replace(0, 3), 503)
			return time.Since(began)
		}
		h.losePrimary()
		assert.Equal(t, took(), redirectTimeout)
		assert.Equal(t, took(), h.plane.windowFraction(takeoverDivisor)-redirectTimeout)
		assert.Equal(t, took(), time.Duration(0))
		h.store.set(func() { h.store.hint = "10.0.0.3:7380" })
		assertStatus(t, h.replace(0, 3), 307)
		h.losePrimary()
		assert.Equal(t, took(), redirectTimeout)
	})
}

func TestOperators_RedirectToPrimary(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.store.set(func() { h.store.primary, h.store.hint = false, "10.0.0.2:7380" })
		synctest.Wait()
		for _, w := range []*httptest.ResponseRecorder{h.replace(0, 3), h.describe(), h.call("GET", "Retire.Describe/n1", nil, nil),
			h.call("POST", "Retire.Create/n1", nil, strings.NewReader(`{"duration_s":1}`))} {
			assertStatus(t, w, 307)
			assert.Assert(t, strings.HasPrefix(w.Header().Get("Location"), "http://10.0.0.2:8144/saffronyard/"))
		}
		for _, hint := range []string{"", "10.0.0.1:7380"} { // unknown, or this process itself
			h.store.set(func() { h.store.hint = hint })
			w := h.replace(0, 3)
			assertStatus(t, w, 503)
			assert.Assert(t, w.Header().Get("Retry-After") != "")
		}
	})
}
