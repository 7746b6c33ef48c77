package controlplane

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/settings"
)

// platform answers with the page of each token, or with an error if there is none.
type platform struct {
	mu    sync.Mutex
	pages map[string]string
	code  int
	calls int
	times []time.Time
}

func (p *platform) RoundTrip(q *http.Request) (*http.Response, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	p.times = append(p.times, time.Now())
	body, ok := p.pages[q.URL.Query().Get("page_token")]
	code := p.code
	if code == 0 {
		code = 200
		if !ok {
			code = 500
		}
	}
	if q.URL.Path != "/instances" || q.URL.Host != "10.200.0.100:8142" {
		code = 404
	}
	return &http.Response{StatusCode: code, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), Request: q}, nil
}

func (p *platform) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *platform) count() int { p.mu.Lock(); defer p.mu.Unlock(); return p.calls }

func instanceJSON(id, state string, cold int) string {
	return fmt.Sprintf(`{"service_name":"s","address":"10.0.0.9:80","zone":"z","revision":"v1","capacity":96,"lifecycle_state":%q,
"cold_remaining_ms":%d,"phase":"both","models":[{"name":"m","revision":1,"adapters":[]}],"instance_id":%q}`, state, cold, id)
}

func listJSON(next string, instances ...string) string {
	if next != "null" {
		next = `"` + next + `"`
	}
	return `{"instances":[` + strings.Join(instances, ",") + `],"next_page_token":` + next + `}`
}

func TestPollPlatform(t *testing.T) {
	set := testSettings()
	set.CloudAddress = "10.200.0.100:8142"
	p := &platform{pages: map[string]string{"": listJSON("p-1", instanceJSON("i-2", "ready", 900)), "p-1": listJSON("null", instanceJSON("i-1", "draining", 0))}}
	withHarnessOf(t, set, p, func(h *harness) {
		endpoints := func() (uint64, int) {
			v, _ := h.plane.currentState()
			return v.endpoints.GetVersion(), len(v.endpoints.GetList())
		}
		first, n := endpoints() // the list is read at once
		assert.Equal(t, n, 2)
		assert.Assert(t, first > h.store.epoch<<24)
		v, _ := h.plane.currentState()
		one := v.endpoints.List[0]
		assert.Assert(t, one.Instance == "i-1" && one.Draining && one.Capacity == 96 && one.Models[0].Name == "m" && one.Phase == "both")
		gateway := h.join(roleGateway, "e1", nil)
		assert.Equal(t, gateway.acknowledged().EndpointsVersion, first)

		p.set(func() { p.pages[""] = listJSON("p-1", instanceJSON("i-2", "ready", 100)) })
		h.advance(1100 * time.Millisecond)
		now, _ := endpoints()
		assert.Equal(t, now, first, "a list in which only slow starts decreased was pushed")
		v, _ = h.plane.currentState()
		assert.Equal(t, v.endpoints.List[1].SlowStartRemainingMs, uint32(100))

		p.set(func() { delete(p.pages, "p-1"); p.pages[""] = listJSON("p-1", instanceJSON("i-3", "ready", 0)) })
		h.advance(5 * time.Second)
		now, n = endpoints()
		// The changes of the page are published once, and a list that was read in part removes no endpoint.
		assert.Assert(t, now == first+1 && n == 3, "version %d after %d, %d endpoints", now, first, n)
		assert.Equal(t, gateway.acknowledged().EndpointsVersion, now)

		p.set(func() { p.pages["p-1"] = listJSON("null") })
		h.advance(4 * time.Second)
		now, n = endpoints()
		assert.Assert(t, now == first+2 && n == 1)
		assert.Equal(t, gateway.acknowledged().EndpointsVersion, now)

		p.set(func() { p.code = 429 })
		before := p.count()
		h.advance(9 * time.Second)
		assert.Assert(t, p.count()-before < 7, "%d calls to a platform that rejects them", p.count()-before)
		_, n = endpoints()
		assert.Equal(t, n, 1)

		h.store.set(func() { h.store.primary = false })
		synctest.Wait()
		before = p.count()
		h.advance(10 * time.Second)
		assert.Assert(t, p.count()-before <= 1, "a process that is not the primary called the platform")
		p.set(func() { p.code = 0 })
		h.store.set(func() { h.store.primary, h.store.epoch = true, h.store.epoch+1<<12 })
		synctest.Wait()
		later, n := endpoints()
		assert.Assert(t, later > now && n == 1, "a new epoch's version is not above the old one's")
	})
}

