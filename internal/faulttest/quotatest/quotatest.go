// Package quotatest plays days on which a fleet shares a limit out while links between its senders fail and processes are paused, killed, or
// come back with an old folder, and judges from outside whether the limit held: by what receivers got. It knows a sender by
// its sockets and files only.
package quotatest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/day"
	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/policytest"
	"saffronyard.example/saffronyard/internal/faulttest/script"
)

// Options say what is played.
type Options struct {
	Seed          uint64
	Senders       int
	Voters        int
	Seconds       float64 // of faults, once the limit is in force
	Lease         time.Duration
	Units         int // calls in a span that the limit of receiver 0 allows; default by seed
	Span          time.Duration
	Over          int
	Rate          float64       // messages a second for each of the two receivers; default twice the limit
	Halve         bool          // the limit is halved in the middle
	Lend          time.Duration // how long units are lent for; default the sender's own
	Transit       time.Duration // of the limit; default 100ms, as the kit's processes share the machine's cores with the senders
	GoOn          bool          // senders that are cut off go on, as far as limits let them
	Kill          string        // a sender that is killed a little after the last one is cut off
	Outage        time.Duration // receiver 0 hangs for so long, from a little after the begin of the faults
	Verdict       bool          // the fleet holds together whether it is out
	Free          bool          // no limit of the fleet's
	Own           bool          // both receivers keep that limit themselves, and refuse what is above it
	Quiet         bool          // no faults
	KillAll       bool          // all are killed at once, twice
	PartitionLast bool          // the last sender is cut off from all others once the limit is in force
	Command       []string
	Folder        string
}

// Result is what became of a day.
type Result struct {
	Events  []eventlog.Event
	Options Options
	Limits  []Limit // limits that were in force, and from when they bind
	Faults  int
	Healed  time.Duration // all is sound from here on

	mu       sync.Mutex
	Verdicts map[uint64]*ShownVerdict // verdicts on receiver 0 as senders showed them, by the entry from which each stands
}

// ShownVerdict is a verdict that some sender was seen to go by.
type ShownVerdict struct {
	Kind        string
	First, Last time.Duration
	Gone        time.Duration // a sender that had shown it was seen without it, not before then; 0: none was
}

// lastCertain is until when it surely stood: another that follows it, or its end, may have been known before it was seen.
func (r *Result) lastCertain(h *ShownVerdict) time.Duration {
	end := h.Last
	if h.Gone > 0 {
		end = min(end, h.Gone-eager)
	}
	for _, o := range r.Verdicts {
		if o.First > h.First {
			end = min(end, o.First-eager)
		}
	}
	return end
}

// Limit is a limit that binds from a time on.
type Limit struct {
	From  time.Duration
	Units int
}

const (
	transit  = 100 * time.Millisecond // the default
	load     = 0.2
	calm     = 12 * time.Second // of traffic behind the faults
	heals    = 7 * time.Second  // after which a fleet that is sound again is held to use its limit
	askTime  = time.Second
	waitTime = 40 * time.Second
	begins   = 8 * time.Second // by then the limit is in force, and faults begin
)

// defaults fills in what a seed draws.
func (o Options) defaults() Options {
	rng := rand.New(rand.NewPCG(o.Seed, 31))
	if o.Lease == 0 {
		o.Lease = time.Second
	}
	if o.Transit == 0 {
		o.Transit = transit
	}
	if o.Lend == 0 {
		o.Lend = o.Lease*3/2 + 500*time.Millisecond
	}
	if o.Span == 0 {
		o.Span = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second}[rng.IntN(3)]
	}
	if o.Units == 0 {
		o.Units = []int{2, 6, 20, 40}[rng.IntN(4)]
	}
	if o.Rate == 0 {
		o.Rate = min(120, max(10, 2*float64(o.Units)/o.Span.Seconds()))
	}
	return o
}

// binds is how long after a limit was seen to be in force it binds every call: a sender that has not heard of it has no lease by then,
// and what was called before has left the span; of a later one, what was lent under an earlier one has lapsed as well.
func (o Options) binds(later bool) time.Duration {
	d := time.Duration(float64(o.Lease)*1.05) + policytest.Grace + o.Span + o.Transit
	if later {
		d += time.Duration(float64(o.Lend)*1.05) + o.Span + o.Transit
	}
	return d
}

