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

// fakeFleet is a fleet that says what a test has it say.
type fakeFleet struct {
	mu         sync.Mutex
	view       *fleetpolicy.View
	acts       bool
	change     func()
	asked      chan fleetpolicy.Call // calls that ask at their permit
	waits      int64
	paced      func()
	rateLimits []fleet.RateLimit
	taken      int // how often the paces were asked for
	ended      atomic.Int64
}

// What its part asks of limits.
func (f *fakeFleet) AddBacklog(c fleetpolicy.Call, n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waits += n
}
func (f *fakeFleet) SetBacklog(map[fleetpolicy.Call]int64) {}
func (f *fakeFleet) OnRateLimits(told func())              { f.paced = told }
func (f *fakeFleet) ObserveLimit(uint32, float64)          {}
func (f *fakeFleet) ReportHealth([]health.Observation)     {}
func (f *fakeFleet) RateLimits(bool) []fleet.RateLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.taken++
	return f.rateLimits
}

func (f *fakeFleet) Admit(c fleetpolicy.Call) (func(), func(bool), string) {
	v, acts := f.View()
	select {
	case f.asked <- c:
	default:
	}
	if !acts {
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
	return f.view, f.acts
}

func (f *fakeFleet) OnChange(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.change = change
}

func (f *fakeFleet) Register(*http.ServeMux) {}

// say is the fleet's word from now on.
func (f *fakeFleet) say(t *testing.T, acts bool, document string) {
	t.Helper()
	p, err := fleetpolicy.Parse("p.toml", []byte(document))
	if err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	f.view, f.acts = &fleetpolicy.View{Policy: p}, acts
	change := f.change
	f.mu.Unlock()
	if change != nil {
		change()
	}
}

const closes1 = "[[route]]\ndestinations = [1]\nstate = \"closed\"\n"

// What is handed in, and what is held, under each word of the fleet: closed, moved, suspended, bounded, cut off.
func TestFleet_PolicyChanges(t *testing.T) {
	t.Parallel()
	zero, one := st.NewEndpoint(t, st.Status(200)), st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, zero.Addr, one.Addr)
	f := &fakeFleet{asked: make(chan fleetpolicy.Call, 100)}
	f.say(t, true, "")
	addr := run(t, p, func(c *Config) { c.Fleet = f })
	refused := func(id string, dest int, says string) {
		t.Helper()
		resp, body := st.Do(t, st.Request(t, addr, st.Submission{ID: id, Class: "keyed", Destination: dest, Deadline: 10 * time.Second, Body: "x"}))
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !strings.Contains(body, says) {
			t.Errorf("%s is answered %s %q", id, resp.Status, body)
		}
	}
	st.Submit(t, addr, st.Submission{ID: "open", Class: "keyed", Destination: 1, Deadline: 10 * time.Second})
	if c := one.Next(t); c.ID != "open" {
		t.Errorf("%+v", c)
	}
	if c := st.Receive(t, f.asked); c.Bytes == 0 || c.Endpoint == "" || c != (fleetpolicy.Call{Destination: 1, Tenant: "acme", Class: "keyed", Endpoint: c.Endpoint, Bytes: c.Bytes}) {
		t.Errorf("the permit asks for %+v", c)
	}
	f.say(t, true, closes1)
	refused("closed", 1, "closed its destination")
	f.say(t, true, "[[route]]\ndestinations = [1]\nstate = \"moved\"\nto = 0\n")
	st.Submit(t, addr, st.Submission{ID: "moved", Class: "keyed", Destination: 1, Deadline: 10 * time.Second})
	if c := zero.Next(t); c.ID != "moved" {
		t.Errorf("%+v", c)
	}
	f.say(t, true, "[[route]]\ndestinations = [1]\nstate = \"moved\"\nto = 77\n")
	refused("astray", 1, "77, which no list names")
	f.say(t, true, "[[tenant]]\nname = \"acme\"\nstate = \"suspended\"\n")
	refused("suspended", 0, "suspended its tenant")
	f.say(t, false, "")
	refused("cut off", 0, "cut off from the fleet")
	f.say(t, true, "")
	until(t, func() bool {
		resp, _ := st.Do(t, st.Request(t, addr, st.Submission{ID: "back", Class: "keyed", Destination: 1, Deadline: 10 * time.Second, Body: "x"}))
		return resp.StatusCode == http.StatusAccepted
	})
	if c := one.Next(t); c.ID != "back" {
		t.Errorf("%+v", c)
	}
	// Nothing is lent for 1: what is taken on waits, and goes once something is.
	lend := func(mine float64) {
		f.mu.Lock()
		f.rateLimits = []fleet.RateLimit{{Destination: 1, Limited: true, Own: mine, Fleet: 10}}
		before := f.taken
		f.mu.Unlock()
		f.paced()
		until(t, func() bool { // what is handed in from now on goes by it
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.taken > before
		})
	}
	lend(0)
	st.Submit(t, addr, st.Submission{ID: "first", Class: "keyed", Destination: 1, Deadline: 10 * time.Second})
	st.Submit(t, addr, st.Submission{ID: "second", Class: "keyed", Destination: 1, Deadline: 10 * time.Second})
	until(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.waits >= 1
	})
	lend(100)
	for range 2 {
		if c := one.Next(t); c.ID != "first" && c.ID != "second" {
			t.Errorf("%+v", c)
		}
	}
	until(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.waits == 0 && f.ended.Load() == 5
	})
}

