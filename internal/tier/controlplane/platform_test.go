package controlplane

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// platform answers with pages, each by its token; a page that is lacking is a failure.
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

func listing(next string, instances ...string) string {
	if next != "null" {
		next = `"` + next + `"`
	}
	return `{"instances":[` + strings.Join(instances, ",") + `],"next_page_token":` + next + `}`
}

func TestThePlatformsList(t *testing.T) {
	set := site()
	set.CloudAddress = "10.200.0.100:8142"
	p := &platform{pages: map[string]string{"": listing("p-1", instanceJSON("i-2", "ready", 900)), "p-1": listing("null", instanceJSON("i-1", "draining", 0))}}
	withinSite(t, set, p, func(r *rig) {
		endpoints := func() (uint64, int) {
			v, _ := r.k.currentState()
			return v.endpoints.GetVersion(), len(v.endpoints.GetList())
		}
		first, n := endpoints() // asked for at once
		assert.Equal(t, n, 2)
		assert.Assert(t, first > r.s.epoch<<24)
		v, _ := r.k.currentState()
		one := v.endpoints.List[0]
		assert.Assert(t, one.Instance == "i-1" && one.Draining && one.Capacity == 96 && one.Models[0].Name == "m" && one.Phase == "both")
		gateway := r.join(roleGateway, "e1", nil)
		assert.Equal(t, gateway.has().EndpointsVersion, first)

		p.set(func() { p.pages[""] = listing("p-1", instanceJSON("i-2", "ready", 100)) })
		r.pass(1100 * time.Millisecond)
		now, _ := endpoints()
		assert.Equal(t, now, first, "a list that only grew warmer was pushed")
		v, _ = r.k.currentState()
		assert.Equal(t, v.endpoints.List[1].SlowStartRemainingMs, uint32(100))

		p.set(func() { delete(p.pages, "p-1"); p.pages[""] = listing("p-1", instanceJSON("i-3", "ready", 0)) })
		r.pass(5 * time.Second)
		now, n = endpoints()
		// What the page tells is published once, and what is missing is not gone by a list read in part.
		assert.Assert(t, now == first+1 && n == 3, "version %d after %d, %d endpoints", now, first, n)
		assert.Equal(t, gateway.has().EndpointsVersion, now)

		p.set(func() { p.pages["p-1"] = listing("null") })
		r.pass(4 * time.Second)
		now, n = endpoints()
		assert.Assert(t, now == first+2 && n == 1)
		assert.Equal(t, gateway.has().EndpointsVersion, now)

		p.set(func() { p.code = 429 })
		before := p.count()
		r.pass(9 * time.Second)
		assert.Assert(t, p.count()-before < 7, "%d calls to a platform that refuses", p.count()-before)
		_, n = endpoints()
		assert.Equal(t, n, 1)

		r.s.set(func() { r.s.ok = false })
		synctest.Wait()
		before = p.count()
		r.pass(10 * time.Second)
		assert.Assert(t, p.count()-before <= 1, "one that is not the primary asked")
		p.set(func() { p.code = 0 })
		r.s.set(func() { r.s.ok, r.s.epoch = true, r.s.epoch+1<<12 })
		synctest.Wait()
		later, n := endpoints()
		assert.Assert(t, later > now && n == 1, "a new epoch's version is not above the old one's")
	})
}

func TestCallsToThePlatformKeepWithinItsRate(t *testing.T) {
	set := site()
	set.CloudAddress, set.CloudRate = "10.200.0.100:8142", 4
	p := &platform{pages: map[string]string{"": listing("a"), "a": listing("b"), "b": listing("c"), "c": listing("null")}}
	withinSite(t, set, p, func(r *rig) {
		p.set(func() { p.calls = 0 })
		r.pass(40 * time.Second)
		n := p.count()
		// Of the 160 calls that it takes, room for a third is left; four pages at four calls a second can't be read
		// more often than each 1.5 s, half of the drain time.
		assert.Assert(t, n <= 108 && n >= 100, "%d", n)
	})
}
