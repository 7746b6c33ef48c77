package membership

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func found(addrs ...int) Answer {
	a := Answer{Result: Found}
	for _, n := range addrs {
		a.Addresses = append(a.Addresses, Address{AddrPort: host(n)})
	}
	return a
}

func host(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(n)}), 80)
}

// followerTest is a follower and the list to which its changes add up.
type followerTest struct {
	t        *testing.T
	follower *Follower
	list     list
}

func newFollowerTest(t *testing.T, members ...Member) *followerTest {
	return &followerTest{t, NewFollower(members, DefaultFollowerConfig()), list{}}
}

func (f *followerTest) step(now time.Duration, observations ...Observation) *followerTest {
	f.t.Helper()
	f.list.apply(f.t, f.follower.Step(now, observations))
	return f
}

// expect checks the last octets of the serving and of the dropped addresses.
func (f *followerTest) expect(serving, dropped []int) {
	f.t.Helper()
	got := map[string][]int{}
	for _, t := range f.list {
		a := netip.MustParseAddrPort(t.Addr)
		got[t.State] = append(got[t.State], int(a.Addr().As4()[3]))
	}
	for state, want := range map[string][]int{Serving: serving, Dropped: dropped} {
		slices.Sort(got[state])
		if !slices.Equal(got[state], want) {
			f.t.Errorf("%s: %v, want %v", state, got[state], want)
		}
	}
}

