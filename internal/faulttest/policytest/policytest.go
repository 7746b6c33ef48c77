// Package policytest runs fault tests in which a fleet changes its policy while links between its senders fail and processes are
// paused, killed, or restarted with an old state folder. It checks from the outside that each change takes effect on all senders or on
// none: by the calls that receivers get, and by the results that operators get. It uses only the sockets and files of a sender.
package policytest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/day"
	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/fleet"
	"saffronyard.example/saffronyard/internal/faulttest/script"
)

// Options configure a test day.
type Options struct {
	Seed          uint64
	Senders       int
	Voters        int
	Seconds       float64       // duration of faults and changes, without the recovery that follows
	Lease         time.Duration // default 1s
	Quiet         bool          // no faults
	KillAll       bool          // all senders are killed at once, twice
	PartitionLast bool          // the last sender is partitioned from all others before the first change, for the rest of the faults
	Paused        int           // number of senders that are paused before the first change, for the rest of the faults
	Command       []string      // command line of the sender
	Folder        string
}

// Change is a policy change that an operator proposed, as that operator and others observed it. Times are relative to the start of
// the day.
type Change struct {
	Base         uint64
	Asked        time.Duration // time of the proposal
	Version      uint64        // version that the change committed; 0: none, or unknown
	Known        bool          // the outcome is known
	Refused      string        // reason why the fleet rejected the proposal at once
	InForce      uint64        // version in force according to Refused; 0: not stated
	Aborted      bool
	Acknowledged time.Duration // time at which the operator learned the outcome
}

// Result is the outcome of a test day.
type Result struct {
	Events         []eventlog.Event
	Changes        []Change
	Seen           map[uint64]time.Duration // time at which each version was first seen in force at any sender
	FinalHistories []string                 // policy history of each sender after recovery
	Faults         int
}

const (
	pollInterval    = 15 * time.Millisecond // interval at which senders are polled for their version
	queryTimeout    = 300 * time.Millisecond
	proposeTimeout  = 5 * time.Second  // time-out of the response to a proposal
	recoveryTimeout = 30 * time.Second // time within which all senders must agree after the faults
	maxSuspend      = 2500 * time.Millisecond
	calmTraffic     = 4 * time.Second // traffic after the faults

	operatorCount = 2
	// minVersionTime is the minimum time between a version's commit and the next proposal on a day with a partitioned sender. Once
	// the next version is proposed, a call that the current version forbids may have been made under the next version. Only a call
	// before that proposal proves that a sender does not obey the current version.
	minVersionTime = 1500 * time.Millisecond
)

// Script returns the test script of a seed: traffic for two receivers, and faults.
func (o Options) Script() string {
	rng := rand.New(rand.NewPCG(o.Seed, 7))
	var b strings.Builder
	fmt.Fprintf(&b, "[day]\nseconds = %v\nseed = %d\nrate = 80\nsenders = %d\nreceivers = 2\nendpoints = [1, 1]\nload = 0.2\nzipf = 0.0\nretries = 0\ngrace = \"400ms\"\nfeatures = '''\n", o.Seconds+calmTraffic.Seconds(), o.Seed, o.Senders)
	fmt.Fprintf(&b, "[fleet]\ncluster = \"concord\"\nlease = \"%v\"\n", o.Lease)
	for v := range o.Voters {
		fmt.Fprintf(&b, "[[fleet.voter]]\nname = \"n%d\"\naddress = \"{n%d:7948}\"\n", v, v)
	}
	fmt.Fprintf(&b, "'''\n[[class]]\nname = \"card-event\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"1500ms\"\n")
	for i := range o.Paused {
		fmt.Fprintf(&b, "[[sender]]\ndo = \"pause\"\nwhich = \"n%d\"\nat = \"50ms\"\nfor = \"%vs\"\n", o.Senders-1-i, o.Seconds+5)
	}
	if o.PartitionLast {
		fmt.Fprintf(&b, "[[link]]\ndo = \"cut\"\nfrom = \"n%d\"\nto = \"all\"\nboth = true\nat = \"1s\"\nfor = \"%vs\"\n", o.Senders-1, o.Seconds)
	}
	if o.KillAll {
		for _, at := range []float64{0.4, 0.7} {
			fmt.Fprintf(&b, "[[sender]]\ndo = \"kill\"\nwhich = \"all\"\nat = \"%vs\"\n", at*o.Seconds)
		}
	}
	if o.Quiet {
		return b.String()
	}
	b.WriteString(Faults(rng, o.Senders, 0, time.Duration((o.Seconds-1)*float64(time.Second))))
	return b.String()
}

