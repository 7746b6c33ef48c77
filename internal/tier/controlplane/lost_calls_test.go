package controlplane

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pagedPlatform has a list of many pages with one instance each. Each call takes callTime; those of the next reading that
// are named in lost get no answer, as in a process or on a link that is overloaded.
type pagedPlatform struct {
	pages    int
	callTime time.Duration

	mu       sync.Mutex
	draining bool           // the instance on the first page
	lost     map[int]int    // page to the calls for it that get no answer
	served   func(page int) // called after each answer, under the lock
}

func (p *pagedPlatform) RoundTrip(q *http.Request) (*http.Response, error) {
	at := 0
	fmt.Sscanf(q.URL.Query().Get("page_token"), "p-%d", &at)
	if p.loses(at) {
		<-q.Context().Done()
		return nil, context.Cause(q.Context())
	}
	<-time.After(p.callTime)
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(p.serve(at))), Request: q}, nil
}

func (p *pagedPlatform) loses(page int) bool {
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
	body := listing(next, instanceJSON(fmt.Sprintf("i-%04d", page), state, 0))
	if p.served != nil {
		p.served(page)
	}
	return body
}

// drainAfterItsPage has the instance on the first page drain right after that page was read, the worst moment, and the
// next reading lose calls. It gives when that was.
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

// At the size of 3,000 endpoints the list has 60 pages. An endpoint that drains is known to be draining at the sessions
// within the drain time, also where calls of the reading that brings it get no answer.
func TestADrainIsToldInTimeThoughCallsAreLost(t *testing.T) {
	set := site()
	set.CloudAddress, set.CloudRate, set.DrainTimeout = "10.200.0.100:8142", 40, 5*time.Second
	for name, lost := range map[string]map[int]int{
		"none": {}, "the first": {0: 1}, "one halfway": {30: 1}, "the last": {59: 1}, "two": {0: 1, 59: 1}, "one page twice": {30: 2}} {
		t.Run(name, func(t *testing.T) {
			p := &pagedPlatform{pages: 60, callTime: 16 * time.Millisecond}
			withinSite(t, set, p, func(r *rig) {
				r.pass(5 * time.Second)
				gateway := r.join(roleGateway, "e1", nil)
				before := gateway.has().EndpointsVersion
				assert.Assert(t, before > 0)
				shown := <-p.drainAfterItsPage(lost)
				for gateway.has().EndpointsVersion == before && time.Since(shown) < 2*set.DrainTimeout {
					r.pass(10 * time.Millisecond)
				}
				took := time.Since(shown)
				t.Logf("known after %v", took)
				assert.Check(t, took < set.DrainTimeout, "known after %v", took)
			})
		})
	}
}

// A platform that answers nothing is asked no more often than its rate allows.
func TestRepeatsKeepWithinTheRate(t *testing.T) {
	set := site()
	set.CloudAddress, set.CloudRate = "10.200.0.100:8142", 4
	p := &platform{code: http.StatusInternalServerError}
	withinSite(t, set, p, func(r *rig) {
		p.set(func() { p.calls = 0 })
		const span = 40
		r.pass(span * time.Second)
		assert.Assert(t, float64(p.count()) <= span*set.CloudRate/rateHeadroom, "%d calls", p.count())
	})
}

// A call that was refused is not repeated before the platform's time.
func TestARefusedCallIsNotRepeated(t *testing.T) {
	set := site()
	set.CloudAddress = "10.200.0.100:8142"
	p := &platform{code: http.StatusTooManyRequests}
	withinSite(t, set, p, func(r *rig) {
		r.pass(200 * time.Millisecond) // it begins with calls of its own
		p.set(func() { p.calls = 0 })
		r.pass(time.Second)
		assert.Equal(t, p.count(), 0)
	})
}

// limitedPlatform takes some calls at once and then so many a second, as a bucket of tokens does; it refuses others.
type limitedPlatform struct {
	pagedPlatform
	rate, burst float64
	tokens      float64
	last        time.Time
	refused     int
}

func (p *limitedPlatform) RoundTrip(q *http.Request) (*http.Response, error) {
	p.mu.Lock()
	now := time.Now()
	p.tokens = min(p.burst, p.tokens+now.Sub(p.last).Seconds()*p.rate)
	p.last = now
	refuse := p.tokens < 1
	if refuse {
		p.refused++
	} else {
		p.tokens--
	}
	p.mu.Unlock()
	if refuse {
		return &http.Response{StatusCode: http.StatusTooManyRequests, Header: http.Header{}, Body: http.NoBody, Request: q}, nil
	}
	return p.pagedPlatform.RoundTrip(q)
}

// A list that has more pages than the platform takes calls at once is read for all that, and again and again.
func TestAListLongerThanABurstIsRead(t *testing.T) {
	set := site()
	set.CloudAddress, set.CloudRate = "10.200.0.100:8142", 5
	p := &limitedPlatform{pagedPlatform: pagedPlatform{pages: 9, callTime: 40 * time.Millisecond}, rate: 5, burst: 5}
	withinSite(t, set, p, func(r *rig) {
		r.pass(10 * time.Second)
		gateway := r.join(roleGateway, "e1", nil)
		before := gateway.has().EndpointsVersion
		assert.Assert(t, before > 0, "the list was never read")
		shown := <-p.drainAfterItsPage(nil)
		for gateway.has().EndpointsVersion == before && time.Since(shown) < time.Minute {
			r.pass(10 * time.Millisecond)
		}
		// one interval of nine pages, and a reading of which some are spaced
		assert.Assert(t, time.Since(shown) < 6*time.Second, "known after %v", time.Since(shown))
	})
}