func TestFollower_Steps(t *testing.T) {
	first := Member{Destination: 7, Name: "h.example.", Port: 80, Weight: 1}
	delayed := first
	delayed.EmptyAfter = time.Minute
	second := Member{Destination: 7, Name: "g.example.", Port: 80, Weight: 1}
	const s = time.Second
	observe := func(member int, a Answer) Observation { return Observation{member, a} }

	t.Run("a removed address drains at once and is retained", func(t *testing.T) {
		f := newFollowerTest(t, first)
		f.step(0, observe(0, found(1, 2))).expect([]int{1, 2}, nil)
		f.step(s, observe(0, found(2))).expect([]int{2}, []int{1})
		if f.follower.Next() != s+DefaultFollowerConfig().Retention {
			t.Errorf("next step at %v", f.follower.Next())
		}
		f.step(s+DefaultFollowerConfig().Retention).expect([]int{2}, nil)
	})
	t.Run("an address that returns within the retention is the same endpoint", func(t *testing.T) {
		f := newFollowerTest(t, first)
		f.step(0, observe(0, found(1))).step(s, observe(0, found(2))).step(100*s, observe(0, found(1))).expect([]int{1}, []int{2})
		if len(f.list) != 2 {
			t.Error(f.list)
		}
	})
	t.Run("an empty answer takes effect at once", func(t *testing.T) {
		for _, r := range []Result{NXDomain, NoData} {
			f := newFollowerTest(t, first)
			f.step(0, observe(0, found(1))).step(s, observe(0, Answer{Result: r})).expect(nil, []int{1})
			f.step(2*s, observe(0, found(2))).expect([]int{2}, []int{1})
		}
	})
	t.Run("an empty answer takes effect after EmptyAfter, unless addresses return", func(t *testing.T) {
		f := newFollowerTest(t, delayed)
		f.step(0, observe(0, found(1))).step(s, observe(0, Answer{Result: NoData})).expect([]int{1}, nil)
		f.step(30*s, observe(0, Answer{Result: NXDomain})).expect([]int{1}, nil) // does not restart EmptyAfter
		f.step(60*s).expect([]int{1}, nil)
		f.step(61*s).expect(nil, []int{1})
		f = newFollowerTest(t, delayed)
		f.step(0, observe(0, found(1))).step(s, observe(0, Answer{Result: NoData})).step(2*s, observe(0, found(1))).step(100*s).expect([]int{1}, nil)
	})
	t.Run("EmptyAfter does not delay the removal of single addresses", func(t *testing.T) {
		f := newFollowerTest(t, delayed)
		f.step(0, observe(0, found(1, 2))).step(s, observe(0, found(2))).expect([]int{2}, []int{1})
	})
	t.Run("an answer without a result keeps the addresses", func(t *testing.T) {
		for _, r := range []Result{ServFail, Timeout} {
			f := newFollowerTest(t, first)
			f.step(0, observe(0, Answer{Result: r})).expect(nil, nil)
			f.step(s, observe(0, found(1))).step(2*s, observe(0, Answer{Result: r})).step(time.Hour).expect([]int{1}, nil)
		}
	})
	t.Run("an answer without a result ends the wait of an empty answer", func(t *testing.T) {
		f := newFollowerTest(t, delayed)
		f.step(0, observe(0, found(1))).step(s, observe(0, Answer{Result: NoData})).step(2*s, observe(0, Answer{Result: ServFail})).step(time.Hour).expect([]int{1}, nil)
	})
	t.Run("a partial answer removes no addresses", func(t *testing.T) {
		f := newFollowerTest(t, first)
		p := found(2)
		p.Partial = true
		f.step(0, observe(0, found(1))).step(s, observe(0, p)).expect([]int{1, 2}, nil)
		f.step(2*s, observe(0, found(2))).expect([]int{2}, []int{1})
	})
	t.Run("an address at two names is one endpoint until both remove it", func(t *testing.T) {
		f := newFollowerTest(t, first, second)
		f.step(0, observe(0, found(1)), observe(1, found(1, 1))).expect([]int{1}, nil)
		f.step(s, observe(0, found(2))).expect([]int{1, 2}, nil)
		f.step(2*s, observe(1, found(2))).expect([]int{2}, []int{1})
	})
	t.Run("a flapping address stabilizes while another serves", func(t *testing.T) {
		f := newFollowerTest(t, first)
		now := time.Duration(0)
		for range DefaultFollowerConfig().MaxFlaps {
			f.step(now, observe(0, found(1, 2))).expect([]int{1, 2}, nil)
			f.step(now+s, observe(0, found(2))).expect([]int{2}, []int{1})
			now += 2 * s
		}
		f.step(now, observe(0, found(1, 2))).expect([]int{2}, []int{1})
		f.step(now+DefaultFollowerConfig().Stabilization).expect([]int{1, 2}, nil)
	})
	t.Run("a removal while stabilizing is not counted", func(t *testing.T) {
		f := newFollowerTest(t, first)
		now := time.Duration(0)
		for range DefaultFollowerConfig().MaxFlaps {
			f.step(now, observe(0, found(1, 2))).step(now+s, observe(0, found(2)))
			now += 2 * s
		}
		f.step(now, observe(0, found(1, 2))).expect([]int{2}, []int{1}) // 1 stabilizes
		f.step(now+s, observe(0, found(2)))                             // and is removed before it serves
		f.step(now+DefaultFollowerConfig().FlapWindow, observe(0, found(1, 2))).expect([]int{1, 2}, nil)
	})
	t.Run("a flapping address serves if there is no other", func(t *testing.T) {
		f := newFollowerTest(t, first)
		now := time.Duration(0)
		for range 2 * DefaultFollowerConfig().MaxFlaps {
			f.step(now, observe(0, found(1))).expect([]int{1}, nil)
			f.step(now+s, observe(0, Answer{Result: NoData})).expect(nil, []int{1})
			now += 2 * s
		}
		f.step(now, observe(0, found(1, 2))) // the new address serves, and the flapping one stabilizes
		f.expect([]int{2}, []int{1})
		f.step(now+s, observe(0, found(1))).expect([]int{1}, []int{2}) // the flapping address serves when the other is removed
	})
	t.Run("priorities and weights", func(t *testing.T) {
		f := newFollowerTest(t, first)
		a := Answer{Result: Found, Addresses: []Address{{host(1), 10, 30}, {host(2), 10, 10}, {host(1), 10, 30}, {host(3), 20, 10}, {host(1), 20, 99}}}
		f.step(0, observe(0, a)).expect([]int{1, 2}, nil)
		for _, l := range f.list {
			if want := map[string]float64{host(1).String(): 1.5, host(2).String(): 0.5}[l.Addr]; l.Weight != want {
				t.Errorf("%s has weight %v, want %v", l.Addr, l.Weight, want)
			}
		}
		f.step(s, observe(0, Answer{Result: Found, Addresses: a.Addresses[3:4]})).expect([]int{3}, []int{1, 2})
	})
	t.Run("states for operators", func(t *testing.T) {
		f := newFollowerTest(t, delayed)
		if s := f.follower.MemberStates()[0]; s.Answer != "not asked yet" {
			t.Error(s)
		}
		f.step(0, observe(0, found(1))).step(s, observe(0, Answer{Result: NoData, Why: "gone"}))
		if s := f.follower.MemberStates()[0]; s.Answer != "NODATA" || !s.Retained || len(s.Lines) != 1 || s.Why != "gone" {
			t.Errorf("%+v", s)
		}
	})
}

