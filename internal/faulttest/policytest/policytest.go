// Package policytest plays days on which a fleet changes its policy while links between its senders fail and processes are paused,
// killed, or come back with an old folder, and judges from outside whether the change took hold everywhere or nowhere: by what
// receivers got, and by what operators were told. It knows a sender by its sockets and files only.
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

// Options say what is played.
type Options struct {
	Seed          uint64
	Senders       int
	Voters        int
	Seconds       float64       // of faults and changes; healing comes behind
	Lease         time.Duration // default 1s
	Quiet         bool          // no faults
	KillAll       bool          // all are killed at once, twice
	PartitionLast bool          // the last sender is cut off from all others before the first change, and stays so
	Down          int           // so many are killed before the first change and stay so
	Command       []string      // the sender's program
	Folder        string
}

// Change is one that an operator handed in, as that operator and others saw it. Times are the day's.
type Change struct {
	Base         uint64
	Asked        time.Duration
	Version      uint64        // that it made; 0: none, or unknown
	Known        bool          // how it ended was told
	Refused      string        // by the fleet, at once
	InForce      uint64        // then, if Refused says so
	Aborted      bool          // it was
	Acknowledged time.Duration // its end, to the operator
}

// Result is what became of a day.
type Result struct {
	Events         []eventlog.Event
	Changes        []Change
	Seen           map[uint64]time.Duration // a version was first seen at some sender
	FinalHistories []string                 // of each sender: its past, when all was healed
	Faults         int
}

const (
	look        = 15 * time.Millisecond // senders are asked for the version so often
	askTime     = 300 * time.Millisecond
	proposeTime = 5 * time.Second  // bounds the wait for the answer to a proposal
	healTime    = 30 * time.Second // all senders are of one mind within it
	maxSuspend  = 2500 * time.Millisecond
	calm        = 4 * time.Second // of traffic behind the faults

	twoOperators = 2
	// minVersionTime is how long a version stands on a day with a sender cut off before the next is proposed. Once the next is
	// proposed a call that the version forbids may be that one's: only what comes before tells a sender that has left it for sure.
	minVersionTime = 1500 * time.Millisecond
)

// Script is the day of a seed: traffic for two receivers, and faults.
func (o Options) Script() string {
	rng := rand.New(rand.NewPCG(o.Seed, 7))
	var b strings.Builder
	fmt.Fprintf(&b, "[day]\nseconds = %v\nseed = %d\nrate = 80\nsenders = %d\nreceivers = 2\nendpoints = [1, 1]\nload = 0.2\nzipf = 0.0\nretries = 0\ngrace = \"400ms\"\nfeatures = '''\n", o.Seconds+calm.Seconds(), o.Seed, o.Senders)
	fmt.Fprintf(&b, "[fleet]\ncluster = \"concord\"\nlease = \"%v\"\n", o.Lease)
	for v := range o.Voters {
		fmt.Fprintf(&b, "[[fleet.voter]]\nname = \"n%d\"\naddress = \"{n%d:7948}\"\n", v, v)
	}
	fmt.Fprintf(&b, "'''\n[[class]]\nname = \"card-event\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"1500ms\"\n")
	for i := range o.Down {
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

// Faults are lines of a script that strike links and processes of so many senders between two times, by draws.
func Faults(rng *rand.Rand, senders int, from, until time.Duration) string {
	var b strings.Builder
	at := from
	span := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least)))
	}
	which := func() int { return rng.IntN(senders) }
	kept := map[int]bool{}
	free := make([]time.Duration, senders) // a process is struck by one thing at a time
	for {
		at += span(150*time.Millisecond, 900*time.Millisecond)
		if at > until {
			return b.String()
		}
		a, c := which(), which()
		for c == a {
			c = which()
		}
		lasts := span(200*time.Millisecond, maxSuspend)
		switch n := rng.IntN(10); {
		case n < 2: // one way
			fmt.Fprintf(&b, "[[link]]\ndo = \"cut\"\nfrom = \"n%d\"\nto = \"n%d\"\nat = \"%v\"\nfor = \"%v\"\n", a, c, at, lasts)
		case n < 4: // one off from all
			fmt.Fprintf(&b, "[[link]]\ndo = \"cut\"\nfrom = \"n%d\"\nto = \"all\"\nboth = true\nat = \"%v\"\nfor = \"%v\"\n", a, at, lasts)
		case n < 5:
			do := []string{"do = \"reset\"", "do = \"freeze\"\nfor = \"" + lasts.String() + "\"", "do = \"slow\"\ndelay = \"80ms\"\njitter = \"60ms\"\nfor = \"" + lasts.String() + "\"",
				"do = \"refuse\"\nfor = \"" + lasts.String() + "\""}[rng.IntN(4)]
			fmt.Fprintf(&b, "[[link]]\n%s\nfrom = \"n%d\"\nto = \"n%d\"\nat = \"%v\"\n", do, a, c, at)
		case at < free[a]:
		case n < 7:
			free[a] = at + lasts + 300*time.Millisecond
			fmt.Fprintf(&b, "[[sender]]\ndo = \"pause\"\nwhich = \"n%d\"\nat = \"%v\"\nfor = \"%v\"\n", a, at, lasts)
		case n < 8 && !kept[a]:
			kept[a] = true
			fmt.Fprintf(&b, "[[sender]]\ndo = \"keep\"\nwhich = \"n%d\"\nat = \"%v\"\n", a, at)
			free[a] = at + 300*time.Millisecond
		case n < 8:
			kept[a] = false
			free[a] = at + 2*time.Second
			fmt.Fprintf(&b, "[[sender]]\ndo = \"old\"\nwhich = \"n%d\"\nat = \"%v\"\n", a, at)
		default:
			free[a] = at + 2*time.Second
			fmt.Fprintf(&b, "[[sender]]\ndo = \"kill\"\nwhich = \"n%d\"\nat = \"%v\"\n", a, at)
		}
	}
}