// Faults returns script entries with random faults of the links and processes of n0 to n(senders-1), between two times.
func Faults(rng *rand.Rand, senders int, from, until time.Duration) string {
	var b strings.Builder
	at := from
	span := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
	}
	randomSender := func() int { return rng.IntN(senders) }
	snapshotTaken := map[int]bool{}
	freeFrom := make([]time.Duration, senders) // earliest next fault of each process, so that a process has one fault at a time
	for {
		at += span(150*time.Millisecond, 900*time.Millisecond)
		if at > until {
			return b.String()
		}
		a, c := randomSender(), randomSender()
		for c == a {
			c = randomSender()
		}
		lasts := span(200*time.Millisecond, maxSuspend)
		switch n := rng.IntN(10); {
		case n < 2: // one-way partition of two senders
			fmt.Fprintf(&b, "[[link]]\ndo = \"cut\"\nfrom = \"n%d\"\nto = \"n%d\"\nat = \"%v\"\nfor = \"%v\"\n", a, c, at, lasts)
		case n < 4: // partition of one sender from all others
			fmt.Fprintf(&b, "[[link]]\ndo = \"cut\"\nfrom = \"n%d\"\nto = \"all\"\nboth = true\nat = \"%v\"\nfor = \"%v\"\n", a, at, lasts)
		case n < 5:
			do := []string{"do = \"reset\"", "do = \"freeze\"\nfor = \"" + lasts.String() + "\"", "do = \"slow\"\ndelay = \"80ms\"\njitter = \"60ms\"\nfor = \"" + lasts.String() + "\"",
				"do = \"refuse\"\nfor = \"" + lasts.String() + "\""}[rng.IntN(4)]
			fmt.Fprintf(&b, "[[link]]\n%s\nfrom = \"n%d\"\nto = \"n%d\"\nat = \"%v\"\n", do, a, c, at)
		case at < freeFrom[a]:
		case n < 7:
			freeFrom[a] = at + lasts + 300*time.Millisecond
			fmt.Fprintf(&b, "[[sender]]\ndo = \"pause\"\nwhich = \"n%d\"\nat = \"%v\"\nfor = \"%v\"\n", a, at, lasts)
		case n < 8 && !snapshotTaken[a]:
			snapshotTaken[a] = true
			fmt.Fprintf(&b, "[[sender]]\ndo = \"keep\"\nwhich = \"n%d\"\nat = \"%v\"\n", a, at)
			freeFrom[a] = at + 300*time.Millisecond
		case n < 8:
			snapshotTaken[a] = false
			freeFrom[a] = at + 2*time.Second
			fmt.Fprintf(&b, "[[sender]]\ndo = \"old\"\nwhich = \"n%d\"\nat = \"%v\"\n", a, at)
		default:
			freeFrom[a] = at + 2*time.Second
			fmt.Fprintf(&b, "[[sender]]\ndo = \"kill\"\nwhich = \"n%d\"\nat = \"%v\"\n", a, at)
		}
	}
}

// Run runs the test day of a seed.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Lease == 0 {
		o.Lease = time.Second
	}
	s, err := script.Parse("concord.toml", []byte(o.Script()))
	if err != nil {
		return nil, err
	}
	plan, err := s.Make()
	if err != nil {
		return nil, err
	}
	r := &Result{Seen: map[uint64]time.Duration{}, Faults: len(plan.Acts)}
	p := &operators{o: o, r: r}
	r.Events, _, err = day.Play(ctx, plan, day.Options{Command: o.Command, Folder: o.Folder, During: p.during})
	return r, errors.Join(err, p.err)
}

// operators simulates the operators during a day.
type operators struct {
	o   Options
	r   *Result
	d   *day.Day
	mu  sync.Mutex
	err error
}

// report is the part of a sender's status that concerns the policy.
type report struct {
	Acts   bool `json:"acts"`
	Policy struct {
		Version uint64 `json:"version"`
		Open    *struct {
			ID uint64 `json:"id"`
		} `json:"open"`
		History []struct {
			ID      uint64 `json:"id"`
			Version uint64 `json:"version"`
			Ended   string `json:"ended"`
		} `json:"past"`
	} `json:"policy"`
}

