// Package quotatest runs fault tests in which a fleet distributes the quota of a rate limit while links between its senders fail and
// processes are paused, killed, or restarted with an old state folder. It checks from the outside, by the calls that receivers get, that
// the limit is never exceeded. It uses only the sockets and files of a sender.
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

// Options configure a test day.
type Options struct {
	Seed           uint64
	Senders        int
	Voters         int
	Seconds        float64 // duration of the faults, which begin once the limit is in force
	Lease          time.Duration
	Units          int // calls in a span that the limit of receiver 0 allows; default by seed
	Span           time.Duration
	PartitionExtra int           // units that each sender without a lease may use in addition to the limit
	Rate           float64       // messages a second for each of the two receivers; default twice the limit
	Halve          bool          // the limit is halved in the middle of the faults
	Lend           time.Duration // duration for which units are lent to a sender; default that of the sender
	TransitJitter  time.Duration // maximum difference of the transit times of two calls; default 100ms, as the kit and the senders share cores
	GoOn           bool          // senders that are partitioned go on, as far as limits allow
	Kill           string        // sender that is killed shortly after the last sender is partitioned
	Outage         time.Duration // duration for which receiver 0 hangs, from shortly after the start of the faults
	Verdict        bool          // the fleet decides together whether receiver 0 is ejected
	Free           bool          // the fleet has no limit
	Own            bool          // both receivers enforce that limit themselves, and reject the calls above it
	Quiet          bool          // no faults
	KillAll        bool          // all senders are killed at once, twice
	PartitionLast  bool          // the last sender is partitioned from all others once the limit is in force
	Command        []string
	Folder         string
}

// Result is the outcome of a test day.
type Result struct {
	Events  []eventlog.Event
	Options Options
	Limits  []Limit // limits that were in force, with the times from which they must be observed
	Faults  int
	Healed  time.Duration // time at which all faults were healed

	mu       sync.Mutex
	Verdicts map[uint64]*ShownVerdict // verdicts on receiver 0 as senders reported them, by the log entry since which each is in force
}

// ShownVerdict is a verdict that at least one sender reported as in force.
type ShownVerdict struct {
	Kind        string
	First, Last time.Duration // first and last time at which a sender reported the verdict
	Gone        time.Duration // earliest time at which a sender may have dropped the verdict again; 0: none was seen to drop it
}

// lastCertain returns the time until which the verdict was certainly in force. A sender may have learned of the following verdict, or of
// the verdict's end, up to observationDelay before that was observed.
func (r *Result) lastCertain(h *ShownVerdict) time.Duration {
	end := h.Last
	if h.Gone > 0 {
		end = min(end, h.Gone-observationDelay)
	}
	for _, o := range r.Verdicts {
		if o.First > h.First {
			end = min(end, o.First-observationDelay)
		}
	}
	return end
}

// Limit is a limit that must be observed from a time on.
type Limit struct {
	From  time.Duration
	Units int
}

const (
	defaultTransitJitter = 100 * time.Millisecond // default of Options.TransitJitter
	load                 = 0.2
	calmTraffic          = 12 * time.Second // traffic after the faults
	recoveryTime         = 7 * time.Second  // time after the end of the faults from which the fleet's use of its limit is measured
	queryTimeout         = time.Second
	proposeTimeout       = 40 * time.Second
	faultsStart          = 8 * time.Second // start of the faults; the limit is in force by then
)

