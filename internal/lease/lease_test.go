package lease

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For all clock drifts up to MaxDrift, message delays and pauses of the holder, a lease must expire at the holder before it does at the
// granter. A holder must never act below a fence's index once the fence has passed.
func TestLease_ExpiresAtHolderFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{Duration: time.Duration(rapid.Int64Range(1e6, 60e9).Draw(t, "duration")), MaxDrift: rapid.SampledFrom([]float64{0, 0.01, DefaultDrift}).Draw(t, "drift")}
		rate := func(label string) float64 { return 1 + terms.MaxDrift*rapid.Float64Range(-1, 1).Draw(t, label) }
		holderRate, granterRate := rate("holder's clock"), rate("granter's clock")
		shift := time.Duration(rapid.Int64Range(0, 1e15).Draw(t, "granter's clock is ahead by"))
		holderClock := func(at time.Duration) time.Duration { return time.Duration(float64(at) * holderRate) }
		granterClock := func(at time.Duration) time.Duration { return time.Duration(float64(at)*granterRate) + shift }
		h, g := NewHolder(terms), NewGranter(terms, granterClock(0)-terms.GranterDuration())
		id := HolderID{"a", 1}
		now := time.Duration(0) // true time
		applied, lastIndex := uint64(0), uint64(0)
		for range rapid.IntRange(1, 12).Draw(t, "requests") {
			wait := func(label string) {
				now += time.Duration(rapid.Int64Range(0, int64(terms.Duration)*3/2).Draw(t, label))
			}
			lastIndex += rapid.Uint64Range(0, 2).Draw(t, "entries")
			requestedAt, actingIndex := h.Request(holderClock(now)), applied
			wait("request delay")
			g.RecordRequest(id, actingIndex)
			requiredIndex := g.Grant(id, lastIndex, granterClock(now))
			applied = rapid.Uint64Range(applied, lastIndex).Draw(t, "applied")
			wait("reply delay")
			h.RecordGrant(requestedAt, requiredIndex, terms.Duration, holderClock(now))
			for range 3 {
				wait("pause")
				// Allow for rounding in the clocks, which is far below the drift: 1 ms in a million seconds.
				if mayAct := h.Until(applied) > holderClock(now)+time.Microsecond; mayAct {
					for fence := uint64(0); fence <= lastIndex+1; fence++ {
						if len(g.LeasesBelow(fence, granterClock(now))) == 0 && applied < fence {
							t.Fatalf("at %v the holder acts at index %d under a lease until %v (now %v), and the fence at %d has passed", now, applied, h.Until(applied), holderClock(now), fence)
						}
					}
				}
			}
		}
	})
}

// Checks until when a holder may act after each of a sequence of requests and replies.
func TestHolder_Until(t *testing.T) {
	terms := Terms{Duration: 10 * time.Second, MaxDrift: DefaultDrift}
	s := time.Second
	h := NewHolder(terms)
	if h.Until(99) != 0 {
		t.Error("a new holder has a lease")
	}
	first := h.Request(1 * s)
	second := h.Request(4 * s)
	h.RecordGrant(second, 5, terms.Duration, 6*s)
	if got := h.Until(4); got != 0 {
		t.Errorf("below the required index it may act until %v", got)
	}
	if got := h.Until(5); got != 14*s {
		t.Errorf("it may act until %v, want 14 s, which counts from the request", got)
	}
	h.RecordGrant(first, 0, terms.Duration, 7*s)
	if got := h.Until(4); got != 0 {
		t.Errorf("a reply to an older request gives a lease until %v", got)
	}
	h.RecordGrant(h.Request(8*s), 6, time.Hour, 9*s)
	if got := h.Until(6); got != 18*s {
		t.Errorf("a lease longer than the terms' duration lasts until %v, want 18 s", got)
	}
	if got := h.Until(5); got != 14*s {
		t.Errorf("the earlier lease lasts until %v, want 14 s", got)
	}
	late := h.Request(20 * s)
	h.RecordGrant(late, 0, terms.Duration, 31*s)
	if got := h.Until(9); got > 31*s {
		t.Errorf("a reply later than the lease's duration gives a lease until %v", got)
	}
}

// A fence must wait for each holder that may act below it, and for no other.
func TestGranter_LeasesBelow(t *testing.T) {
	terms := Terms{Duration: 10 * time.Second}
	s := time.Second
	g := NewGranter(terms, 100*s)
	a, b := HolderID{"a", 1}, HolderID{"b", 1}
	g.Grant(a, 3, 101*s)
	g.Grant(b, 3, 105*s)
	below := func(index uint64, now time.Duration) (names []string) {
		for _, h := range g.LeasesBelow(index, now) {
			names = append(names, h.Name)
		}
		return names
	}
	for _, c := range []struct {
		name  string
		do    func()
		index uint64
		now   time.Duration
		want  []string
	}{
		{"leases of an earlier leader may be active", func() {}, 3, 106 * s, []string{""}},
		{"all act at 3", func() {}, 3, 110 * s, nil},
		{"only b has a lease", func() {}, 4, 112 * s, []string{"b"}},
		{"b acts at 4", func() { g.RecordRequest(b, 4) }, 4, 112 * s, nil},
		{"a gets a lease at 4", func() { g.Grant(a, 4, 112*s) }, 5, 113 * s, []string{"a", "b"}},
		{"another process of b is another holder", func() { g.Grant(HolderID{"b", 2}, 4, 113*s); g.RecordRequest(b, 9) }, 5, 114 * s, []string{"b", "a"}},
		{"all have expired", func() {}, 9, 124 * s, nil},
	} {
		c.do()
		if got := below(c.index, c.now); !slices.Equal(got, c.want) {
			t.Errorf("%s: below %d at %v: %q, want %q", c.name, c.index, c.now, got, c.want)
		}
	}
}
