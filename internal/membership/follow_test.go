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

// following is a follower and the list that its changes come to.
type following struct {
	t *testing.T
	f *Follower
	l list
}

func follow(t *testing.T, members ...Member) *following {
	return &following{t, NewFollower(members, DefaultFollowerConfig()), list{}}
}

func (f *following) step(now time.Duration, heard ...Observation) *following {
	f.t.Helper()
	f.l.take(f.t, f.f.Step(now, heard))
	return f
}

// is checks the lines: last octets of those that serve and of those that are dropped.
func (f *following) is(serving, dropped []int) {
	f.t.Helper()
	got := map[string][]int{}
	for _, t := range f.l {
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
	one := Member{Destination: 7, Name: "h.example.", Port: 80, Weight: 1}
	held := one
	held.EmptyAfter = time.Minute
	two := Member{Destination: 7, Name: "g.example.", Port: 80, Weight: 1}
	const s = time.Second
	h := func(member int, a Answer) Observation { return Observation{member, a} }

	t.Run("a removed address drains at once and is kept for a while", func(t *testing.T) {
		f := follow(t, one)
		f.step(0, h(0, found(1, 2))).is([]int{1, 2}, nil)
		f.step(s, h(0, found(2))).is([]int{2}, []int{1})
		if f.f.Next() != s+DefaultFollowerConfig().Retention {
			t.Errorf("next is %v", f.f.Next())
		}
		f.step(s+DefaultFollowerConfig().Retention).is([]int{2}, nil)
	})
	t.Run("back within keep it is the same endpoint", func(t *testing.T) {
		f := follow(t, one)
		f.step(0, h(0, found(1))).step(s, h(0, found(2))).step(100*s, h(0, found(1))).is([]int{1}, []int{2})
		if len(f.l) != 2 {
			t.Error(f.l)
		}
	})
	t.Run("the last address goes: believed at once", func(t *testing.T) {
		for _, r := range []Result{NXDomain, NoData} {
			f := follow(t, one)
			f.step(0, h(0, found(1))).step(s, h(0, Answer{Result: r})).is(nil, []int{1})
			f.step(2*s, h(0, found(2))).is([]int{2}, []int{1})
		}
	})
	t.Run("the last address goes: believed after a while, and forgotten if it was a slip", func(t *testing.T) {
		f := follow(t, held)
		f.step(0, h(0, found(1))).step(s, h(0, Answer{Result: NoData})).is([]int{1}, nil)
		f.step(30*s, h(0, Answer{Result: NXDomain})).is([]int{1}, nil) // still the same gap
		f.step(60*s).is([]int{1}, nil)
		f.step(61*s).is(nil, []int{1})
		f = follow(t, held)
		f.step(0, h(0, found(1))).step(s, h(0, Answer{Result: NoData})).step(2*s, h(0, found(1))).step(100*s).is([]int{1}, nil)
	})
	t.Run("a held answer does not hold what another name's answer removes", func(t *testing.T) {
		f := follow(t, held)
		f.step(0, h(0, found(1, 2))).step(s, h(0, found(2))).is([]int{2}, []int{1})
	})
	t.Run("nobody can say: all stays", func(t *testing.T) {
		for _, r := range []Result{ServFail, Timeout} {
			f := follow(t, one)
			f.step(0, h(0, Answer{Result: r})).is(nil, nil)
			f.step(s, h(0, found(1))).step(2*s, h(0, Answer{Result: r})).step(time.Hour).is([]int{1}, nil)
		}
	})
	t.Run("nobody can say ends the wait for an empty answer", func(t *testing.T) {
		f := follow(t, held)
		f.step(0, h(0, found(1))).step(s, h(0, Answer{Result: NoData})).step(2*s, h(0, Answer{Result: ServFail})).step(time.Hour).is([]int{1}, nil)
	})
	t.Run("in part: what was not asked for stays", func(t *testing.T) {
		f := follow(t, one)
		p := found(2)
		p.Partial = true
		f.step(0, h(0, found(1))).step(s, h(0, p)).is([]int{1, 2}, nil)
		f.step(2*s, h(0, found(2))).is([]int{2}, []int{1})
	})
	t.Run("at two names it is one endpoint until both drop it", func(t *testing.T) {
		f := follow(t, one, two)
		f.step(0, h(0, found(1)), h(1, found(1, 1))).is([]int{1}, nil)
		f.step(s, h(0, found(2))).is([]int{1, 2}, nil)
		f.step(2*s, h(1, found(2))).is([]int{2}, []int{1})
	})
	t.Run("one that flaps waits, while there is another", func(t *testing.T) {
		f := follow(t, one)
		now := time.Duration(0)
		for range DefaultFollowerConfig().MaxFlaps {
			f.step(now, h(0, found(1, 2))).is([]int{1, 2}, nil)
			f.step(now+s, h(0, found(2))).is([]int{2}, []int{1})
			now += 2 * s
		}
		f.step(now, h(0, found(1, 2))).is([]int{2}, []int{1})
		f.step(now+DefaultFollowerConfig().Stabilization).is([]int{1, 2}, nil)
	})
	t.Run("what has not come back does not count as gone again", func(t *testing.T) {
		f := follow(t, one)
		now := time.Duration(0)
		for range DefaultFollowerConfig().MaxFlaps {
			f.step(now, h(0, found(1, 2))).step(now+s, h(0, found(2)))
			now += 2 * s
		}
		f.step(now, h(0, found(1, 2))).is([]int{2}, []int{1}) // it settles,
		f.step(now+s, h(0, found(2)))                         // and goes before it has come
		f.step(now+DefaultFollowerConfig().FlapWindow, h(0, found(1, 2))).is([]int{1, 2}, nil)
	})
	t.Run("one that flaps serves where there is no other", func(t *testing.T) {
		f := follow(t, one)
		now := time.Duration(0)
		for range 2 * DefaultFollowerConfig().MaxFlaps {
			f.step(now, h(0, found(1))).is([]int{1}, nil)
			f.step(now+s, h(0, Answer{Result: NoData})).is(nil, []int{1})
			now += 2 * s
		}
		f.step(now, h(0, found(1, 2))) // another comes, too: it serves, the one that flaps settles
		f.is([]int{2}, []int{1})
		f.step(now+s, h(0, found(1))).is([]int{1}, []int{2}) // and is taken when the other goes
	})
	t.Run("priorities and weights", func(t *testing.T) {
		f := follow(t, one)
		a := Answer{Result: Found, Addresses: []Address{{host(1), 10, 30}, {host(2), 10, 10}, {host(1), 10, 30}, {host(3), 20, 10}, {host(1), 20, 99}}}
		f.step(0, h(0, a)).is([]int{1, 2}, nil)
		for _, l := range f.l {
			if want := map[string]float64{host(1).String(): 1.5, host(2).String(): 0.5}[l.Addr]; l.Weight != want {
				t.Errorf("%s has rating %v, want %v", l.Addr, l.Weight, want)
			}
		}
		f.step(s, h(0, Answer{Result: Found, Addresses: a.Addresses[3:4]})).is([]int{3}, []int{1, 2})
	})
	t.Run("states for operators", func(t *testing.T) {
		f := follow(t, held)
		if s := f.f.MemberStates()[0]; s.Answer != "not asked yet" {
			t.Error(s)
		}
		f.step(0, h(0, found(1))).step(s, h(0, Answer{Result: NoData, Why: "gone"}))
		if s := f.f.MemberStates()[0]; s.Answer != "NODATA" || !s.Retained || len(s.Lines) != 1 || s.Why != "gone" {
			t.Errorf("%+v", s)
		}
	})
}

// Over generated answers: what no name lists now never serves, unless an empty answer is held; a destination with a listed
// address has one that serves; changes come to what a follower that starts now would list; Step at Next is enough.
func TestFollower_Invariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hold := rapid.Bool().Draw(t, "hold")
		members := []Member{{Destination: 1, Name: "a.", Weight: 1}, {Destination: 1, Name: "b.", Weight: 1}, {Destination: 2, Name: "c.", Weight: 1}}
		if hold {
			for i := range members {
				members[i].EmptyAfter = 3 * time.Second
			}
		}
		f, l := NewFollower(members, FollowerConfig{Retention: 5 * time.Second, MaxFlaps: 2, FlapWindow: 4 * time.Second, Stabilization: 3 * time.Second}), map[string]Target{}
		current := make([]map[int]bool, len(members))
		empty := []time.Duration{-1, -1, -1}
		now := time.Duration(0)
		take := func(lines []Target) {
			for _, c := range lines {
				if c.State == Deleted {
					if l[c.ID].State != Dropped {
						t.Fatalf("%s is deleted and was %q", c.ID, l[c.ID].State)
					}
					delete(l, c.ID)
				} else {
					l[c.ID] = c
				}
			}
		}
		expire := func() {
			for i := range members {
				if hold && empty[i] >= 0 && now >= empty[i]+3*time.Second {
					current[i], empty[i] = nil, -1
				}
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			until := now + time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms"))*time.Millisecond
			for f.Next() <= until { // what happens by itself happens at its time
				now = max(now, f.Next())
				expire()
				take(f.Step(now, nil))
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
				if !hold {
					current[i] = nil
				} else if empty[i] < 0 && len(current[i]) > 0 {
					empty[i] = now
				}
			default:
				empty[i] = -1
			}
			take(f.Step(now, []Observation{{i, a}}))
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
				for _, line := range l {
					if line.Destination != dest || line.State != Serving {
						continue
					}
					serving++
					if n := int(netip.MustParseAddrPort(line.Addr).Addr().As4()[3]); !want[n] {
						t.Fatalf("at %v %s serves and is listed nowhere: %v", now, line.Addr, want)
					}
				}
				if len(want) > 0 && serving == 0 {
					t.Fatalf("at %v destination %d has %v listed and none serves", now, dest, want)
				}
				if len(want) > 0 && serving > len(want) {
					t.Fatal("more serve than are listed")
				}
			}
		}
		// In the end all that is listed serves.
		for f.Next() < never {
			now = max(now, f.Next())
			expire()
			take(f.Step(now, nil))
		}
		for i, m := range members {
			for n := range current[i] {
				if line := l[fmt.Sprintf("dns:%d:%s", m.Destination, host(n))]; line.State != Serving {
					t.Fatalf("%v of %s is %q in the end", host(n), m.Name, line.State)
				}
			}
		}
	})
}