// defaults sets the options that are not given, some of them by the seed.
func (o Options) defaults() Options {
	rng := rand.New(rand.NewPCG(o.Seed, 31))
	if o.Lease == 0 {
		o.Lease = time.Second
	}
	if o.TransitJitter == 0 {
		o.TransitJitter = defaultTransitJitter
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

// bindingDelay returns the time after which all calls must observe a limit that was seen in force. By then the lease of a sender that has not
// learned of the limit has expired, and earlier calls have left the span. For a later limit, the units lent under an earlier limit must
// have expired, too.
func (o Options) bindingDelay(later bool) time.Duration {
	d := time.Duration(float64(o.Lease)*1.05) + policytest.Grace + o.Span + o.TransitJitter
	if later {
		d += time.Duration(float64(o.Lend)*1.05) + o.Span + o.TransitJitter
	}
	return d
}

// Script returns the test script of a seed: traffic for two receivers, and faults.
func (o Options) Script() string {
	o = o.defaults()
	var b strings.Builder
	seconds := faultsStart.Seconds() + o.Seconds + calmTraffic.Seconds()
	fmt.Fprintf(&b, "[day]\nseconds = %v\nseed = %d\nrate = %v\nsenders = %d\nreceivers = 2\nendpoints = [1, 1]\nload = %v\nzipf = 0.0\nretries = 0\ngrace = \"400ms\"\nfeatures = '''\n", seconds, o.Seed, 2*o.Rate, o.Senders, load)
	fmt.Fprintf(&b, "[fleet]\ncluster = \"ration\"\nlease = \"%v\"\nlend = \"%v\"\n", o.Lease, o.Lend)
	for v := range o.Voters {
		fmt.Fprintf(&b, "[[fleet.voter]]\nname = \"n%d\"\naddress = \"{n%d:7948}\"\n", v, v)
	}
	fmt.Fprintf(&b, "{reach fleet 7948}\n'''\n[[class]]\nname = \"card-event\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"2500ms\"\n")
	if o.Own { // the script states a receiver's limit as a fraction of its calls at full load
		fmt.Fprintf(&b, "[[kind]]\nname = \"limited\"\nlimit = \"window\"\nwindow = \"%v\"\nlimit_room = [%[2]g, %[2]g]\nreports = true\n", o.Span, 1.001*float64(o.Units)/o.Span.Seconds()*load/o.Rate)
	}
	if o.PartitionLast {
		fmt.Fprintf(&b, "[[link]]\ndo = \"cut\"\nfrom = \"n%d\"\nto = \"all\"\nboth = true\nat = \"%v\"\nfor = \"%vs\"\n", o.Senders-1, faultsStart+2*time.Second, o.Seconds)
	}
	if o.Outage > 0 {
		fmt.Fprintf(&b, "[[trouble]]\nwhat = \"hang\"\nwho = {name = \"r0\"}\nat = \"%v\"\nfor = \"%v\"\n", faultsStart+500*time.Millisecond, o.Outage)
	}
	if o.Kill != "" {
		fmt.Fprintf(&b, "[[sender]]\ndo = \"kill\"\nwhich = %q\nat = \"%v\"\n", o.Kill, faultsStart+2200*time.Millisecond)
	}
	if o.KillAll {
		for _, at := range []float64{0.3, 0.6} {
			fmt.Fprintf(&b, "[[sender]]\ndo = \"kill\"\nwhich = \"all\"\nat = \"%vs\"\n", faultsStart.Seconds()+at*o.Seconds)
		}
	}
	if !o.Quiet {
		b.WriteString(policytest.Faults(rand.New(rand.NewPCG(o.Seed, 7)), o.Senders, faultsStart, faultsStart+time.Duration(o.Seconds*float64(time.Second))))
	}
	return b.String()
}

// document returns the policy document, which limits receiver 0. Receiver 1 has no limit unless Own is set, so that delays with another
// cause are visible there.
func (o Options) document(units int) []byte {
	text := ""
	if o.GoOn {
		text = "cut_off = \"go-on\"\ngo_on_for = \"5m\"\n"
	}
	if o.Verdict {
		text += fmt.Sprintf("[[verdict]]\ndestinations = [0]\nprobe = \"%v\"\ncold = %d\nwarm = %d\nwarm_for = \"%v\"\nlasts = \"6s\"\ntransit = \"%v\"\n", Probe, SlowStartRate, Warm, WarmFor, o.TransitJitter)
	}
	if o.Free {
		return []byte(text)
	}
	both := "0"
	if o.Own {
		both = "0, 1"
	}
	return fmt.Appendf(nil, text+"[[limit]]\ndestinations = [%s]\ncalls = %d\nspan = \"%v\"\ntransit = \"%v\"\nover = %d\n", both, units, o.Span, o.TransitJitter, o.PartitionExtra)
}

// Run runs the test day of a seed.
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

// during sets the limit, halves it in the middle of the faults if the options say so, and heals all faults at their end.
func (r *Result) during(ctx context.Context, d *day.Day) error {
	o := r.Options
	setLimit := func(units int) error {
		at, err := propose(ctx, d, o.Senders, o.document(units))
		if err != nil {
			return err
		}
		r.Limits = append(r.Limits, Limit{at + o.bindingDelay(len(r.Limits) > 0), units})
		return nil
	}
	if err := setLimit(o.Units); err != nil {
		return fmt.Errorf("set the limit: %w", err)
	}
	if o.Verdict {
		watchCtx, stop := context.WithCancel(ctx)
		var watching sync.WaitGroup
		for i := range o.Senders {
			watching.Add(1)
			go func() {
				defer watching.Done()
				r.watch(watchCtx, d, i)
			}()
		}
		defer func() {
			day.Sleep(ctx, recoveryTime+WarmFor) // the receiver's recovery and slow start are watched, too
			stop()
			watching.Wait()
		}()
	}
	faultsEnd := faultsStart + time.Duration(o.Seconds*float64(time.Second))
	if o.Halve {
		day.Sleep(ctx, faultsStart+(faultsEnd-faultsStart)/2-d.Now())
		if err := setLimit(max(1, o.Units/2)); err != nil {
			return fmt.Errorf("halve the limit: %w", err)
		}
	}
	day.Sleep(ctx, faultsEnd-d.Now())
	d.Heal()
	r.Healed = d.Now()
	return nil
}

// watch polls a sender for its verdict on receiver 0, and records when each verdict was seen first and last.
func (r *Result) watch(ctx context.Context, d *day.Day, i int) {
	last, shown := time.Duration(0), uint64(0)
	for ctx.Err() == nil {
		before := d.Now()
		all, err := policytest.Verdicts(ctx, d, i, queryTimeout)
		if err != nil {
			day.Sleep(ctx, pollInterval)
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
			h.Last = max(h.Last, before) // the verdict was still in force when the query was sent
		}
		if h := r.Verdicts[shown]; h != nil && now != shown && (h.Gone == 0 || last < h.Gone) {
			h.Gone = last
		}
		last, shown = before, now
		r.mu.Unlock()
		day.Sleep(ctx, pollInterval)
	}
}

// propose proposes a document to the senders in turn until a new version is in force, and returns the time at which that was seen.
func propose(ctx context.Context, d *day.Day, senders int, document []byte) (time.Duration, error) {
	var err error
	for end := time.Now().Add(proposeTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		for i := range senders {
			var version uint64
			if version, err = policytest.Version(ctx, d, i, queryTimeout); err != nil {
				continue
			}
			if err = policytest.Propose(ctx, d, i, version, document); err != nil {
				continue
			}
			for ; time.Now().Before(end) && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
				for j := range senders {
					if inForce, err := policytest.Version(ctx, d, j, queryTimeout); err == nil && inForce > version {
						return d.Now(), nil
					}
				}
			}
		}
	}
	return 0, errors.Join(err, ctx.Err(), errNotInForce)
}

// The verdict rule of a day with verdicts: probe interval while the receiver is ejected, and slow start after its return.
const (
	Probe         = 500 * time.Millisecond
	SlowStartRate = 5
	Warm          = 60
	WarmFor       = 8 * time.Second

	// verdictDelay is the time after which every sender obeys a verdict that was first seen at any sender: the lease of a sender that has not
	// learned of the verdict has expired by then.
	verdictDelay     = 1500 * time.Millisecond
	pollInterval     = 40 * time.Millisecond
	observationDelay = time.Second // maximum time by which the receiver's owner may learn of its return before this was observed
)

// Return is the result of the check of a receiver's outage and return, from the calls that the receiver got.
type Return struct {
	Broken    []string
	Judged    int           // calls that were made under a verdict
	Probes    int           // those of them that were made while the receiver was ejected
	PeakCalls int           // maximum of the calls in one second, within WarmFor after the return
	Early     int           // calls in the first two seconds after the return
	Full      time.Duration // time from the return until four fifths of the messages for the receiver are served again
}

// CheckReturn checks the calls of an outage. While a verdict was certainly in force at some sender, and once every sender must obey it,
// all senders together may make one call in each Probe interval while the receiver is ejected, or as many calls as slow start allows.
func CheckReturn(r *Result) (v Return) {
	var hungFrom, hungUntil, servesFrom time.Duration
	var calls, served []time.Duration
	for _, e := range r.Events {
		t := time.Duration(e.T) * time.Microsecond
		switch {
		case e.Dest != 0:
		case e.Kind == eventlog.FaultChanged && e.State == "on":
			hungFrom = t
		case e.Kind == eventlog.FaultChanged:
			hungUntil = t
		case e.Kind == eventlog.Call:
			calls = append(calls, time.Duration(e.First)*time.Microsecond)
		case e.Kind == eventlog.Done && e.Status == 200:
			if served = append(served, t); hungUntil > 0 && servesFrom == 0 && t > hungUntil {
				servesFrom = t
			}
		}
	}
	slices.Sort(calls)
	if servesFrom == 0 {
		v.Broken = append(v.Broken, "receiver 0 served no call after its outage")
		return v
	}
	// maxCalls returns the maximum number of calls in a span that ends at a time; a span of 0 means no limit.
	maxCalls := func(t time.Duration) (n int, span time.Duration) {
		for _, h := range r.Verdicts {
			switch since := t - h.First; {
			case t > r.lastCertain(h):
			case h.Kind == "out" && since > verdictDelay+Probe:
				return 1, Probe
			case h.Kind == "cold" && since > verdictDelay+time.Second:
				grown := float64(Warm-SlowStartRate) * (since + observationDelay).Seconds() / WarmFor.Seconds()
				return min(Warm, SlowStartRate+int(grown)), time.Second
			}
		}
		return 0, 0
	}
	for i, t := range calls {
		if t > servesFrom && t < servesFrom+2*time.Second {
			v.Early++
		}
		n, span := maxCalls(t)
		if span == Probe {
			v.Probes++
		}
		second := 1 // calls in the second that ends at t
		for j := i - 1; j >= 0 && calls[j] > t-time.Second; j-- {
			second++
		}
		if t > servesFrom && t < servesFrom+WarmFor {
			v.PeakCalls = max(v.PeakCalls, second)
		}
		if span > 0 {
			v.Judged++
			count := 1
			for j := i - 1; j >= 0 && calls[j] > t-span; j-- {
				count++
			}
			if count > n {
				v.Broken = append(v.Broken, fmt.Sprintf("%d calls to receiver 0 in the %v up to %v; the maximum is %d (the receiver hung from %v to %v and has served calls again since %v)", count, span, t, n, hungFrom, hungUntil, servesFrom))
			}
		}
	}
	for at := servesFrom; ; at += 250 * time.Millisecond {
		n := 0
		for _, t := range served {
			if t > at && t <= at+time.Second {
				n++
			}
		}
		if float64(n) >= 0.8*r.Options.Rate || at > servesFrom+time.Minute {
			v.Full = at - servesFrom
			return v
		}
	}
}

// Verdict is what the checker found.
type Verdict struct {
	Broken   []string
	Calls    int // checked calls to receiver 0
	MaxUnits int // maximum number of calls in a span
	Spans    int // spans that used the limit completely
	// Used is the fraction of the limit that was used without faults: after recovery, or all the time on a quiet day.
	Used    float64
	Refused int // rejections (429 or 503) by receiver 0 from faultsStart on, when the limit of the fleet applies
	Served  int // messages that receiver 0 served from faultsStart on
}

// Check checks that no span has more calls to receiver 0 than the limit in force allows, plus PartitionExtra for each sender. Only
// spans during which a limit is binding from start to end are checked.
func Check(r *Result) Verdict {
	var v Verdict
	o := r.Options
	var calls []time.Duration
	end := time.Duration(0)
	for _, e := range r.Events {
		end = max(end, time.Duration(e.T)*time.Microsecond)
		if e.Kind == eventlog.Call && e.Dest == 0 {
			calls = append(calls, time.Duration(e.First)*time.Microsecond)
		}
		switch late := time.Duration(e.T)*time.Microsecond >= faultsStart; {
		case e.Kind != eventlog.Done || !late || e.Dest != 0:
		case e.Status == 429 || e.Status == 503:
			v.Refused++
		case e.Status == 200:
			v.Served++
		}
	}
	slices.Sort(calls)
	for i, w := range r.Limits {
		until := end
		if i+1 < len(r.Limits) {
			until = r.Limits[i+1].From // the next, lower limit is binding from then on
		}
		maxCalls := w.Units + o.PartitionExtra*o.Senders
		first := 0
		for j, t := range calls {
			if t < w.From || t > until {
				first = j + 1
				continue
			}
			for calls[first] <= t-o.Span {
				first++
			}
			n := j + 1 - first
			v.Calls++
			v.MaxUnits = max(v.MaxUnits, n)
			if n == w.Units {
				v.Spans++
			}
			if n > maxCalls {
				v.Broken = append(v.Broken, fmt.Sprintf("%d calls to receiver 0 in the %v up to %v; the maximum is %d", n, o.Span, t, maxCalls))
				first = j + 1 // reports the violation once, not for each further call
			}
		}
	}
	if n := len(r.Limits); n > 0 {
		from := max(r.Limits[n-1].From, r.Healed+recoveryTime)
		if o.Quiet && !o.KillAll && !o.PartitionLast {
			from = r.Limits[n-1].From
		}
		until := faultsStart + time.Duration(o.Seconds*float64(time.Second)) + calmTraffic
		used := 0
		for _, t := range calls {
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

// errNotInForce means that a policy document with a limit was not in force within proposeTimeout.
var errNotInForce = errors.New("no new policy version was in force within " + proposeTimeout.String())
