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
	"saffronyard.example/saffronyard/internal/work"
)

// SocketName is the Unix socket in the state folder by which the command line queries a sender that runs.
const SocketName = "sender.sock"

// adminServer answers the command line, by HTTP on a Unix socket. Queries go through the loop, which owns all that is known.
type adminServer struct {
	noopExtension
	s      *Sender
	server *http.Server
	done   sync.WaitGroup
}

// adminQuery is put to the loop; it is answered in the same turn.
type adminQuery struct {
	ask    func(s *Sender, now time.Duration) any
	answer chan any
}

func (adminQuery) isExtensionEvent() {}

// adminTimeout is how long a query may wait for the loop.
const adminTimeout = 2 * time.Second

// newAdminServer listens on the socket; one of a process that was killed is replaced.
func newAdminServer(s *Sender) (*adminServer, error) {
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
	i := &adminServer{s: s}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peers", i.queryHandler(func(*http.Request) (func(*Sender, time.Duration) any, error) {
		return func(s *Sender, now time.Duration) any { return s.peersReport(now) }, nil
	}))
	mux.HandleFunc("GET /knowledge", i.queryHandler(func(r *http.Request) (func(*Sender, time.Duration) any, error) {
		only := r.URL.Query().Get("receiver")
		n, err := strconv.ParseUint(only, 10, 32)
		if only != "" && err != nil {
			return nil, &queryError{fmt.Sprintf("receiver %q is no number", only)}
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

func (i *adminServer) queryHandler(read func(*http.Request) (func(*Sender, time.Duration) any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ask, err := read(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
		defer cancel()
		q := adminQuery{ask, make(chan any, 1)}
		if i.s.post(ctx, extensionMessage{q}) {
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
func (i *adminServer) work(w http.ResponseWriter, r *http.Request) {
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

func (i *adminServer) handle(e extensionEvent, now time.Duration) []brain.Event {
	if q, ok := e.(adminQuery); ok {
		q.answer <- q.ask(i.s, now)
	}
	return nil
}

func (i *adminServer) shutdown() error {
	err := i.server.Close()
	i.done.Wait()
	return err
}