func TestPollPlatform_WithinRate(t *testing.T) {
	set := testSettings()
	set.CloudAddress, set.CloudRate = "10.200.0.100:8142", 4
	p := &platform{pages: map[string]string{"": listJSON("a"), "a": listJSON("b"), "b": listJSON("c"), "c": listJSON("null")}}
	withHarnessOf(t, set, p, func(h *harness) {
		p.set(func() { p.calls = 0 })
		h.advance(40 * time.Second)
		n := p.count()
		// A third of the 160 calls that the rate allows is left as headroom. Four pages at four calls a second can't be read
		// more often than every 1.5 s, half of the drain time.
		assert.Assert(t, n <= 108 && n >= 100, "%d", n)
	})
}

// pagedPlatform has a list of many pages with one instance each. Each call takes callTime; calls counted in lost get no answer,
// as in an overloaded process or on an overloaded link.
type pagedPlatform struct {
	pages    int
	callTime time.Duration

	mu       sync.Mutex
	draining bool           // whether the instance on the first page drains
	lost     map[int]int    // by page: the number of calls that get no answer
	served   func(page int) // called after each answer, under the lock
}

func (p *pagedPlatform) RoundTrip(q *http.Request) (*http.Response, error) {
	at := 0
	fmt.Sscanf(q.URL.Query().Get("page_token"), "p-%d", &at)
	if p.loseCall(at) {
		<-q.Context().Done()
		return nil, context.Cause(q.Context())
	}
	<-time.After(p.callTime)
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(p.serve(at))), Request: q}, nil
}

func (p *pagedPlatform) loseCall(page int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost[page] == 0 {
		return false
	}
	p.lost[page]--
	return true
}

func (p *pagedPlatform) serve(page int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := "ready"
	if page == 0 && p.draining {
		state = "draining"
	}
	next := "null"
	if page+1 < p.pages {
		next = fmt.Sprint("p-", page+1)
	}
	body := listJSON(next, instanceJSON(fmt.Sprintf("i-%04d", page), state, 0))
	if p.served != nil {
		p.served(page)
	}
	return body
}

