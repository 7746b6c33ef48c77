// Package platform simulates discovery and the receiver of notices. All senders share one endpoint list, but each gets it at its own
// address, because a request does not identify its sender in any other way.
package platform

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
)

// Target is an endpoint in the list.
type Target struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"` // SERVING, DRAINING or, only in changes, DELETED
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// Targets is the answer to a request for the list or its changes.
type Targets struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []Target `json:"servers"`
}

// The states of an endpoint.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

const (
	pollDeadline         = 10 * time.Second // a sender that neither watches nor polls counts as notified after this
	failedPollFactor     = 4                // factor on pollDeadline after a failed request
	watchGap             = 200 * time.Millisecond
	maxWatch             = time.Minute
	oldAddressCloseDelay = 1500 * time.Millisecond // time until the connections to a former address are closed
)

type change struct {
	version int64
	at      time.Duration
	target  Target
}

// Platform is the simulated discovery with its endpoint list.
type Platform struct {
	log    *eventlog.Log
	host   func() string
	notice func(sender, id, outcome string, retry time.Duration)

	mu      sync.Mutex
	version int64
	list    map[string]Target // includes deleted endpoints
	changes []change
	wake    chan struct{}
	down    bool
	failed  int                    // requests while it was down
	feeds   map[string]*senderFeed // by sender
	stop    chan struct{}
	zone    func([]Target) error // writes the zone file that senders follow instead of the list; nil: senders use the list
}

// senderFeed is the address and state of discovery for one sender.
type senderFeed struct {
	sender string
	addr   string
	server *http.Server

	// The Platform's lock guards the fields below. listSent survives moves of discovery and restarts of the sender's process.
	run      int
	listSent map[string]string // endpoint to state
	watching int
	last     time.Duration // when the last request ended
	failed   bool          // the last request failed
	version  int64         // of the list that the sender got last
}

// New starts a platform without senders. It calls notice for each notice that a sender posts. host returns the host for each listener.
func New(log *eventlog.Log, host func() string, notice func(sender, id, outcome string, retry time.Duration)) *Platform {
	p := &Platform{log: log, host: host, notice: notice, list: map[string]Target{}, wake: make(chan struct{}), feeds: map[string]*senderFeed{}, stop: make(chan struct{})}
	go p.deemNotified()
	return p
}

// UseZoneFile publishes the endpoints in a zone file instead of the list, which stays empty: write rewrites the file on each change. A
// running sender counts as notified of a change as soon as the file is written.
func (p *Platform) UseZoneFile(write func([]Target) error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.zone = write
}

// Open starts discovery for a sender and returns its address.
func (p *Platform) Open(sender string) (string, error) {
	o := &senderFeed{sender: sender, listSent: map[string]string{}, last: p.log.Now()}
	if err := p.serve(o); err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.feeds[sender] = o
	return o.addr, nil
}

func (p *Platform) serve(o *senderFeed) error {
	l, err := net.Listen("tcp", p.host()+":0")
	if err != nil {
		return fmt.Errorf("listen for discovery of sender %s: %w", o.sender, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", func(w http.ResponseWriter, r *http.Request) { p.targets(o, w, r) })
	mux.HandleFunc("POST /v1/notices", func(w http.ResponseWriter, r *http.Request) { p.notices(o, w, r) })
	o.addr, o.server = l.Addr().String(), &http.Server{Handler: mux}
	go o.server.Serve(l)
	return nil
}

// Move gives discovery a new address for a sender. The old address accepts no new connections and closes the open ones after a delay.
func (p *Platform) Move(sender string) (string, error) {
	p.mu.Lock()
	old := p.feeds[sender]
	p.mu.Unlock()
	if old == nil {
		return "", &UnknownSenderError{Sender: sender}
	}
	next := &senderFeed{sender: sender}
	if err := p.serve(next); err != nil {
		return "", err
	}
	p.mu.Lock()
	next.run, next.listSent, next.last, next.version = old.run, old.listSent, p.log.Now(), old.version
	old.listSent = map[string]string{} // answers to watches that are open there are not recorded for the sender
	p.feeds[sender] = next
	p.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), oldAddressCloseDelay)
		defer cancel()
		old.server.Shutdown(ctx) // closes the listener at once and idle connections
		old.server.Close()
	}()
	return next.addr, nil
}

