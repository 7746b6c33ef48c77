package controlplane

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// limitedRatePlatform is a platform with a low rate limit, a burst limit and small pages. A page begins after the last instance
// of the previous one or, by count, after a number of entries, in which case each removed entry shifts the entries after it.
type limitedRatePlatform struct {
	rate     float64
	burst    int
	pageSize int
	byCount  bool

	mu         sync.Mutex
	list       []limitedRateEntry
	maxEntries int // largest number of entries at a time
	tokens     float64
	last       time.Time
}

type limitedRateEntry struct {
	instance string
	draining time.Time // since when; zero: it is not draining
}

func (p *limitedRatePlatform) RoundTrip(q *http.Request) (*http.Response, error) {
	<-time.After(10 * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Request: q}
	now := time.Now()
	p.tokens = min(float64(p.burst), p.tokens+now.Sub(p.last).Seconds()*p.rate)
	p.last = now
	if p.tokens < 1 {
		reply.StatusCode, reply.Body = http.StatusTooManyRequests, http.NoBody
		return reply, nil
	}
	p.tokens--
	reply.Body = io.NopCloser(strings.NewReader(p.page(q.URL.Query().Get("page_token"))))
	return reply, nil
}

// page returns the page of a token. The caller holds mu.
func (p *limitedRatePlatform) page(token string) string {
	from := 0
	if p.byCount {
		from, _ = strconv.Atoi(token)
	} else {
		from, _ = slices.BinarySearchFunc(p.list, token, func(e limitedRateEntry, after string) int {
			if e.instance <= after {
				return -1
			}
			return 1
		})
	}
	from = min(from, len(p.list))
	to := min(from+p.pageSize, len(p.list))
	var lines []string
	for _, e := range p.list[from:to] {
		state := "ready"
		if !e.draining.IsZero() {
			state = "draining"
		}
		lines = append(lines, instanceJSON(e.instance, state, 0))
	}
	next := "null"
	switch {
	case to == len(p.list):
	case p.byCount:
		next = strconv.Itoa(to)
	default:
		next = p.list[to-1].instance
	}
	return listJSON(next, lines...)
}

func (p *limitedRatePlatform) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// release replaces every endpoint, one after the other: a new one is listed, the old one drains, and is removed after drainTime.
func (p *limitedRatePlatform) release(random *rand.Rand, drainTime, gap time.Duration, until <-chan struct{}) {
	p.mu.Lock()
	old := slices.Clone(p.list)
	p.mu.Unlock()
	random.Shuffle(len(old), func(i, j int) { old[i], old[j] = old[j], old[i] })
	for n, one := range old {
		select {
		case <-time.After(time.Duration(random.Int64N(int64(2 * gap)))):
		case <-until:
			return
		}
		p.set(func() {
			p.list = append(p.list, limitedRateEntry{instance: fmt.Sprintf("i-%04d-%d", random.IntN(10000), n)})
			slices.SortFunc(p.list, func(a, b limitedRateEntry) int { return strings.Compare(a.instance, b.instance) })
			p.maxEntries = max(p.maxEntries, len(p.list))
			at := slices.IndexFunc(p.list, func(e limitedRateEntry) bool { return e.instance == one.instance })
			p.list[at].draining = time.Now()
		})
		time.AfterFunc(drainTime, func() {
			p.set(func() {
				p.list = slices.DeleteFunc(p.list, func(e limitedRateEntry) bool { return e.instance == one.instance })
			})
		})
	}
}

// releaseObservation is what a gateway's session observes of a release.
type releaseObservation struct {
	longest time.Duration // longest time for which an endpoint was draining in the platform's list and not yet in the session
	known   int           // endpoints that were draining in the session
	pushes  int
}