// drainAfterItsPage has the instance on the first page drain right after that page was read, which is the worst case, and the
// next scan lose calls. The channel returns the time when it began to drain.
func (p *pagedPlatform) drainAfterItsPage(lost map[int]int) <-chan time.Time {
	shown := make(chan time.Time, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.served = func(page int) {
		if page == 0 && !p.draining {
			p.draining = true
			shown <- time.Now()
		}
		if page == p.pages-1 && p.draining && p.lost == nil {
			p.lost = lost
		}
	}
	return shown
}

// With 3,000 endpoints the list has 60 pages. Sessions see a draining endpoint as draining within the drain time, even if calls
// of the scan that reads its page get no answer.
func TestScanPlatform_DrainKnownInTimeWithLostCalls(t *testing.T) {
	set := testSettings()
	set.CloudAddress, set.CloudRate, set.DrainTimeout = "10.200.0.100:8142", 40, 5*time.Second
	for name, lost := range map[string]map[int]int{
		"none": {}, "the first": {0: 1}, "one halfway": {30: 1}, "the last": {59: 1}, "two": {0: 1, 59: 1}, "one page twice": {30: 2}} {
		t.Run(name, func(t *testing.T) {
			p := &pagedPlatform{pages: 60, callTime: 16 * time.Millisecond}
			withHarnessOf(t, set, p, func(h *harness) {
				h.advance(5 * time.Second)
				gateway := h.join(roleGateway, "e1", nil)
				before := gateway.acknowledged().EndpointsVersion
				assert.Assert(t, before > 0)
				shown := <-p.drainAfterItsPage(lost)
				for gateway.acknowledged().EndpointsVersion == before && time.Since(shown) < 2*set.DrainTimeout {
					h.advance(10 * time.Millisecond)
				}
				took := time.Since(shown)
				t.Logf("known after %v", took)
				assert.Check(t, took < set.DrainTimeout, "known after %v", took)
			})
		})
	}
}

// A platform that answers each call with an error is called no more often than its rate allows.
func TestScanPlatform_RetriesWithinRate(t *testing.T) {
	set := testSettings()
	set.CloudAddress, set.CloudRate = "10.200.0.100:8142", 4
	p := &platform{code: http.StatusInternalServerError}
	withHarnessOf(t, set, p, func(h *harness) {
		p.set(func() { p.calls = 0 })
		const span = 40
		h.advance(span * time.Second)
		assert.Assert(t, float64(p.count()) <= span*set.CloudRate/rateHeadroom, "%d calls", p.count())
	})
}

// A first call that was rejected by the rate limit is not retried before the next scan.
func TestScanPlatform_RateLimitedCallNotRetriedAtOnce(t *testing.T) {
	set := testSettings()
	set.CloudAddress = "10.200.0.100:8142"
	p := &platform{code: http.StatusTooManyRequests}
	withHarnessOf(t, set, p, func(h *harness) {
		h.advance(200 * time.Millisecond) // the first scan makes calls
		p.set(func() { p.calls = 0 })
		h.advance(time.Second)
		assert.Equal(t, p.count(), 0)
	})
}

// burstPlatform limits calls by a token bucket with burst and rate, and rejects others.
type burstPlatform struct {
	pagedPlatform
	rate, burst float64
	tokens      float64
	last        time.Time
	rejected    int
}

func (p *burstPlatform) RoundTrip(q *http.Request) (*http.Response, error) {
	p.mu.Lock()
	now := time.Now()
	p.tokens = min(p.burst, p.tokens+now.Sub(p.last).Seconds()*p.rate)
	p.last = now
	reject := p.tokens < 1
	if reject {
		p.rejected++
	} else {
		p.tokens--
	}
	p.mu.Unlock()
	if reject {
		return &http.Response{StatusCode: http.StatusTooManyRequests, Header: http.Header{}, Body: http.NoBody, Request: q}, nil
	}
	return p.pagedPlatform.RoundTrip(q)
}

// A list that has more pages than the platform's burst limit is still read completely by each scan.
func TestScanPlatform_ListLongerThanBurst(t *testing.T) {
	set := testSettings()
	set.CloudAddress, set.CloudRate = "10.200.0.100:8142", 5
	p := &burstPlatform{pagedPlatform: pagedPlatform{pages: 9, callTime: 40 * time.Millisecond}, rate: 5, burst: 5}
	withHarnessOf(t, set, p, func(h *harness) {
		h.advance(10 * time.Second)
		gateway := h.join(roleGateway, "e1", nil)
		before := gateway.acknowledged().EndpointsVersion
		assert.Assert(t, before > 0, "the list was never read")
		shown := <-p.drainAfterItsPage(nil)
		for gateway.acknowledged().EndpointsVersion == before && time.Since(shown) < time.Minute {
			h.advance(10 * time.Millisecond)
		}
		// one poll interval of nine pages, and a scan in which some calls are spaced
		assert.Assert(t, time.Since(shown) < 6*time.Second, "known after %v", time.Since(shown))
	})
}

// If the platform has a low rate limit and short pages, the rate bounds how often the whole list is read. The calls of a scan
// must stay below that rate, and a draining endpoint is noticed within the drain time whenever the rate allows the list to be
// read twice in it.
func TestPollInterval_WithinDrainTimeAtLowRate(t *testing.T) {
	for _, drain := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second} {
		for _, rate := range []float64{4, 8, 14, 47} {
			for _, pages := range []int{1, 2, 5, 8, 20} {
				name := fmt.Sprint("drain ", drain, ", rate ", rate, ", pages ", pages)
				k := &ControlPlane{Config: Config{Settings: settings.Settings{DrainTimeout: drain, CloudRate: rate}}}
				d := k.pollInterval(pages, 0)
				assert.Assert(t, float64(pages) < rate*d.Seconds(), name)
				if 2*float64(pages) <= rate*drain.Seconds() {
					assert.Assert(t, d <= drain*3/4, "%s: %v", name, d)
				}
				assert.Assert(t, d >= drain/pollDivisor, name)
			}
		}
	}
}