// What was told to wait has not run: whatever word stands against it, it is handed back at once.
func TestFleet_PolicyHandsBack(t *testing.T) {
	t.Parallel()
	for name, say := range map[string]func(f *fakeFleet){
		"closed":    func(f *fakeFleet) { f.say(t, true, "[[route]]\ndestinations = [0]\nstate = \"closed\"\n") },
		"moved":     func(f *fakeFleet) { f.say(t, true, "[[route]]\ndestinations = [0]\nstate = \"moved\"\nto = 1\n") },
		"suspended": func(f *fakeFleet) { f.say(t, true, "[[tenant]]\nname = \"acme\"\nstate = \"suspended\"\n") },
		"cut off":   func(f *fakeFleet) { f.say(t, false, "") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := st.NewEndpoint(t, st.Status(429, "X-RateLimit-Wait-Ms: 14000"))
			p := st.NewPlatform(t, e.Addr, e.Addr)
			f := &fakeFleet{asked: make(chan fleetpolicy.Call, 1000)}
			f.say(t, true, "")
			addr := run(t, p, func(c *Config) { c.Fleet = f })
			st.Submit(t, addr, st.Submission{ID: "waits", Class: "unsafe", Destination: 0, Deadline: 15 * time.Second})
			e.Next(t)
			say(f)
			if n := st.Receive(t, p.Notices); n.Message != "waits" || n.Outcome != outcomeHandedBack {
				t.Errorf("%+v", n)
			}
		})
	}
}

// What may have run before its destination is closed, or the sender is cut off, waits and is sent again once it may be; of a
// suspended tenant it ends as given up.
func TestFleet_PendingWhenPolicyChanges(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		acts     bool
		document string
		mayRun   string // the end of one that may have run; "": it waits
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
			f := &fakeFleet{asked: make(chan fleetpolicy.Call, 1000)}
			f.say(t, true, "")
			addr := run(t, p, func(c *Config) { c.Fleet = f })
			st.Submit(t, addr, st.Submission{ID: "ran", Class: "keyed", Destination: 0, Deadline: 15 * time.Second})
			e.Next(t)
			st.Receive(t, answered) // its outcome is a reset: it may have run
			f.say(t, c.acts, c.document)
			if c.mayRun != "" {
				if n := st.Receive(t, p.Notices); n.Message != "ran" || n.Outcome != c.mayRun {
					t.Errorf("%+v, want %s", n, c.mayRun)
				}
			}
			mu.Lock()
			answer = st.Status(200)
			mu.Unlock()
			f.say(t, true, "")
			if c.mayRun == "" {
				for call := e.Next(t); call.ID != "ran"; call = e.Next(t) {
				}
			}
		})
	}
}

// A destination that the policy has apart is told to the module as of that kind, and back; a limit is the module's pace.
func TestFleet_KindAndRateLimit(t *testing.T) {
	f := &fakeFleet{}
	f.say(t, true, "[[route]]\ndestinations = [1]\nstate = \"apart\"\nkind = \"single\"\n[[limit]]\ndestinations = [1, 9]\ncalls = 2.5\n")
	s := newTest(t, st.NewPlatform(t), func(c *Config) { c.Fleet, c.Kinds = f, []string{"plain", "single"} })
	p, _ := extensionOf[*fleetExtension](s)
	line := func(dest uint32) Target {
		return Target{ID: "e", Addr: "127.0.0.1:1", Destination: dest, State: "SERVING", Kind: "plain"}
	}
	if got := s.endpoints.Apply(Targets{Servers: []Target{line(1)}}, false, s.config.endpointNames(), s.pool).Endpoints; len(got) != 1 || got[0].Kind != 1 || !got[0].Ready {
		t.Errorf("%+v", got)
	}
	f.rateLimits = []fleet.RateLimit{{Destination: 1, Limited: true, Own: 2, Fleet: 5}, {Destination: 9}}
	if got := p.handle(rateLimitChange{}, 0); len(got) != 2 || got[0] != (brain.RateGrant{Destination: 1, Limited: true, Rate: 2, TotalRate: 5}) || got[1] != (brain.RateGrant{Destination: 9}) {
		t.Errorf("%+v", got)
	}
	f.say(t, true, closes1)
	if got := s.endpoints.ApplyPolicy(s.config.endpointNames()).Endpoints; len(got) != 1 || got[0].Kind != 0 || got[0].Ready {
		t.Errorf("%+v", got)
	}
	if got := s.endpoints.ApplyPolicy(s.config.endpointNames()).Endpoints; len(got) != 0 {
		t.Errorf("told twice: %+v", got)
	}
}
