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

// randomRun is a random run of one Balancer that records each decision.
type randomRun struct {
	random   *rand.Rand
	balancer *Balancer
	now      time.Duration
	list     []Endpoint
	replaced [12]int // by position in the list: how often the endpoint was replaced by another instance
	calls    []*Call
	out      strings.Builder
}

// oneIn reports true once in n times.
func (run *randomRun) oneIn(n int) bool { return run.random.IntN(n) == 0 }

// instance returns the name of an endpoint, listed or not.
func (run *randomRun) instance() string {
	if len(run.list) == 0 || run.oneIn(12) {
		return "unknown"
	}
	return run.list[run.random.IntN(len(run.list))].Instance
}

// relist draws a new list of endpoints of two services.
func (run *randomRun) relist() {
	run.list = run.list[:0]
	for i := range 12 {
		if run.oneIn(4) {
			run.replaced[i]++
		}
		endpoint := Endpoint{Instance: fmt.Sprintf("i%d.%d", i, run.replaced[i]), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: string(rune('a' + i%3)), Capacity: 4 + 4*(i%3)}
		if i >= 8 {
			endpoint.Service, endpoint.CacheTokens = "engine", 20_000
		}
		endpoint.Draining = run.oneIn(12)
		if run.oneIn(6) {
			endpoint.SlowStartRemaining = time.Duration(run.random.IntN(3000)) * time.Millisecond
		}
		if !run.oneIn(12) {
			run.list = append(run.list, endpoint)
		}
	}
	if len(run.list) > 0 && run.oneIn(3) {
		run.list = append(run.list, run.list[0])
	}
	run.balancer.SetEndpoints(run.now, run.list)
}

// pick decides on one random attempt.
func (run *randomRun) pick() {
	request := Request{Route: "r", Service: "s", Retryable: run.oneIn(2), FirstAttempt: !run.oneIn(4), Remaining: time.Duration(1+run.random.IntN(8000)) * time.Millisecond, Priority: run.random.IntN(3)}
	if run.oneIn(3) {
		request.Route, request.Service, request.CacheTokens = "engine", "engine", int64(run.random.IntN(24_000))
		request.PromptPrefixes = []string{"system", fmt.Sprintf("prompt %d", run.random.IntN(4))}
	}
	if run.oneIn(3) {
		request.InitialTimeout = time.Second
	}
	if run.oneIn(3) {
		request.LatencyTarget = 300 * time.Millisecond
	}
	if run.oneIn(3) {
		request.AffinityKey = fmt.Sprintf("session %d", run.random.IntN(9))
	}
	if run.oneIn(3) {
		request.StickyInstance = run.instance()
	}
	for !request.FirstAttempt && run.oneIn(2) {
		request.AttemptedInstances = append(request.AttemptedInstances, run.instance())
	}
	if run.oneIn(40) { // all instances were attempted
		for name := range 12 {
			request.AttemptedInstances = append(request.AttemptedInstances, fmt.Sprintf("i%d.%d", name, run.replaced[name]))
		}
	}
	choice := run.balancer.Pick(run.now, request)
	fmt.Fprintf(&run.out, "%v %d %s %s %v %t %v; %t\n", run.now, choice.Decision, choice.Instance, choice.Address, choice.Timeout, choice.Exploratory, choice.RetryAfter, run.balancer.Available(request.StickyInstance))
	if choice.Call != nil {
		run.calls = append(run.calls, choice.Call)
	}
}

// load draws a load report.
func (run *randomRun) load() Load {
	return Load{Running: run.random.IntN(13) - 1, Waiting: max(0, run.random.IntN(9)-5), Slots: 4 * run.random.IntN(4)}
}

// done starts the response of a random call in flight, or ends the call.
func (run *randomRun) done() {
	if len(run.calls) == 0 {
		return
	}
	i := run.random.IntN(len(run.calls))
	call := run.calls[i]
	if run.oneIn(3) {
		run.balancer.ResponseStarted(run.now, call)
		return
	}
	outcome := Outcome{Kind: Served, Latency: time.Duration(5+run.random.IntN(200)) * time.Millisecond}
	if run.oneIn(3) {
		outcome.Kind = OutcomeKind(run.random.IntN(9))
	}
	if outcome.Kind == Gone && !run.oneIn(20) {
		outcome.Kind = NotSent
	}
	if run.oneIn(3) {
		outcome.LongestGap = time.Duration(run.random.IntN(300)) * time.Millisecond
	}
	if run.oneIn(3) {
		load := run.load()
		outcome.Load = &load
	}
	outcome.Misdirected = run.oneIn(800)
	run.balancer.Done(run.now, call, outcome)
	if !run.oneIn(20) { // else Done is called for it again later
		run.calls = slices.Delete(run.calls, i, i+1)
	}
}

// check runs the owner's health checks, with random results.
func (run *randomRun) check() {
	var names []string
	for _, endpoint := range run.balancer.StartHealthChecks(run.now) {
		names = append(names, endpoint.Instance)
	}
	slices.Sort(names)
	if len(names) > 0 {
		fmt.Fprintf(&run.out, "%v health checks %v\n", run.now, names)
	}
	for _, name := range names {
		run.balancer.RecordHealthCheck(run.now, name, run.oneIn(2))
	}
}

// reports records the balancer's reports, and applies a random report of another sender.
func (run *randomRun) reports() {
	reports := run.balancer.TakeReports()
	slices.Sort(reports.Ejected) // services are iterated in random order
	fmt.Fprintf(&run.out, "%v reports %v %v; stall %v\n", run.now, reports.Ejected, reports.Restored, run.balancer.StallTimeout("r", time.Second))
	switch name := run.instance(); {
	case run.oneIn(2):
		run.balancer.EjectReported(run.now, name, run.oneIn(2), 4*time.Second)
	default:
		run.balancer.RestoreReported(name)
	}
}

// outage makes all calls in flight fail, and those of the next 60 attempts.
func (run *randomRun) outage() {
	for range 60 {
		run.pick()
		run.now += time.Millisecond
		for _, call := range run.calls {
			run.balancer.Done(run.now, call, Outcome{Kind: Broken})
		}
		run.calls = nil
	}
}

// TestBalancer_DecisionsGolden compares each decision of a long random run with the golden file.
func TestBalancer_DecisionsGolden(t *testing.T) {
	run := &randomRun{random: rand.New(rand.NewPCG(1, 2)), balancer: New("a", "sender"), now: time.Hour}
	run.relist()
	for range 4000 {
		run.now += time.Duration(run.random.IntN(20)) * time.Millisecond
		switch n := run.random.IntN(100); {
		case n < 45:
			run.pick()
		case n < 92:
			run.done()
		case n < 95:
			run.balancer.ReportLoad(run.now, run.instance(), run.load())
		case n < 97:
			run.check()
		case n < 98:
			run.reports()
		case run.oneIn(10):
			run.outage()
		case run.oneIn(2):
			run.relist()
		case run.oneIn(5):
			run.balancer.RetainRoutes(func(route string) bool { return route != "r" })
		}
	}
	golden.Assert(t, run.out.String(), "decisions.golden")
}