// Version queries the policy version in force at sender i.
func Version(ctx context.Context, d *day.Day, i int, patience time.Duration) (uint64, error) {
	var r report
	err := query{method: http.MethodGet, path: "/fleet", timeout: patience}.send(ctx, d.Sender(i), &r)
	return r.Policy.Version, err
}

// SeenVerdict is a health verdict in force at a sender.
type SeenVerdict struct {
	Destination uint32 `json:"destination"`
	Verdict     string `json:"verdict"`
	Since       uint64 `json:"since"`
}

// Verdicts queries the health verdicts in force at sender i.
func Verdicts(ctx context.Context, d *day.Day, i int, patience time.Duration) (all []SeenVerdict, err error) {
	return all, query{method: http.MethodGet, path: "/verdicts", timeout: patience}.send(ctx, d.Sender(i), &all)
}

// Propose proposes a policy document, based on version base, to sender i.
func Propose(ctx context.Context, d *day.Day, i int, base uint64, document []byte) error {
	q := url.Values{"base": {fmt.Sprint(base)}, "wait": {"20s"}, "why": {"rehearsal"}}
	return query{method: http.MethodPost, path: "/policy/propose?" + q.Encode(), body: document, timeout: proposeTimeout}.send(ctx, d.Sender(i), &struct{}{})
}

// query is a request to a sender's admin socket.
type query struct {
	method, path string
	body         []byte
	timeout      time.Duration
}

// send sends the query to a sender and decodes the JSON response. A status other than 200 is an answerError.
func (q query) send(ctx context.Context, sender *fleet.Sender, into any) error {
	ctx, cancel := context.WithTimeout(ctx, q.timeout)
	defer cancel()
	socket := filepath.Join(sender.State(), "sender.sock")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "unix", socket)
	}}}
	req, err := http.NewRequestWithContext(ctx, q.method, "http://sender"+q.path, bytes.NewReader(q.body))
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return &answerError{resp.StatusCode, strings.TrimSpace(string(raw))}
	}
	return json.Unmarshal(raw, into)
}

type answerError struct {
	status int
	text   string
}

// Error implements error.
func (e *answerError) Error() string { return e.text }

// pollStatus queries the policy state of a sender and records the versions that are seen for the first time.
func (p *operators) pollStatus(ctx context.Context, i int) (report, error) {
	var r report
	err := query{method: http.MethodGet, path: "/fleet", timeout: queryTimeout}.send(ctx, p.d.Sender(i), &r)
	if err == nil {
		p.mu.Lock()
		for v := r.Policy.Version; v > 0; v-- {
			if _, seen := p.r.Seen[v]; seen {
				break
			}
			p.r.Seen[v] = p.d.Now()
		}
		p.mu.Unlock()
	}
	return r, err
}

// during makes changes until the time of the faults is over, then heals all faults, waits until the senders agree, and makes a final
// change.
func (p *operators) during(ctx context.Context, d *day.Day) {
	p.d = d
	if p.o.PartitionLast {
		p.o.Paused = max(1, p.o.Paused) // operators do not use the partitioned sender
		time.Sleep(time.Second)
	}
	faultsEnd := time.Duration(p.o.Seconds * float64(time.Second))
	watchCtx, stop := context.WithCancel(ctx)
	var watching, operators sync.WaitGroup
	for i := range p.o.Senders {
		watching.Add(1)
		go func() {
			defer watching.Done()
			for watchCtx.Err() == nil {
				p.pollStatus(watchCtx, i)
				time.Sleep(pollInterval)
			}
		}()
	}
	count, minTime := operatorCount, time.Duration(0)
	if p.o.PartitionLast { // with two operators the next version would nearly always be proposed already
		count, minTime = 1, minVersionTime
	}
	for n := range count { // each operator picks senders at random
		operators.Add(1)
		go func() {
			defer operators.Done()
			rng := rand.New(rand.NewPCG(p.o.Seed, uint64(100+n)))
			for d.Now() < faultsEnd && ctx.Err() == nil {
				p.change(ctx, rng.IntN(p.o.Senders-p.o.Paused), faultsEnd)
				time.Sleep(minTime + time.Duration(200+rng.IntN(900))*time.Millisecond)
			}
		}()
	}
	operators.Wait()
	d.Heal()
	if p.err = p.awaitAgreement(ctx); p.err == nil {
		p.err = p.commitFinalChange(ctx)
	}
	stop()
	watching.Wait()
}

