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

// Whether a call is admitted at each state of lease and view, at that very moment.
func TestGate_Admit(t *testing.T) {
	var now atomic.Int64
	g := NewGate(func() time.Duration { return time.Duration(now.Load()) })
	seven, eight := fleetpolicy.Call{Destination: 7}, fleetpolicy.Call{Destination: 8}
	open, closed, goes := fleetpolicy.Empty(), policyOf(t, closed7), policyOf(t, "cut_off = \"go-on\"\ngo_on_for = \"5s\"\n")
	says := func(c fleetpolicy.Call) string {
		leave, why := g.Admit(c)
		if why == "" {
			leave()
		}
		return why
	}
	s := time.Second
	for _, c := range []struct {
		what         string
		do           func()
		now          time.Duration
		seven, eight string // "": may
	}{
		{"nothing is known", func() {}, 0, "not known yet", "not known yet"},
		{"a view and no lease", func() { g.publish(&fleetpolicy.View{Policy: open}, 0, false) }, s, "cut off", "cut off"},
		{"a lease", func() { g.publish(&fleetpolicy.View{Policy: open}, 10*s, false) }, 9 * s, "", ""},
		{"it has just lapsed", func() {}, 10 * s, "cut off", "cut off"},
		{"frozen", func() {
			g.publish(&fleetpolicy.View{Policy: open, OpenChange: 5, Suspended: fleetpolicy.AffectedBySwitch(open, closed)}, 30*s, true)
		}, 11 * s, "about to take hold", ""},
		{"the next version", func() { g.publish(&fleetpolicy.View{Policy: closed}, 30*s, true) }, 12 * s, "closed its destination", ""},
		{"a policy that can't be followed here", func() { g.publish(&fleetpolicy.View{Policy: open, Unfit: ErrRejected}, 30*s, true) }, 13 * s, "can't be followed", "can't be followed"},
		{"cut off, and to go on", func() { g.publish(&fleetpolicy.View{Policy: goes}, 30*s, true) }, 34 * s, "", ""},
		{"for so long", func() {}, 35 * s, "cut off", "cut off"},
	} {
		c.do()
		now.Store(int64(c.now))
		for _, one := range []struct{ got, want string }{{says(seven), c.seven}, {says(eight), c.eight}} {
			if (one.got == "") != (one.want == "") || !strings.Contains(one.got, one.want) {
				t.Errorf("%s: %q, want %q", c.what, one.got, one.want)
			}
		}
	}
}

// A view is left behind only when no call that it let through waits to be written; calls under the next one do not wait.
func TestGate_WaitsUntilDrained(t *testing.T) {
	g := NewGate(func() time.Duration { return 0 })
	call := fleetpolicy.Call{Destination: 7}
	g.publish(&fleetpolicy.View{Index: 1, Policy: fleetpolicy.Empty()}, time.Second, false)
	leave, _ := g.Admit(call)
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
		t.Fatal("the view is left behind while a call waits")
	case <-time.After(20 * time.Millisecond):
	}
	leave()
	<-drained
}

// Under load from many calls and many switches, no call that a view let through is inside once that view is left behind.
func TestGate_ConcurrentPublish(t *testing.T) {
	g := NewGate(func() time.Duration { return 0 })
	const views = 300
	var left [views + 1]atomic.Bool
	policies := []*fleetpolicy.Policy{fleetpolicy.Empty(), policyOf(t, closed7)}
	view := func(i int) *fleetpolicy.View {
		return &fleetpolicy.View{Index: uint64(i), Version: uint64(i), Policy: policies[i%2]}
	}
	g.publish(view(0), time.Second, false)
	var stop atomic.Bool
	var calls sync.WaitGroup
	var through atomic.Int64
	for range 4 {
		calls.Add(1)
		go func() {
			defer calls.Done()
			for !stop.Load() {
				if leave, why := g.Admit(fleetpolicy.Call{Destination: 7}); why == "" { // under an even view
					if v, _ := g.View(); v.Index%2 == 1 && left[v.Index-1].Load() {
						t.Errorf("a call is inside under view %d, which is left behind", v.Index-1)
					}
					through.Add(1)
					leave()
				}
			}
		}()
	}
	for through.Load() == 0 {
		runtime.Gosched()
	}
	for i := 1; i <= views; i++ {
		g.publish(view(i), time.Second, true)()
		left[i-1].Store(true)
	}
	stop.Store(true)
	calls.Wait()
}