// Script is the day of a seed: traffic for two receivers, and faults.
func (o Options) Script() string {
	o = o.defaults()
	var b strings.Builder
	seconds := begins.Seconds() + o.Seconds + calm.Seconds()
	fmt.Fprintf(&b, "[day]\nseconds = %v\nseed = %d\nrate = %v\nsenders = %d\nreceivers = 2\nendpoints = [1, 1]\nload = %v\nzipf = 0.0\nretries = 0\ngrace = \"400ms\"\nfeatures = '''\n", seconds, o.Seed, 2*o.Rate, o.Senders, load)
	fmt.Fprintf(&b, "[fleet]\ncluster = \"ration\"\nlease = \"%v\"\nlend = \"%v\"\n", o.Lease, o.Lend)
	for v := range o.Voters {
		fmt.Fprintf(&b, "[[fleet.voter]]\nname = \"n%d\"\naddress = \"{n%d:7948}\"\n", v, v)
	}
	fmt.Fprintf(&b, "{reach fleet 7948}\n'''\n[[class]]\nname = \"card-event\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"2500ms\"\n")
	if o.Own { // what a receiver takes is stated over its calls at full load
		fmt.Fprintf(&b, "[[kind]]\nname = \"limited\"\nlimit = \"window\"\nwindow = \"%v\"\nlimit_room = [%[2]g, %[2]g]\nreports = true\n", o.Span, 1.001*float64(o.Units)/o.Span.Seconds()*load/o.Rate)
	}
	if o.PartitionLast {
		fmt.Fprintf(&b, "[[link]]\ndo = \"cut\"\nfrom = \"n%d\"\nto = \"all\"\nboth = true\nat = \"%v\"\nfor = \"%vs\"\n", o.Senders-1, begins+2*time.Second, o.Seconds)
	}
	if o.Outage > 0 {
		fmt.Fprintf(&b, "[[trouble]]\nwhat = \"hang\"\nwho = {name = \"r0\"}\nat = \"%v\"\nfor = \"%v\"\n", begins+500*time.Millisecond, o.Outage)
	}
	if o.Kill != "" {
		fmt.Fprintf(&b, "[[sender]]\ndo = \"kill\"\nwhich = %q\nat = \"%v\"\n", o.Kill, begins+2200*time.Millisecond)
	}
	if o.KillAll {
		for _, at := range []float64{0.3, 0.6} {
			fmt.Fprintf(&b, "[[sender]]\ndo = \"kill\"\nwhich = \"all\"\nat = \"%vs\"\n", begins.Seconds()+at*o.Seconds)
		}
	}
	if !o.Quiet {
		b.WriteString(policytest.Faults(rand.New(rand.NewPCG(o.Seed, 7)), o.Senders, begins, begins+time.Duration(o.Seconds*float64(time.Second))))
	}
	return b.String()
}

// document limits receiver 0; receiver 1 goes free, so that what is held up by something else shows.
func (o Options) document(units int) []byte {
	text := ""
	if o.GoOn {
		text = "cut_off = \"go-on\"\ngo_on_for = \"5m\"\n"
	}
	if o.Verdict {
		text += fmt.Sprintf("[[verdict]]\ndestinations = [0]\nprobe = \"%v\"\ncold = %d\nwarm = %d\nwarm_for = \"%v\"\nlasts = \"6s\"\ntransit = \"%v\"\n", Probe, SlowStartRate, Warm, WarmFor, o.Transit)
	}
	if o.Free {
		return []byte(text)
	}
	both := "0"
	if o.Own {
		both = "0, 1"
	}
	return fmt.Appendf(nil, text+"[[limit]]\ndestinations = [%s]\ncalls = %d\nspan = \"%v\"\ntransit = \"%v\"\nover = %d\n", both, units, o.Span, o.Transit, o.Over)
}

// Run plays the day of a seed.
func Run(ctx context.Context, o Options) (*Result, error) {
	o = o.defaults()
	s, err := script.Parse("ration.toml", []byte(o.Script()))
	if err != nil {
		return nil, err
	}
	plan, err := s.Make()
	if err != nil {
		return nil, err
	}
	r := &Result{Options: o, Faults: len(plan.Acts), Verdicts: map[uint64]*ShownVerdict{}}
	var failed error
	r.Events, _, err = day.Play(ctx, plan, day.Options{Command: o.Command, Folder: o.Folder, During: func(ctx context.Context, d *day.Day) { failed = r.during(ctx, d) }})
	return r, errors.Join(err, failed)
}