// Document returns the policy document of a version: odd versions close receiver 1, even versions receiver 0. The receiver of a call
// thus shows whether the call was started under an odd or an even version.
func Document(version uint64) string {
	return fmt.Sprintf("# version %d\n[[route]]\ndestinations = [%d]\nstate = \"closed\"\n", version, version%2)
}

// change proposes a change to a sender and records its outcome.
func (p *operators) change(ctx context.Context, at int, faultsEnd time.Duration) {
	status, err := p.pollStatus(ctx, at)
	if err != nil {
		return
	}
	c := Change{Base: status.Policy.Version, Asked: p.d.Now()}
	q := url.Values{"base": {fmt.Sprint(c.Base)}, "wait": {"20s"}, "why": {"concord"}}
	var proposed struct{ Change uint64 }
	err = query{method: http.MethodPost, path: "/policy/propose?" + q.Encode(), body: []byte(Document(c.Base + 1)), timeout: proposeTimeout}.send(ctx, p.d.Sender(at), &proposed)
	c.Acknowledged = p.d.Now()
	var rejection *answerError
	switch {
	case errors.As(err, &rejection) && rejection.status == http.StatusConflict:
		c.Refused, c.Known = rejection.text, true
		fmt.Sscanf(rejection.text[max(0, strings.Index(rejection.text, "; version ")):], "; version %d", &c.InForce)
	case err == nil:
		c = p.awaitOutcome(ctx, c, proposed.Change, faultsEnd+10*time.Second)
	}
	p.mu.Lock()
	p.r.Changes = append(p.r.Changes, c)
	p.mu.Unlock()
}

// awaitOutcome polls the senders for the outcome of a change, until the first sender reports the outcome or the time is up.
func (p *operators) awaitOutcome(ctx context.Context, c Change, id uint64, until time.Duration) Change {
	for end := time.Now().Add(recoveryTimeout); p.d.Now() < until && time.Now().Before(end) && ctx.Err() == nil; {
		for i := range p.o.Senders - p.o.Paused {
			r, err := p.pollStatus(ctx, i)
			if err != nil {
				continue
			}
			for _, past := range r.Policy.History {
				if past.ID == id {
					c.Known, c.Version, c.Aborted, c.Acknowledged = true, past.Version, past.Version == 0, p.d.Now()
					return c
				}
			}
		}
		time.Sleep(pollInterval)
	}
	return c
}

// commitFinalChange makes changes in the recovered fleet until one is committed.
func (p *operators) commitFinalChange(ctx context.Context) error {
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		p.change(ctx, 0, time.Duration(1<<62))
		p.mu.Lock()
		c := p.r.Changes[len(p.r.Changes)-1]
		p.mu.Unlock()
		if c.Version > 0 {
			return p.awaitAgreement(ctx)
		}
	}
	return errNoChange
}

// awaitAgreement waits until all senders report the same policy history, none has an open change, and all act.
func (p *operators) awaitAgreement(ctx context.Context) error {
	histories := make([]string, p.o.Senders)
	for end := time.Now().Add(recoveryTimeout); ; time.Sleep(50 * time.Millisecond) {
		same := true
		for i := range histories {
			r, err := p.pollStatus(ctx, i)
			raw, _ := json.Marshal(r.Policy.History)
			if histories[i] = string(raw); err != nil || !r.Acts || r.Policy.Open != nil {
				histories[i], same = fmt.Sprintf("acts %v, open %v, %v", r.Acts, r.Policy.Open, err), false
			}
		}
		if same && len(slices.Compact(slices.Clone(histories))) == 1 {
			p.r.FinalHistories = histories
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			p.r.FinalHistories = histories
			return &divergedError{histories: histories}
		}
	}
}

// errNoChange means that the fleet has committed no change within recoveryTimeout after its recovery.
var errNoChange = errors.New(recoveryTimeout.String() + " after all faults were healed no change has been committed")

// divergedError reports the policy histories of senders that still differ recoveryTimeout after all faults were healed.
type divergedError struct{ histories []string }

// Error implements error.
func (e *divergedError) Error() string {
	return fmt.Sprintf("%v after all faults were healed the senders have not agreed: %q", recoveryTimeout, e.histories)
}
