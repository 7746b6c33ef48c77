package sender

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/fleet"
	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/health"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

// fakeFleet is a fleet whose policy and rate limits are set by the test.
type fakeFleet struct {
	mu             sync.Mutex
	view           *fleetpolicy.View
	mayCall        bool
	change         func()
	admitted       chan fleetpolicy.Call // calls that were passed to Admit
	backlog        int64
	onRateLimits   func()
	rateLimits     []fleet.RateLimit
	rateLimitReads int // how often RateLimits was called
	ended          atomic.Int64
}

// The methods for rate limits and health.
func (f *fakeFleet) AddBacklog(c fleetpolicy.Call, n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backlog += n
}
func (f *fakeFleet) SetBacklog(map[fleetpolicy.Call]int64) {}
func (f *fakeFleet) OnRateLimits(changed func())           { f.onRateLimits = changed }
func (f *fakeFleet) ObserveLimit(uint32, float64)          {}
func (f *fakeFleet) ReportHealth([]health.Observation)     {}
func (f *fakeFleet) RateLimits(bool) []fleet.RateLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rateLimitReads++
	return f.rateLimits
}

func (f *fakeFleet) Admit(c fleetpolicy.Call) (func(), func(bool), string) {
	v, mayCall := f.View()
	select {
	case f.admitted <- c:
	default:
	}
	if !mayCall {
		return nil, nil, "cut off"
	}
	if ok, why := v.Allows(c); !ok {
		return nil, nil, why
	}
	return func() {}, func(bool) { f.ended.Add(1) }, ""
}

func (f *fakeFleet) View() (*fleetpolicy.View, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view, f.mayCall
}

func (f *fakeFleet) OnChange(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.change = change
}

func (f *fakeFleet) Register(*http.ServeMux) {}

// setPolicy sets the policy and whether the sender may begin calls.
func (f *fakeFleet) setPolicy(t *testing.T, mayCall bool, document string) {
	t.Helper()
	p, err := fleetpolicy.Parse("p.toml", []byte(document))
	if err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	f.view, f.mayCall = &fleetpolicy.View{Policy: p}, mayCall
	change := f.change
	f.mu.Unlock()
	if change != nil {
		change()
	}
}

const closedDestination1 = "[[route]]\ndestinations = [1]\nstate = \"closed\"\n"

// Submitted and waiting messages while the policy changes: a destination is closed or moved, a tenant is suspended, the sender is cut
// off from the fleet, a rate limit applies.
func TestFleet_PolicyChanges(t *testing.T) {
	t.Parallel()
	zero, one := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, zero.Addr, one.Addr)
	f := &fakeFleet{admitted: make(chan fleetpolicy.Call, 100)}
	f.setPolicy(t, true, "")
	addr := run(t, p, func(c *Config) { c.Fleet = f })
	rejected := func(id string, dest int, text string) {
		t.Helper()
		resp, body := st.Do(t, st.Request(t, addr, st.Submission{ID: id, Class: "keyed", Destination: dest, Deadline: 10 * time.Second, Body: "x"}))
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !strings.Contains(body, text) {
			t.Errorf("%s is answered %s %q", id, resp.Status, body)
		}
	}
	st.Submit(t, addr, st.Submission{ID: "open", Class: "keyed", Destination: 1, Deadline: 10 * time.Second})
	if c := one.Next(t); c.ID != "open" {
		t.Errorf("%+v", c)
	}
	if c := st.Receive(t, f.admitted); c.Bytes == 0 || c.Endpoint == "" || c != (fleetpolicy.Call{Destination: 1, Tenant: "acme", Class: "keyed", Endpoint: c.Endpoint, Bytes: c.Bytes}) {
		t.Errorf("Admit got %+v", c)
	}
	f.setPolicy(t, true, closedDestination1)
	rejected("closed", 1, "closed its destination")
	f.setPolicy(t, true, "[[route]]\ndestinations = [1]\nstate = \"moved\"\nto = 0\n")
	st.Submit(t, addr, st.Submission{ID: "moved", Class: "keyed", Destination: 1, Deadline: 10 * time.Second})
	if c := zero.Next(t); c.ID != "moved" {
		t.Errorf("%+v", c)
	}
	f.setPolicy(t, true, "[[route]]\ndestinations = [1]\nstate = \"moved\"\nto = 77\n")
	rejected("astray", 1, "77, which no list names")
	f.setPolicy(t, true, "[[tenant]]\nname = \"acme\"\nstate = \"suspended\"\n")
	rejected("suspended", 0, "suspended its tenant")
	f.setPolicy(t, false, "")
	rejected("cut off", 0, "cut off from the fleet")
	f.setPolicy(t, true, "")
	until(t, func() bool {
		resp, _ := st.Do(t, st.Request(t, addr, st.Submission{ID: "back", Class: "keyed", Destination: 1, Deadline: 10 * time.Second, Body: "x"}))
		return resp.StatusCode == http.StatusAccepted
	})
	if c := one.Next(t); c.ID != "back" {
		t.Errorf("%+v", c)
	}
	// Without a share of the rate limit of destination 1, accepted messages wait; they are sent once there is a share.
	setShare := func(share float64) {
		f.mu.Lock()
		f.rateLimits = []fleet.RateLimit{{Destination: 1, Limited: true, Own: share, Fleet: 10}}
		before := f.rateLimitReads
		f.mu.Unlock()
		f.onRateLimits()
		until(t, func() bool { // messages that are submitted from now on are subject to it
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.rateLimitReads > before
		})
	}
	setShare(0)
	st.Submit(t, addr, st.Submission{ID: "first", Class: "keyed", Destination: 1, Deadline: 10 * time.Second})
	st.Submit(t, addr, st.Submission{ID: "second", Class: "keyed", Destination: 1, Deadline: 10 * time.Second})
	until(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.backlog >= 1
	})
	setShare(100)
	for range 2 {
		if c := one.Next(t); c.ID != "first" && c.ID != "second" {
			t.Errorf("%+v", c)
		}
	}
	until(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.backlog == 0 && f.ended.Load() == 5
	})
}