// Started records the start of a sender's next process. It returns the list as the sender last got it, or the current list if the
// sender is fresh or never got a list.
func (p *Platform) Started(sender string, run int, fresh bool) Targets {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.feeds[sender]
	o.run, o.last, o.failed = run, p.log.Now(), false
	if p.zone != nil { // the process reads the current zone file
		p.notify(o, p.completeList(), "zone")
		return Targets{Version: p.version, Full: true, Servers: []Target{}}
	}
	if fresh || len(o.listSent) == 0 {
		o.listSent = map[string]string{}
		complete := p.completeList()
		p.notify(o, complete, "known")
		return complete
	}
	known := Targets{Version: o.version, Full: true, Servers: []Target{}}
	for _, t := range p.sorted() {
		if state, ok := o.listSent[t.ID]; ok && state != Deleted {
			t.State = state
			known.Servers = append(known.Servers, t)
		}
	}
	p.notify(o, known, "known")
	return known
}

// Addr returns the current address of discovery for a sender.
func (p *Platform) Addr(sender string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.feeds[sender].addr
}

// Set adds or changes an endpoint of the list.
func (p *Platform) Set(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	p.list[t.ID] = t
	p.changes = append(p.changes, change{p.version, p.log.Now(), t})
	p.log.Add(eventlog.Event{Kind: eventlog.Changed, Endpoint: t.ID, Dest: t.Cell, State: t.State})
	if p.zone != nil {
		var listed []Target
		for _, line := range p.sorted() {
			if line.State == Serving {
				listed = append(listed, line)
			}
		}
		if err := p.zone(listed); err != nil {
			p.log.Add(eventlog.Event{Kind: eventlog.KitFailure, Detail: fmt.Sprintf("zone file: %v", err)})
		}
		for _, o := range p.feeds {
			if o.run > 0 {
				p.notify(o, Targets{Version: p.version, Servers: []Target{t}}, "zone")
			}
		}
	}
	p.wakeAll()
}

func (p *Platform) wakeAll() {
	close(p.wake)
	p.wake = make(chan struct{})
}

// Down makes requests for the list fail, or succeed again. It ends open watches.
func (p *Platform) Down(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wakeAll()
}

// Close stops the platform.
func (p *Platform) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.stop)
	for _, o := range p.feeds {
		o.server.Close()
	}
}

func (p *Platform) sorted() []Target {
	all := make([]Target, 0, len(p.list))
	for _, t := range p.list {
		all = append(all, t)
	}
	slices.SortFunc(all, func(a, b Target) int { return cmp.Or(cmp.Compare(a.Cell, b.Cell), cmp.Compare(a.ID, b.ID)) })
	return all
}

func (p *Platform) completeList() Targets {
	t := Targets{Version: p.version, Full: true, Servers: []Target{}}
	for _, line := range p.sorted() {
		if line.State != Deleted {
			t.Servers = append(t.Servers, line)
		}
	}
	return t
}

// since returns the changes after a version, with the last state of each endpoint.
func (p *Platform) since(version int64) Targets {
	t := Targets{Version: p.version, Servers: []Target{}}
	seen := map[string]bool{}
	for i := len(p.changes) - 1; i >= 0 && p.changes[i].version > version; i-- {
		if c := p.changes[i]; !seen[c.target.ID] {
			seen[c.target.ID] = true
			t.Servers = append(t.Servers, c.target)
		}
	}
	slices.Reverse(t.Servers)
	return t
}

