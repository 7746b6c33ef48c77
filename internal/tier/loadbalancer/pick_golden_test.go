package loadbalancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/golden"
)

// play is a random run of one Balancer, of which each decision is written down.
type play struct {
	random   *rand.Rand
	balancer *Balancer
	now      time.Duration
	list     []Endpoint
	replaced [12]int // how often the endpoint of a place in the list was replaced by another instance
	calls    []*Call
	out      strings.Builder
}

// oneIn reports true once in n times.
func (play *play) oneIn(n int) bool { return play.random.IntN(n) == 0 }

// instance returns the name of an endpoint, listed or not.
func (play *play) instance() string {
	if len(play.list) == 0 || play.oneIn(12) {
		return "unknown"
	}
	return play.list[play.random.IntN(len(play.list))].Instance
}

// relist draws a new list of endpoints of two services.
func (play *play) relist() {
	play.list = play.list[:0]
	for i := range 12 {
		if play.oneIn(4) {
			play.replaced[i]++
		}
		endpoint := Endpoint{Instance: fmt.Sprintf("i%d.%d", i, play.replaced[i]), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: string(rune('a' + i%3)), Capacity: 4 + 4*(i%3)}
		if i >= 8 {
			endpoint.Service, endpoint.CacheTokens = "engine", 20_000
		}
		endpoint.Draining = play.oneIn(12)
		if play.oneIn(6) {
			endpoint.SlowStartRemaining = time.Duration(play.random.IntN(3000)) * time.Millisecond
		}
		if !play.oneIn(12) {
			play.list = append(play.list, endpoint)
		}
	}
	if len(play.list) > 0 && play.oneIn(3) {
		play.list = append(play.list, play.list[0])
	}
	play.balancer.SetEndpoints(play.now, play.list)
}

// pick has one attempt decided on.
func (play *play) pick() {
	request := Request{Route: "r", Service: "s", Retryable: play.oneIn(2), FirstAttempt: !play.oneIn(4), Remaining: time.Duration(1+play.random.IntN(8000)) * time.Millisecond, Priority: play.random.IntN(3)}
	if play.oneIn(3) {
		request.Route, request.Service, request.CacheTokens = "engine", "engine", int64(play.random.IntN(24_000))
		request.PromptPrefixes = []string{"system", fmt.Sprintf("prompt %d", play.random.IntN(4))}
	}
	if play.oneIn(3) {
		request.InitialTimeout = time.Second
	}
	if play.oneIn(3) {
		request.LatencyTarget = 300 * time.Millisecond
	}
	if play.oneIn(3) {
		request.AffinityKey = fmt.Sprintf("session %d", play.random.IntN(9))
	}
	if play.oneIn(3) {
		request.StickyInstance = play.instance()
	}
	for !request.FirstAttempt && play.oneIn(2) {
		request.AttemptedInstances = append(request.AttemptedInstances, play.instance())
	}
	if play.oneIn(40) { // an outage
		for name := range 12 {
			request.AttemptedInstances = append(request.AttemptedInstances, fmt.Sprintf("i%d.%d", name, play.replaced[name]))
		}
	}
	choice := play.balancer.Pick(play.now, request)
	fmt.Fprintf(&play.out, "%v %d %s %s %v %t %v; %t\n", play.now, choice.Decision, choice.Instance, choice.Address, choice.Timeout, choice.Exploratory, choice.RetryAfter, play.balancer.Available(request.StickyInstance))
	if choice.Call != nil {
		play.calls = append(play.calls, choice.Call)
	}
}

// load draws a load report.
func (play *play) load() Load {
	return Load{Running: play.random.IntN(13) - 1, Waiting: max(0, play.random.IntN(9)-5), Slots: 4 * play.random.IntN(4)}
}

// done ends a call that is under way.
func (play *play) done() {
	if len(play.calls) == 0 {
		return
	}
	i := play.random.IntN(len(play.calls))
	call := play.calls[i]
	if play.oneIn(3) {
		play.balancer.ResponseStarted(play.now, call)
		return
	}
	outcome := Outcome{Kind: Served, Latency: time.Duration(5+play.random.IntN(200)) * time.Millisecond}
	if play.oneIn(3) {
		outcome.Kind = OutcomeKind(play.random.IntN(9))
	}
	if outcome.Kind == Gone && !play.oneIn(20) {
		outcome.Kind = NotSent
	}
	if play.oneIn(3) {
		outcome.LongestGap = time.Duration(play.random.IntN(300)) * time.Millisecond
	}
	if play.oneIn(3) {
		load := play.load()
		outcome.Load = &load
	}
	outcome.Misdirected = play.oneIn(800)
	play.balancer.Done(play.now, call, outcome)
	if !play.oneIn(20) { // else it is ended again
		play.calls = slices.Delete(play.calls, i, i+1)
	}
}

// check has the owner check what it suspects.
func (play *play) check() {
	var names []string
	for _, suspect := range play.balancer.StartHealthChecks(play.now) {
		names = append(names, suspect.Instance)
	}
	slices.Sort(names)
	if len(names) > 0 {
		fmt.Fprintf(&play.out, "%v health checks %v\n", play.now, names)
	}
	for _, name := range names {
		play.balancer.RecordHealthCheck(play.now, name, play.oneIn(2))
	}
}

// reports exchanges what senders report to each other.
func (play *play) reports() {
	reports := play.balancer.TakeReports()
	slices.Sort(reports.Ejected) // services are searched in no order
	fmt.Fprintf(&play.out, "%v reports %v %v; stall %v\n", play.now, reports.Ejected, reports.Restored, play.balancer.StallTimeout("r", time.Second))
	switch name := play.instance(); {
	case play.oneIn(2):
		play.balancer.EjectReported(play.now, name, play.oneIn(2), 4*time.Second)
	default:
		play.balancer.RestoreReported(name)
	}
}

// outage has all calls fail, and those that are sent for a while after them.
func (play *play) outage() {
	for range 60 {
		play.pick()
		play.now += time.Millisecond
		for _, call := range play.calls {
			play.balancer.Done(play.now, call, Outcome{Kind: Broken})
		}
		play.calls = nil
	}
}

// TestBalancer_DecisionsGolden compares each decision of a long random run with the golden file.
func TestBalancer_DecisionsGolden(t *testing.T) {
	play := &play{random: rand.New(rand.NewPCG(1, 2)), balancer: New("a", "sender"), now: time.Hour}
	play.relist()
	for range 4000 {
		play.now += time.Duration(play.random.IntN(20)) * time.Millisecond
		switch n := play.random.IntN(100); {
		case n < 45:
			play.pick()
		case n < 92:
			play.done()
		case n < 95:
			play.balancer.ReportLoad(play.now, play.instance(), play.load())
		case n < 97:
			play.check()
		case n < 98:
			play.reports()
		case play.oneIn(10):
			play.outage()
		case play.oneIn(2):
			play.relist()
		case play.oneIn(5):
			play.balancer.RetainRoutes(func(route string) bool { return route != "r" })
		}
	}
	golden.Assert(t, play.out.String(), "decisions.golden")
}