// during sets the limit, halves it in the middle if that is wanted, and heals all once the faults are over.
func (r *Result) during(ctx context.Context, d *day.Day) error {
	o := r.Options
	limit := func(units int) error {
		at, err := propose(ctx, d, o.Senders, o.document(units))
		if err != nil {
			return err
		}
		r.Limits = append(r.Limits, Limit{at + o.binds(len(r.Limits) > 0), units})
		return nil
	}
	if err := limit(o.Units); err != nil {
		return fmt.Errorf("the limit does not come in force: %w", err)
	}
	if o.Verdict {
		watch, stop := context.WithCancel(ctx)
		var watching sync.WaitGroup
		for i := range o.Senders {
			watching.Add(1)
			go func() {
				defer watching.Done()
				r.watch(watch, d, i)
			}()
		}
		defer func() {
			day.Sleep(ctx, heals+WarmFor) // the return is watched, too
			stop()
			watching.Wait()
		}()
	}
	over := begins + time.Duration(o.Seconds*float64(time.Second))
	if o.Halve {
		day.Sleep(ctx, begins+(over-begins)/2-d.Now())
		if err := limit(max(1, o.Units/2)); err != nil {
			return fmt.Errorf("the limit is not halved: %w", err)
		}
	}
	day.Sleep(ctx, over-d.Now())
	d.Heal()
	r.Healed = d.Now()
	return nil
}

// watch sees which verdict a sender goes by.
func (r *Result) watch(ctx context.Context, d *day.Day, i int) {
	last, shown := time.Duration(0), uint64(0)
	for ctx.Err() == nil {
		before := d.Now()
		all, err := policytest.Verdicts(ctx, d, i, askTime)
		if err != nil {
			day.Sleep(ctx, look)
			continue
		}
		r.mu.Lock()
		now := uint64(0)
		for _, v := range all {
			if v.Destination != 0 {
				continue
			}
			now = v.Since
			h := r.Verdicts[v.Since]
			if h == nil {
				h = &ShownVerdict{Kind: v.Verdict, First: d.Now()}
				r.Verdicts[v.Since] = h
			}
			h.Last = max(h.Last, before) // it was still so when it was asked
		}
		if h := r.Verdicts[shown]; h != nil && now != shown && (h.Gone == 0 || last < h.Gone) {
			h.Gone = last
		}
		last, shown = before, now
		r.mu.Unlock()
		day.Sleep(ctx, look)
	}
}

// propose has a document take hold, by whichever sender answers, and gives when it was seen to.
func propose(ctx context.Context, d *day.Day, senders int, document []byte) (time.Duration, error) {
	var err error
	for end := time.Now().Add(waitTime); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		for i := range senders {
			var version uint64
			if version, err = policytest.Version(ctx, d, i, askTime); err != nil {
				continue
			}
			if err = policytest.Propose(ctx, d, i, version, document); err != nil {
				continue
			}
			for ; time.Now().Before(end) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
				for j := range senders {
					if is, err := policytest.Version(ctx, d, j, askTime); err == nil && is > version {
						return d.Now(), nil
					}
				}
			}
		}
	}
	return 0, errors.Join(err, ctx.Err(), errNotInForce)
}

// The rule of a day with verdicts.
const (
	Probe         = 500 * time.Millisecond
	SlowStartRate = 5
	Warm          = 60
	WarmFor       = 8 * time.Second

	// acts is how long after a verdict was first seen somewhere each sender goes by it: one that has not heard of it has no lease by then.
	acts  = 1500 * time.Millisecond
	look  = 40 * time.Millisecond
	eager = time.Second // by so much may the one in charge have heard of a return sooner than it was seen
)

// Return is what became of a receiver's outage, as the receiver saw it.
type Return struct {
	Broken    []string
	Judged    int           // calls that came under a verdict
	Probes    int           // and of those, while it was held to be out
	PeakCalls int           // calls that came in one second within WarmFor of its return
	Early     int           // calls that came in the first two seconds of it
	Full      time.Duration // from its return until four fifths of what is handed in for it are served again
}