// Run plays the day of a seed.
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
	p := &play{o: o, r: r}
	r.Events, _, err = day.Play(ctx, plan, day.Options{Command: o.Command, Folder: o.Folder, During: p.during})
	return r, errors.Join(err, p.err)
}

// play is the operators beside a day.
type play struct {
	o   Options
	r   *Result
	d   *day.Day
	mu  sync.Mutex
	err error
}

// report is what a sender tells of the policy; other fields are not looked at.
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

// Version is which one a sender goes by.
func Version(ctx context.Context, d *day.Day, i int, patience time.Duration) (uint64, error) {
	var r report
	err := query{method: http.MethodGet, path: "/fleet", timeout: patience}.ask(ctx, d.Sender(i), &r)
	return r.Policy.Version, err
}

// SeenVerdict is one that a sender goes by.
type SeenVerdict struct {
	Destination uint32 `json:"destination"`
	Verdict     string `json:"verdict"`
	Since       uint64 `json:"since"`
}

// Verdicts are those that a sender goes by.
func Verdicts(ctx context.Context, d *day.Day, i int, patience time.Duration) (all []SeenVerdict, err error) {
	return all, query{method: http.MethodGet, path: "/verdicts", timeout: patience}.ask(ctx, d.Sender(i), &all)
}

// Propose hands a document, made from version base, in at sender i.
func Propose(ctx context.Context, d *day.Day, i int, base uint64, document []byte) error {
	q := url.Values{"base": {fmt.Sprint(base)}, "wait": {"20s"}, "why": {"rehearsal"}}
	return query{method: http.MethodPost, path: "/policy/propose?" + q.Encode(), body: document, timeout: proposeTime}.ask(ctx, d.Sender(i), &struct{}{})
}

// query is a question to a sender's admin socket.
type query struct {
	method, path string
	body         []byte
	timeout      time.Duration
}

