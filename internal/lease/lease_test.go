package lease

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// However two clocks drift within what is allowed, however long messages take and wherever a holder stands still, its lease has
// ended before the granter says so, and it never acts below the index that the fence stands at once that is passed.
func TestLease_ExpiresAtHolderFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{Duration: time.Duration(rapid.Int64Range(1e6, 60e9).Draw(t, "length")), MaxDrift: rapid.SampledFrom([]float64{0, 0.01, DefaultDrift}).Draw(t, "drift")}
		rate := func(label string) float64 { return 1 + terms.MaxDrift*rapid.Float64Range(-1, 1).Draw(t, label) }
		holderRate, granterRate := rate("holder's clock"), rate("granter's clock")
		shift := time.Duration(rapid.Int64Range(0, 1e15).Draw(t, "granter's clock is ahead by"))
		holder := func(at time.Duration) time.Duration { return time.Duration(float64(at) * holderRate) }
		granter := func(at time.Duration) time.Duration { return time.Duration(float64(at)*granterRate) + shift }
		h, g := NewHolder(terms), NewGranter(terms, granter(0)-terms.GranterDuration())
		who := HolderID{"a", 1}
		now := time.Duration(0) // true time
		applied, log := uint64(0), uint64(0)
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			pass := func(label string) {
				now += time.Duration(rapid.Int64Range(0, int64(terms.Duration)*3/2).Draw(t, label))
			}
			log += rapid.Uint64Range(0, 2).Draw(t, "entries")
			asked, acts := h.Request(holder(now)), applied
			pass("question's way")
			g.RecordRequest(who, acts)
			need := g.Grant(who, log, granter(now))
			applied = rapid.Uint64Range(applied, log).Draw(t, "applied")
			pass("answer's way")
			h.RecordGrant(asked, need, terms.Duration, holder(now))
			for range 3 {
				pass("then")
				// A rounding of the clocks is no drift: 1 ms of a million seconds is far below it.
				if may := h.Until(applied) > holder(now)+time.Microsecond; may {
					for fence := uint64(0); fence <= log+1; fence++ {
						if len(g.LeasesBelow(fence, granter(now))) == 0 && applied < fence {
							t.Fatalf("at %v it acts at %d under a lease to %v (now %v), and the fence at %d is passed", now, applied, h.Until(applied), holder(now), fence)
						}
					}
				}
			}
		}
	})
}

// Until when a holder may act, request by request.
func TestHolder_Until(t *testing.T) {
	terms := Terms{Duration: 10 * time.Second, MaxDrift: DefaultDrift}
	s := time.Second
	h := NewHolder(terms)
	if h.Until(99) != 0 {
		t.Error("one that has just begun holds a lease")
	}
	first := h.Request(1 * s)
	second := h.Request(4 * s)
	h.RecordGrant(second, 5, terms.Duration, 6*s)
	if got := h.Until(4); got != 0 {
		t.Errorf("behind what it needs it may act to %v", got)
	}
	if got := h.Until(5); got != 14*s {
		t.Errorf("to %v, from before it asked it is 14 s", got)
	}
	h.RecordGrant(first, 0, terms.Duration, 7*s)
	if got := h.Until(4); got != 0 {
		t.Errorf("by the answer to an older question to %v", got)
	}
	h.RecordGrant(h.Request(8*s), 6, time.Hour, 9*s)
	if got := h.Until(6); got != 18*s {
		t.Errorf("a granter gives no more than the terms: %v", got)
	}
	if got := h.Until(5); got != 14*s {
		t.Errorf("the earlier one counts on: %v", got)
	}
	late := h.Request(20 * s)
	h.RecordGrant(late, 0, terms.Duration, 31*s)
	if got := h.Until(9); got > 31*s {
		t.Errorf("an answer as late as a lease is long gives one to %v", got)
	}
}

// The fence waits for each that may act below it, and for nobody else.
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
		what  string
		do    func()
		index uint64
		now   time.Duration
		want  []string
	}{
		{"an earlier leader's leases may live", func() {}, 3, 106 * s, []string{""}},
		{"all are at 3", func() {}, 3, 110 * s, nil},
		{"b alone has one", func() {}, 4, 112 * s, []string{"b"}},
		{"b acts at 4", func() { g.RecordRequest(b, 4) }, 4, 112 * s, nil},
		{"a comes back at 4", func() { g.Grant(a, 4, 112*s) }, 5, 113 * s, []string{"a", "b"}},
		{"another process of b is another holder", func() { g.Grant(HolderID{"b", 2}, 4, 113*s); g.RecordRequest(b, 9) }, 5, 114 * s, []string{"b", "a"}},
		{"all have lapsed", func() {}, 9, 124 * s, nil},
	} {
		c.do()
		if got := below(c.index, c.now); !slices.Equal(got, c.want) {
			t.Errorf("%s: below %d at %v: %q, want %q", c.what, c.index, c.now, got, c.want)
		}
	}
}