// notify records and logs the endpoint states that a sender got. The caller must hold the lock.
func (p *Platform) notify(o *senderFeed, t Targets, how string) {
	lines := t.Servers
	if t.Full {
		listed := map[string]bool{}
		for _, line := range t.Servers {
			listed[line.ID] = true
		}
		for id, state := range o.listSent {
			if !listed[id] && state != Deleted {
				line := p.list[id]
				line.State = Deleted
				lines = append(lines, line)
			}
		}
	}
	slices.SortStableFunc(lines, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	for _, line := range lines {
		if o.listSent[line.ID] == line.State {
			continue
		}
		o.listSent[line.ID] = line.State
		p.log.Add(eventlog.Event{Kind: eventlog.ListSent, Sender: o.sender, Run: o.run, Endpoint: line.ID, Dest: line.Cell, State: line.State, Detail: how})
	}
	if how != "deemed" {
		o.version = max(o.version, t.Version)
	}
}

func (p *Platform) targets(o *senderFeed, w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	watch := err == nil
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	limit := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatch))
	defer limit.Stop()
	p.mu.Lock()
	o.watching++
	end := func(failed bool) {
		o.watching--
		o.last, o.failed = p.log.Now(), failed
		p.mu.Unlock()
	}
	for expired := false; ; {
		if p.down {
			p.failed++
			abort := p.failed%2 == 0
			end(true)
			if abort { // every second failing request ends with a broken connection, the others with an answer
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !watch || p.version > after || expired {
			break
		}
		wake := p.wake
		p.mu.Unlock()
		select {
		case <-wake:
		case <-limit.C:
			expired = true
		case <-r.Context().Done():
			p.mu.Lock()
			end(true)
			return
		case <-p.stop:
			p.mu.Lock()
			end(true)
			return
		}
		p.mu.Lock()
	}
	t := p.completeList()
	if watch {
		t = p.since(after)
	}
	zoneFollowed := p.zone != nil
	if zoneFollowed {
		t.Servers = []Target{}
	}
	p.mu.Unlock()
	raw, err := json.Marshal(t)
	if err == nil {
		w.Header().Set("Content-Type", "application/json")
		if _, err = w.Write(raw); err == nil {
			err = http.NewResponseController(w).Flush()
		}
	}
	p.mu.Lock()
	if err == nil && !zoneFollowed {
		p.notify(o, t, "")
	}
	end(err != nil)
}

// deemNotified periodically records as sent the changes that a sender that neither watches nor polls should have requested by now.
func (p *Platform) deemNotified() {
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-p.stop:
			return
		}
		p.mu.Lock()
		now := p.log.Now()
		for _, o := range p.feeds {
			within := pollDeadline
			if o.failed {
				within *= failedPollFactor
			}
			if p.zone != nil || o.run == 0 || o.watching > 0 || now-o.last <= max(within, watchGap) {
				continue
			}
			listed := Targets{}
			for _, c := range p.changes {
				if c.at <= now-within {
					listed.Servers = append(listed.Servers, c.target)
				}
			}
			last := map[string]Target{}
			for _, t := range listed.Servers {
				last[t.ID] = t
			}
			listed.Servers = listed.Servers[:0]
			for _, t := range last {
				listed.Servers = append(listed.Servers, t)
			}
			p.notify(o, listed, "deemed")
		}
		p.mu.Unlock()
	}
}

func (p *Platform) notices(o *senderFeed, w http.ResponseWriter, r *http.Request) {
	type line struct {
		Message string  `json:"message"`
		Outcome string  `json:"outcome"`
		RetryMS float64 `json:"retry_in_ms"`
	}
	var lines []line
	in := bufio.NewReader(io.LimitReader(r.Body, 8<<20))
	d := json.NewDecoder(in)
	for {
		var l line
		if err := d.Decode(&l); errors.Is(err, io.EOF) {
			break
		} else if err != nil || l.Message == "" || (l.Outcome != "given_up" && l.Outcome != "handed_back") || l.RetryMS < 0 {
			p.log.Add(eventlog.Event{Kind: eventlog.Notice, Sender: o.sender, Outcome: "unreadable"})
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		lines = append(lines, l)
	}
	for _, l := range lines {
		p.notice(o.sender, l.Message, l.Outcome, time.Duration(l.RetryMS*float64(time.Millisecond)))
	}
	w.WriteHeader(http.StatusNoContent)
}

// UnknownSenderError names a sender that discovery has no address for.
type UnknownSenderError struct{ Sender string }

// Error implements error.
func (e *UnknownSenderError) Error() string { return "discovery has no address for " + e.Sender }