// watchRelease runs a release, and returns what a session observes of it.
func watchRelease(h *harness, p *limitedRatePlatform, seed uint64, span time.Duration) (seen releaseObservation) {
	h.advance(10 * time.Second)
	over := make(chan struct{})
	var releasing sync.WaitGroup
	releasing.Go(func() {
		p.release(rand.New(rand.NewPCG(seed, 2)), 2*h.plane.Settings.DrainTimeout, 500*time.Millisecond, over)
	})
	known := map[string]bool{}
	version := uint64(0)
	for began := time.Now(); time.Since(began) < span; {
		h.advance(20 * time.Millisecond)
		v, _ := h.plane.currentState()
		if v.endpoints.GetVersion() != version {
			version = v.endpoints.GetVersion()
			seen.pushes++
		}
		ready := map[string]bool{}
		for _, e := range v.endpoints.GetList() {
			ready[e.Instance] = !e.Draining
		}
		p.set(func() {
			for _, e := range p.list {
				if e.draining.IsZero() || known[e.instance] {
					continue
				}
				took := time.Since(e.draining)
				seen.longest = max(seen.longest, took)
				if !ready[e.instance] {
					known[e.instance] = true
					seen.known++
				}
			}
		})
	}
	close(over)
	releasing.Wait()
	h.advance(3 * h.plane.Settings.DrainTimeout)
	return seen
}

// If the platform's rate is so low that a scan takes as long as an endpoint drains, each page takes effect when it arrives:
// sessions see a draining endpoint as draining within a poll interval, a push interval and a few calls after the platform's
// list shows it so, and not a complete scan later.
func TestScanPlatform_DrainKnownInTimeAtLowRate(t *testing.T) {
	for _, c := range []struct {
		endpoints, pageSize int
		rate                float64
		burst               int
		byCount             bool
	}{
		{endpoints: 14, pageSize: 3, rate: 4.863, burst: 5},
		{endpoints: 14, pageSize: 3, rate: 4.863, burst: 5, byCount: true},
		{endpoints: 14, pageSize: 3, rate: 4.863, burst: 1},
		{endpoints: 30, pageSize: 5, rate: 6, burst: 6},
		{endpoints: 60, pageSize: 10, rate: 5, burst: 2},
		{endpoints: 40, pageSize: 40, rate: 2, burst: 2},
		{endpoints: 200, pageSize: 10, rate: 20, burst: 20},
	} {
		name := fmt.Sprintf("%d endpoints, %d a page, %v calls a second, %d at once, by count %v", c.endpoints, c.pageSize, c.rate, c.burst, c.byCount)
		t.Run(name, func(t *testing.T) {
			var worst releaseObservation
			var bound time.Duration
			for seed := range uint64(2) {
				set := testSettings()
				set.CloudAddress, set.CloudRate = "10.200.0.100:8142", c.rate
				p := &limitedRatePlatform{rate: c.rate, burst: c.burst, pageSize: c.pageSize, byCount: c.byCount}
				for i := range c.endpoints {
					p.list = append(p.list, limitedRateEntry{instance: fmt.Sprintf("i-%04d", i*10000/c.endpoints)})
				}
				const span = 40 * time.Second
				withHarnessOf(t, set, p, func(h *harness) {
					seen := watchRelease(h, p, seed, span)
					worst = releaseObservation{max(worst.longest, seen.longest), worst.known + seen.known, max(worst.pushes, seen.pushes)}
					pages := math.Ceil(float64(p.maxEntries) / float64(c.pageSize))
					// Its page is read a poll interval after the last time, or two calls later if a call is rejected or the
					// list grew.
					bound = h.plane.pollInterval(int(pages), 0) + set.DrainTimeout/pushIntervalDivisor + 2*h.plane.callSpacing() + 100*time.Millisecond
					checkSameList(t, h, p)
				})
				assert.Check(t, worst.longest <= bound, "seed %d: known after %v, bound %v", seed, worst.longest, bound)
				most := int(span/(set.DrainTimeout/pushIntervalDivisor)) + int(span/(set.DrainTimeout/pollDivisor)) + 2
				assert.Check(t, worst.pushes <= most, "%d pushes", worst.pushes)
			}
			t.Logf("known after %v at most, bound %v, %d endpoints, %d pushes", worst.longest, bound, worst.known, worst.pushes)
		})
	}
}

// checkSameList checks that the published list equals the platform's.
func checkSameList(t *testing.T, h *harness, p *limitedRatePlatform) {
	t.Helper()
	v, _ := h.plane.currentState()
	var shown, listed []string
	for _, e := range v.endpoints.List {
		shown = append(shown, fmt.Sprint(e.Instance, e.Draining))
	}
	p.set(func() {
		for _, e := range p.list {
			listed = append(listed, fmt.Sprint(e.instance, !e.draining.IsZero()))
		}
	})
	assert.DeepEqual(t, shown, listed)
}
