package sender

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/knowledge"
	"saffronyard.example/saffronyard/internal/peers"
	"saffronyard.example/saffronyard/internal/work"
)

// SocketName is the Unix socket in the state folder by which the command line asks a sender that runs what it knows.
const SocketName = "sender.sock"

// KnownFact is one fact as it is told to operators.
type KnownFact struct {
	Receiver uint32  `json:"receiver"`
	Endpoint string  `json:"endpoint,omitempty"`
	Kind     string  `json:"sort"`
	Says     string  `json:"says"`
	Source   string  `json:"source"` // self, earlier, or a peer's name
	AgeMS    int64   `json:"age_ms"`
	Trust    float64 `json:"trust"` // 1 for what is seen now, 0 for what counts no more
	Calls    uint32  `json:"calls"`
}

// PeersReport is who is there and what is told.
type PeersReport struct {
	Name      string         `json:"name"`
	Cluster   string         `json:"cluster"`
	Address   string         `json:"address"` // of its membership
	OwnFacts  int            `json:"tells"`   // facts of its own
	Members   []peers.Member `json:"members"`
	HeldFacts map[string]int `json:"heard"` // facts held, by who told them
	NowMS     int64          `json:"now_ms"`
}

// inspection answers the command line. What it is asked for goes through the loop, which owns all that is known.
type inspection struct {
	noopExtension
	s      *Sender
	server *http.Server
	done   sync.WaitGroup
}

// adminQuery is put to the loop; it answers in the same turn.
type adminQuery struct {
	ask    func(s *Sender, now time.Duration) any
	answer chan any
}

func (adminQuery) isExtensionEvent() {}

const adminTimeout = 2 * time.Second

func newInspection(s *Sender) (*inspection, error) {
	path := filepath.Join(s.config.StateDir, SocketName)
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) { // a process that was killed leaves its own
		return nil, fmt.Errorf("command line: %w", err)
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("command line: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return nil, fmt.Errorf("command line: %w", err)
	}
	i := &inspection{s: s}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peers", i.queryHandler(func(*http.Request) (func(*Sender, time.Duration) any, error) {
		return func(s *Sender, now time.Duration) any { return s.peersReport(now) }, nil
	}))
	mux.HandleFunc("GET /knowledge", i.queryHandler(func(r *http.Request) (func(*Sender, time.Duration) any, error) {
		only := r.URL.Query().Get("receiver")
		n, err := strconv.ParseUint(only, 10, 32)
		if only != "" && err != nil {
			return nil, fmt.Errorf("receiver %q is no number", only)
		}
		return func(s *Sender, now time.Duration) any { return s.knowledgeReport(now, only == "", uint32(n)) }, nil
	}))
	mux.HandleFunc("GET /zones", func(w http.ResponseWriter, r *http.Request) { // it has locks of its own
		if n := i.s.config.Names; n != nil && n.Report != nil {
			json.NewEncoder(w).Encode(n.Report())
			return
		}
		http.Error(w, "no names are followed: the operators' file has no [dns]", http.StatusNotFound)
	})
	if s.config.Fleet != nil {
		s.config.Fleet.Register(mux)
		mux.HandleFunc("GET /held", i.queryHandler(func(*http.Request) (func(*Sender, time.Duration) any, error) {
			return func(s *Sender, _ time.Duration) any { return s.pendingCounts() }, nil
		}))
	}
	mux.HandleFunc("GET /work", i.work)
	mux.HandleFunc("POST /work", i.work)
	i.server = &http.Server{Handler: mux, ReadHeaderTimeout: adminTimeout}
	i.done.Add(1)
	go func() {
		defer i.done.Done()
		i.server.Serve(l)
	}()
	return i, nil
}