// A message whose call was answered with a wait has not run: it is handed back at once, whichever change of the policy disallows it.
func TestFleet_PolicyHandsBack(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(f *fakeFleet){
		"closed":    func(f *fakeFleet) { f.setPolicy(t, true, "[[route]]\ndestinations = [0]\nstate = \"closed\"\n") },
		"moved":     func(f *fakeFleet) { f.setPolicy(t, true, "[[route]]\ndestinations = [0]\nstate = \"moved\"\nto = 1\n") },
		"suspended": func(f *fakeFleet) { f.setPolicy(t, true, "[[tenant]]\nname = \"acme\"\nstate = \"suspended\"\n") },
		"cut off":   func(f *fakeFleet) { f.setPolicy(t, false, "") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := st.NewEndpoint(t, st.Status(429, "X-RateLimit-Wait-Ms: 14000"))
			p := st.NewPlatform(t, e.Addr, e.Addr)
			f := &fakeFleet{admitted: make(chan fleetpolicy.Call, 1000)}
			f.setPolicy(t, true, "")
			addr := run(t, p, func(c *Config) { c.Fleet = f })
			st.Submit(t, addr, st.Submission{ID: "waits", Class: "unsafe", Destination: 0, Deadline: 15 * time.Second})
			e.Next(t)
			change(f)
			if n := st.Receive(t, p.Notices); n.Message != "waits" || n.Outcome != outcomeHandedBack {
				t.Errorf("%+v", n)
			}
		})
	}
}

// A message that may have run before its destination is closed, or before the sender is cut off, waits and is sent again once that is
// allowed. A message of a suspended tenant ends as given up.
func TestFleet_PendingWhenPolicyChanges(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		mayCall  bool
		document string
		outcome  string // the outcome of a message that may have run; "": it waits
	}{
		"closed":    {true, "[[route]]\ndestinations = [0]\nstate = \"closed\"\n", ""},
		"cut off":   {false, "", ""},
		"suspended": {true, "[[tenant]]\nname = \"acme\"\nstate = \"suspended\"\n", outcomeGivenUp},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			answer := st.Reset
			answered := make(chan struct{}, 1000)
			e := st.NewEndpoint(t, func(call st.Call, conn net.Conn) bool {
				mu.Lock()
				a := answer
				mu.Unlock()
				defer func() { answered <- struct{}{} }()
				return a(call, conn)
			})
			p := st.NewPlatform(t, e.Addr)
			f := &fakeFleet{admitted: make(chan fleetpolicy.Call, 1000)}
			f.setPolicy(t, true, "")
			addr := run(t, p, func(c *Config) { c.Fleet = f })
			st.Submit(t, addr, st.Submission{ID: "ran", Class: "keyed", Destination: 0, Deadline: 15 * time.Second})
			e.Next(t)
			st.Receive(t, answered) // the connection was reset: the message may have run
			f.setPolicy(t, c.mayCall, c.document)
			if c.outcome != "" {
				if n := st.Receive(t, p.Notices); n.Message != "ran" || n.Outcome != c.outcome {
					t.Errorf("%+v, want %s", n, c.outcome)
				}
			}
			mu.Lock()
			answer = st.Status(200)
			mu.Unlock()
			f.setPolicy(t, true, "")
			if c.outcome == "" {
				for call := e.Next(t); call.ID != "ran"; call = e.Next(t) {
				}
			}
		})
	}
}

// The module gets a destination that the policy sets apart with the policy's kind, and with the listed kind again later. A share of a
// rate limit becomes the module's rate grant.
func TestFleet_KindAndRateLimit(t *testing.T) {
	f := &fakeFleet{}
	f.setPolicy(t, true, "[[route]]\ndestinations = [1]\nstate = \"apart\"\nkind = \"single\"\n[[limit]]\ndestinations = [1, 9]\ncalls = 2.5\n")
	s := newTestSender(t, st.NewPlatform(t), func(c *Config) { c.Fleet, c.Kinds = f, []string{"plain", "single"} })
	p, _ := extensionOf[*fleetExtension](s)
	target := func(dest uint32) Target {
		return Target{ID: "e", Addr: "127.0.0.1:1", Destination: dest, State: "SERVING", Kind: "plain"}
	}
	if got := s.endpoints.Apply(Targets{Servers: []Target{target(1)}}, false, s.config.endpointNames(), s.pool).Endpoints; len(got) != 1 || got[0].Kind != 1 || !got[0].Ready {
		t.Errorf("%+v", got)
	}
	f.rateLimits = []fleet.RateLimit{{Destination: 1, Limited: true, Own: 2, Fleet: 5}, {Destination: 9}}
	if got := p.handle(rateLimitChange{}, 0); len(got) != 2 || got[0] != (brain.RateGrant{Destination: 1, Limited: true, Rate: 2, TotalRate: 5}) || got[1] != (brain.RateGrant{Destination: 9}) {
		t.Errorf("%+v", got)
	}
	f.setPolicy(t, true, closedDestination1)
	if got := s.endpoints.ApplyPolicy(s.config.endpointNames()).Endpoints; len(got) != 1 || got[0].Kind != 0 || got[0].Ready {
		t.Errorf("%+v", got)
	}
	if got := s.endpoints.ApplyPolicy(s.config.endpointNames()).Endpoints; len(got) != 0 {
		t.Errorf("an update without a change: %+v", got)
	}
}