// CheckReturn judges an outage: while a verdict was seen to stand at some sender, from a lease after it was first seen, one call of all
// senders comes in Probe, or no more than the ramp allows.
func CheckReturn(r *Result) (v Return) {
	var off, on, back time.Duration
	var calls, served []time.Duration
	for _, e := range r.Events {
		t := time.Duration(e.T) * time.Microsecond
		switch {
		case e.Dest != 0:
		case e.Kind == eventlog.FaultChanged && e.State == "on":
			off = t
		case e.Kind == eventlog.FaultChanged:
			on = t
		case e.Kind == eventlog.Call:
			calls = append(calls, time.Duration(e.First)*time.Microsecond)
		case e.Kind == eventlog.Done && e.Status == 200:
			if served = append(served, t); on > 0 && back == 0 && t > on {
				back = t
			}
		}
	}
	slices.Sort(calls)
	if back == 0 {
		v.Broken = append(v.Broken, "it never serves again")
		return v
	}
	// most is how many may come in a span that ends at a time.
	most := func(t time.Duration) (n int, span time.Duration) {
		for _, h := range r.Verdicts {
			switch since := t - h.First; {
			case t > r.lastCertain(h):
			case h.Kind == "out" && since > acts+Probe:
				return 1, Probe
			case h.Kind == "cold" && since > acts+time.Second:
				grown := float64(Warm-SlowStartRate) * (since + eager).Seconds() / WarmFor.Seconds()
				return min(Warm, SlowStartRate+int(grown)), time.Second
			}
		}
		return 0, 0
	}
	for i, t := range calls {
		if t > back && t < back+2*time.Second {
			v.Early++
		}
		n, span := most(t)
		if span == Probe {
			v.Probes++
		}
		second := 1 // with those of the second before
		for j := i - 1; j >= 0 && calls[j] > t-time.Second; j-- {
			second++
		}
		if t > back && t < back+WarmFor {
			v.PeakCalls = max(v.PeakCalls, second)
		}
		if span > 0 {
			v.Judged++
			came := 1
			for j := i - 1; j >= 0 && calls[j] > t-span; j-- {
				came++
			}
			if came > n {
				v.Broken = append(v.Broken, fmt.Sprintf("%d calls of receiver 0 in the %v up to %v, where %d are the most (it hung from %v to %v, and serves since %v)", came, span, t, n, off, on, back))
			}
		}
	}
	for at := back; ; at += 250 * time.Millisecond {
		n := 0
		for _, t := range served {
			if t > at && t <= at+time.Second {
				n++
			}
		}
		if float64(n) >= 0.8*r.Options.Rate || at > back+time.Minute {
			v.Full = at - back
			return v
		}
	}
}

// Verdict is what the checker found.
type Verdict struct {
	Broken   []string
	Calls    int // of receiver 0 that were judged
	MaxUnits int // in a span
	Spans    int // that were full
	// Used is what share of the limit was used while all was sound: behind the healing, or all the time on a quiet day.
	Used    float64
	Refused int // answers of receiver 0 that was over a limit of its own, once the fleet's would bind
	Served  int // messages that it served from then on
}

// Check judges a day: in no span are there more calls of receiver 0 than the limit that binds then allows, and its allowance for each
// sender. A span lies under a limit that binds from its begin to its end.
func Check(r *Result) Verdict {
	var v Verdict
	o := r.Options
	var at []time.Duration
	end := time.Duration(0)
	for _, e := range r.Events {
		end = max(end, time.Duration(e.T)*time.Microsecond)
		if e.Kind == eventlog.Call && e.Dest == 0 {
			at = append(at, time.Duration(e.First)*time.Microsecond)
		}
		switch late := time.Duration(e.T)*time.Microsecond >= begins; {
		case e.Kind != eventlog.Done || !late || e.Dest != 0:
		case e.Status == 429 || e.Status == 503:
			v.Refused++
		case e.Status == 200:
			v.Served++
		}
	}
	slices.Sort(at)
	for i, w := range r.Limits {
		until := end
		if i+1 < len(r.Limits) {
			until = r.Limits[i+1].From // what is lower binds then
		}
		most := w.Units + o.Over*o.Senders
		first := 0
		for j, t := range at {
			if t < w.From || t > until {
				first = j + 1
				continue
			}
			for at[first] <= t-o.Span {
				first++
			}
			n := j + 1 - first
			v.Calls++
			v.MaxUnits = max(v.MaxUnits, n)
			if n == w.Units {
				v.Spans++
			}
			if n > most {
				v.Broken = append(v.Broken, fmt.Sprintf("%d calls of receiver 0 in the %v up to %v, where %d are the most", n, o.Span, t, most))
				first = j + 1 // the same is not told for each call
			}
		}
	}
	if n := len(r.Limits); n > 0 {
		from := max(r.Limits[n-1].From, r.Healed+heals)
		if o.Quiet && !o.KillAll && !o.PartitionLast {
			from = r.Limits[n-1].From
		}
		until := begins + time.Duration(o.Seconds*float64(time.Second)) + calm
		used := 0
		for _, t := range at {
			if t >= from && t < until {
				used++
			}
		}
		if until > from+o.Span {
			v.Used = float64(used) / (float64(r.Limits[n-1].Units) * (until - from).Seconds() / o.Span.Seconds())
		}
	}
	return v
}

// errNotInForce means that a limit did not take hold in time.
var errNotInForce = errors.New("not within " + waitTime.String())