// Checks generated answers, with Step called only for observations and at Next. An address that no name lists must not serve, except until
// an empty answer takes effect. A destination with listed addresses must have a serving one. In the end all listed addresses must serve.
func TestFollower_Invariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		delayEmpty := rapid.Bool().Draw(t, "delayEmpty")
		members := []Member{{Destination: 1, Name: "a.", Weight: 1}, {Destination: 1, Name: "b.", Weight: 1}, {Destination: 2, Name: "c.", Weight: 1}}
		if delayEmpty {
			for i := range members {
				members[i].EmptyAfter = 3 * time.Second
			}
		}
		f, l := NewFollower(members, FollowerConfig{Retention: 5 * time.Second, MaxFlaps: 2, FlapWindow: 4 * time.Second, Stabilization: 3 * time.Second}), map[string]Target{}
		current := make([]map[int]bool, len(members))
		empty := []time.Duration{-1, -1, -1}
		now := time.Duration(0)
		apply := func(changes []Target) {
			for _, c := range changes {
				if c.State == Deleted {
					if l[c.ID].State != Dropped {
						t.Fatalf("%s is deleted in state %q", c.ID, l[c.ID].State)
					}
					delete(l, c.ID)
				} else {
					l[c.ID] = c
				}
			}
		}
		expire := func() {
			for i := range members {
				if delayEmpty && empty[i] >= 0 && now >= empty[i]+3*time.Second {
					current[i], empty[i] = nil, -1
				}
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			until := now + time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms"))*time.Millisecond
			for f.Next() <= until { // steps that are due by time alone
				now = max(now, f.Next())
				expire()
				apply(f.Step(now, nil))
			}
			now = until
			i := rapid.IntRange(0, len(members)-1).Draw(t, "member")
			a := Answer{Result: Result(rapid.IntRange(0, 4).Draw(t, "result"))}
			expire()
			switch a.Result {
			case Found:
				current[i], empty[i] = map[int]bool{}, -1
				for n := range 3 {
					if rapid.Bool().Draw(t, "has") || n == 0 {
						current[i][n+1] = true
						a.Addresses = append(a.Addresses, Address{AddrPort: host(n + 1)})
					}
				}
			case NXDomain, NoData:
				if !delayEmpty {
					current[i] = nil
				} else if empty[i] < 0 && len(current[i]) > 0 {
					empty[i] = now
				}
			default:
				empty[i] = -1
			}
			apply(f.Step(now, []Observation{{i, a}}))
			for dest := uint32(1); dest <= 2; dest++ {
				want := map[int]bool{}
				for i, m := range members {
					if m.Destination == dest {
						for n := range current[i] {
							want[n] = true
						}
					}
				}
				serving := 0
				for _, target := range l {
					if target.Destination != dest || target.State != Serving {
						continue
					}
					serving++
					if n := int(netip.MustParseAddrPort(target.Addr).Addr().As4()[3]); !want[n] {
						t.Fatalf("at %v %s serves but is not listed: %v", now, target.Addr, want)
					}
				}
				if len(want) > 0 && serving == 0 {
					t.Fatalf("at %v destination %d has %v listed, and none of them serves", now, dest, want)
				}
				if len(want) > 0 && serving > len(want) {
					t.Fatal("more addresses serve than are listed")
				}
			}
		}
		// In the end all listed addresses serve.
		for f.Next() < never {
			now = max(now, f.Next())
			expire()
			apply(f.Step(now, nil))
		}
		for i, m := range members {
			for n := range current[i] {
				if target := l[fmt.Sprintf("dns:%d:%s", m.Destination, host(n))]; target.State != Serving {
					t.Fatalf("%v of %s is %q in the end", host(n), m.Name, target.State)
				}
			}
		}
	})
}
