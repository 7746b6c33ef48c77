package fleet

import (
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
)

func policyOf(t testing.TB, text string) *fleetpolicy.Policy {
	t.Helper()
	p, err := fleetpolicy.Parse("p.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Checks whether a call is admitted in each state of lease and view, and that a change of either takes effect at once.
func TestGate_Admit(t *testing.T) {
	var now atomic.Int64
	g := NewGate(func() time.Duration { return time.Duration(now.Load()) })
	seven, eight := fleetpolicy.Call{Destination: 7}, fleetpolicy.Call{Destination: 8}
	open, closed, withGrace := fleetpolicy.Empty(), policyOf(t, closed7), policyOf(t, "cut_off = \"go-on\"\ngo_on_for = \"5s\"\n")
	reason := func(c fleetpolicy.Call) string {
		release, why := g.Admit(c)
		if why == "" {
			release()
		}
		return why
	}
	s := time.Second
	for _, c := range []struct {
		what         string
		do           func()
		now          time.Duration
		seven, eight string // part of the reason; "": admitted
	}{
		{"no view was published", func() {}, 0, "not known yet", "not known yet"},
		{"a view, but no lease", func() { g.publish(&fleetpolicy.View{Policy: open}, 0, false) }, s, "cut off", "cut off"},
		{"a lease", func() { g.publish(&fleetpolicy.View{Policy: open}, 10*s, false) }, 9 * s, "", ""},
		{"the lease has just expired", func() {}, 10 * s, "cut off", "cut off"},
		{"frozen", func() {
			g.publish(&fleetpolicy.View{Policy: open, OpenChange: 5, Suspended: fleetpolicy.AffectedBySwitch(open, closed)}, 30*s, true)
		}, 11 * s, "about to take hold", ""},
		{"the next version", func() { g.publish(&fleetpolicy.View{Policy: closed}, 30*s, true) }, 12 * s, "closed its destination", ""},
		{"a policy that can't be followed here", func() { g.publish(&fleetpolicy.View{Policy: open, Unfit: ErrRejected}, 30*s, true) }, 13 * s, "can't be followed", "can't be followed"},
		{"no lease, within the policy's grace", func() { g.publish(&fleetpolicy.View{Policy: withGrace}, 30*s, true) }, 34 * s, "", ""},
		{"the grace is over", func() {}, 35 * s, "cut off", "cut off"},
	} {
		c.do()
		now.Store(int64(c.now))
		for _, check := range []struct{ got, want string }{{reason(seven), c.seven}, {reason(eight), c.eight}} {
			if (check.got == "") != (check.want == "") || !strings.Contains(check.got, check.want) {
				t.Errorf("%s: %q, want %q", c.what, check.got, check.want)
			}
		}
	}
}

// A view is drained only when no call that it admitted waits to be written; calls under the next view do not wait for that.
func TestGate_WaitsUntilDrained(t *testing.T) {
	g := NewGate(func() time.Duration { return 0 })
	call := fleetpolicy.Call{Destination: 7}
	g.publish(&fleetpolicy.View{Index: 1, Policy: fleetpolicy.Empty()}, time.Second, false)
	release, _ := g.Admit(call)
	wait := g.publish(&fleetpolicy.View{Index: 2, Policy: fleetpolicy.Empty()}, time.Second, true)
	drained := make(chan struct{})
	go func() { wait(); close(drained) }()
	if next, why := g.Admit(call); why != "" {
		t.Fatal(why)
	} else {
		next()
	}
	select {
	case <-drained:
		t.Fatal("the view is drained while a call waits to be written")
	case <-time.After(20 * time.Millisecond):
	}
	release()
	<-drained
}

// With many concurrent calls and switches of the view, no call that a view admitted is unreleased once that view is drained.
func TestGate_ConcurrentPublish(t *testing.T) {
	g := NewGate(func() time.Duration { return 0 })
	const views = 300
	var drained [views + 1]atomic.Bool
	policies := []*fleetpolicy.Policy{fleetpolicy.Empty(), policyOf(t, closed7)}
	view := func(i int) *fleetpolicy.View {
		return &fleetpolicy.View{Index: uint64(i), Version: uint64(i), Policy: policies[i%2]}
	}
	g.publish(view(0), time.Second, false)
	var stop atomic.Bool
	var calls sync.WaitGroup
	var admitted atomic.Int64
	for range 4 {
		calls.Add(1)
		go func() {
			defer calls.Done()
			for !stop.Load() {
				if release, why := g.Admit(fleetpolicy.Call{Destination: 7}); why == "" { // under an even view
					if v, _ := g.View(); v.Index%2 == 1 && drained[v.Index-1].Load() {
						t.Errorf("an admitted call is unreleased under view %d, which is drained", v.Index-1)
					}
					admitted.Add(1)
					release()
				}
			}
		}()
	}
	for admitted.Load() == 0 {
		runtime.Gosched()
	}
	for i := 1; i <= views; i++ {
		g.publish(view(i), time.Second, true)()
		drained[i-1].Store(true)
	}
	stop.Store(true)
	calls.Wait()
}