func (i *inspection) queryHandler(read func(*http.Request) (func(*Sender, time.Duration) any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ask, err := read(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
		defer cancel()
		q := adminQuery{ask, make(chan any, 1)}
		if i.s.post(ctx, q) {
			select {
			case v := <-q.answer:
				json.NewEncoder(w).Encode(v)
				return
			case <-ctx.Done():
			}
		}
		http.Error(w, "the sender is leaving, or too busy to answer", http.StatusServiceUnavailable)
	}
}

// work tells of background work, and passes on what an operator wants of it.
func (i *inspection) work(w http.ResponseWriter, r *http.Request) {
	c := i.s.config
	if c.Work == nil {
		http.Error(w, "there is no background work: the operators' file has no [work]", http.StatusNotFound)
		return
	}
	q := r.URL.Query()
	id, err := strconv.ParseUint(q.Get("id"), 10, 63)
	if q.Get("id") != "" && err != nil {
		http.Error(w, fmt.Sprintf("%q is no job's number", q.Get("id")), http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		verb := slices.Index(work.VerbNames(), q.Get("do"))
		if verb < 0 {
			http.Error(w, fmt.Sprintf("there are %q", work.VerbNames()), http.StatusBadRequest)
			return
		}
		err = c.WorkCommand(work.Command{Verb: work.Verb(verb), ID: work.ID(id), Kind: q.Get("kind"), Owner: q.Get("owner")})
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
		return
	}
	most, _ := strconv.Atoi(q.Get("most"))
	v, err := c.Work(work.Filter{ID: work.ID(id), Kind: q.Get("kind"), Owner: q.Get("owner"), State: q.Get("state"), Limit: most})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	json.NewEncoder(w).Encode(v)
}

func (i *inspection) handle(e any, now time.Duration) []brain.Event {
	if q, ok := e.(adminQuery); ok {
		q.answer <- q.ask(i.s, now)
	}
	return nil
}

func (i *inspection) shutdown() error {
	err := i.server.Close()
	i.done.Wait()
	return err
}

func extensionOf[T extension](s *Sender) (T, bool) {
	for _, p := range s.extensions {
		if got, ok := p.(T); ok {
			return got, true
		}
	}
	var none T
	return none, false
}

func (s *Sender) peersReport(now time.Duration) PeersReport {
	r := PeersReport{Name: s.config.Name, HeldFacts: map[string]int{}, NowMS: now.Milliseconds(), OwnFacts: len(s.knownFacts(now))}
	s.knownFactsCache = nil
	if p, ok := extensionOf[*peersExtension](s); ok {
		r.Cluster, r.Address, r.Members = s.config.Peers.Cluster, p.node.Address(), p.node.Members()
		for _, f := range append(p.view.Facts(), p.reports.All()...) {
			r.HeldFacts[f.Source.Name]++
		}
	}
	return r
}

// knowledgeReport is all facts, or those of one receiver: what this process has seen, what it was told by others, and
// what is left of an earlier process's.
func (s *Sender) knowledgeReport(now time.Duration, all bool, only uint32) []KnownFact {
	list := []KnownFact{}
	add := func(facts []knowledge.Fact, source string) {
		for _, f := range facts {
			if !all && f.Destination != only {
				continue
			}
			from := source
			if from == "" {
				from = f.Source.Name
			}
			list = append(list, KnownFact{f.Destination, f.Endpoint, f.Kind.String(), describe(&f, now), from, (now - f.ObservedAt).Milliseconds(), f.Trust(now), f.Calls})
		}
	}
	add(s.knownFacts(now), "self")
	s.knownFactsCache = nil
	if p, ok := extensionOf[*knowledgeStore](s); ok {
		add(p.view.Facts(), "earlier")
	}
	if p, ok := extensionOf[*peersExtension](s); ok {
		add(p.view.Facts(), "")
		add(p.reports.All(), "")
	}
	return list
}

// describe puts a fact into words.
func describe(f *knowledge.Fact, now time.Duration) string {
	ms := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) + " ms" }
	switch f.Kind {
	case knowledge.Latency:
		return fmt.Sprintf("calls take %s in the middle, %s at the least; time-out %s", ms(f.Median), ms(f.Min), ms(f.Timeout))
	case knowledge.Concurrency:
		return fmt.Sprintf("bore %.1f calls at once", f.Window)
	case knowledge.RateLimit:
		return fmt.Sprintf("takes %.2f calls a second of all senders", f.PerSecond)
	case knowledge.RetryAfter:
		return fmt.Sprintf("asked for a wait, of which %s are left", ms(max(0, f.Until-now)))
	case knowledge.Health:
		return fmt.Sprintf("%s for %s; %.2f calls a second usually", f.State, ms(now-f.Since), f.Rate)
	}
	return "?"
}