// ask asks a sender and decodes its answer, which is JSON. An answer that is no success is an answerError.
func (q query) ask(ctx context.Context, sender *fleet.Sender, into any) error {
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

// look sees which version a sender is at.
func (p *play) look(ctx context.Context, i int) (report, error) {
	var r report
	err := query{method: http.MethodGet, path: "/fleet", timeout: askTime}.ask(ctx, p.d.Sender(i), &r)
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

// during makes changes until the day's time is over, then has all healed and waits until the senders are of one mind.
func (p *play) during(ctx context.Context, d *day.Day) {
	p.d = d
	if p.o.PartitionLast {
		p.o.Down = max(1, p.o.Down) // operators are at the others
		time.Sleep(time.Second)
	}
	over := time.Duration(p.o.Seconds * float64(time.Second))
	watch, stop := context.WithCancel(ctx)
	var watching, operators sync.WaitGroup
	for i := range p.o.Senders {
		watching.Add(1)
		go func() {
			defer watching.Done()
			for watch.Err() == nil {
				p.look(watch, i)
				time.Sleep(look)
			}
		}()
	}
	count, stands := twoOperators, time.Duration(0)
	if p.o.PartitionLast { // two would nearly always have the next one proposed
		count, stands = 1, minVersionTime
	}
	for n := range count { // each at senders of its own choice
		operators.Add(1)
		go func() {
			defer operators.Done()
			rng := rand.New(rand.NewPCG(p.o.Seed, uint64(100+n)))
			for d.Now() < over && ctx.Err() == nil {
				p.change(ctx, rng.IntN(p.o.Senders-p.o.Down), over)
				time.Sleep(stands + time.Duration(200+rng.IntN(900))*time.Millisecond)
			}
		}()
	}
	operators.Wait()
	d.Heal()
	if p.err = p.agree(ctx); p.err == nil {
		p.err = p.last(ctx)
	}
	stop()
	watching.Wait()
}

// Document is of the version that it would make: odd ones close receiver 1, even ones receiver 0. So a call tells under which
// sort of version it was begun.
func Document(version uint64) string {
	return fmt.Sprintf("# version %d\n[[route]]\ndestinations = [%d]\nstate = \"closed\"\n", version, version%2)
}

// change hands one in at a sender, and sees to its end.
func (p *play) change(ctx context.Context, at int, over time.Duration) {
	was, err := p.look(ctx, at)
	if err != nil {
		return
	}
	c := Change{Base: was.Policy.Version, Asked: p.d.Now()}
	q := url.Values{"base": {fmt.Sprint(c.Base)}, "wait": {"20s"}, "why": {"concord"}}
	var in struct{ Change uint64 }
	err = query{method: http.MethodPost, path: "/policy/propose?" + q.Encode(), body: []byte(Document(c.Base + 1)), timeout: proposeTime}.ask(ctx, p.d.Sender(at), &in)
	c.Acknowledged = p.d.Now()
	var said *answerError
	switch {
	case errors.As(err, &said) && said.status == http.StatusConflict:
		c.Refused, c.Known = said.text, true
		fmt.Sscanf(said.text[max(0, strings.Index(said.text, "; version ")):], "; version %d", &c.InForce)
	case err == nil:
		c = p.follow(ctx, c, in.Change, over+10*time.Second)
	}
	p.mu.Lock()
	p.r.Changes = append(p.r.Changes, c)
	p.mu.Unlock()
}

// follow sees how a change ends, at whatever sender says so first.
func (p *play) follow(ctx context.Context, c Change, id uint64, until time.Duration) Change {
	for end := time.Now().Add(healTime); p.d.Now() < until && time.Now().Before(end) && ctx.Err() == nil; {
		for i := range p.o.Senders - p.o.Down {
			r, err := p.look(ctx, i)
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
		time.Sleep(look)
	}
	return c
}

// last makes a change in a fleet that was healed: it takes hold.
func (p *play) last(ctx context.Context) error {
	for end := time.Now().Add(healTime); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		p.change(ctx, 0, time.Duration(1<<62))
		p.mu.Lock()
		c := p.r.Changes[len(p.r.Changes)-1]
		p.mu.Unlock()
		if c.Version > 0 {
			return p.agree(ctx)
		}
	}
	return errNoChange
}

// agree waits until all senders tell the same past, and act.
func (p *play) agree(ctx context.Context) error {
	ends := make([]string, p.o.Senders)
	for end := time.Now().Add(healTime); ; time.Sleep(50 * time.Millisecond) {
		same := true
		for i := range ends {
			r, err := p.look(ctx, i)
			raw, _ := json.Marshal(r.Policy.History)
			if ends[i] = string(raw); err != nil || !r.Acts || r.Policy.Open != nil {
				ends[i], same = fmt.Sprintf("acts %v, open %v, %v", r.Acts, r.Policy.Open, err), false
			}
		}
		if same && len(slices.Compact(slices.Clone(ends))) == 1 {
			p.r.FinalHistories = ends
			return nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			p.r.FinalHistories = ends
			return &divergedError{histories: ends}
		}
	}
}

// errNoChange means that the fleet accepts no change although nothing has been wrong for healTime.
var errNoChange = errors.New(healTime.String() + " after all was healed no change takes hold")

// divergedError tells the policy histories of senders that differ although nothing has been wrong for healTime.
type divergedError struct{ histories []string }

// Error implements error.
func (e *divergedError) Error() string {
	return fmt.Sprintf("%v after all was healed the senders are not of one mind: %q", healTime, e.histories)
}
