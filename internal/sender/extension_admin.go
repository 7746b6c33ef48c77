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

// adminServer answers the command line, by HTTP on a Unix socket. Queries go through the loop, which owns the sender's state.
type adminServer struct {
	noopExtension
	s      *Sender
	server *http.Server
	done   sync.WaitGroup
}

// adminQuery is a query posted to the loop, which answers it in the same turn.
type adminQuery struct {
	run    report
	answer chan any // with room for one
}

// report computes the answer to a query, in the loop; the answer is encoded as JSON.
type report func(s *Sender, now time.Duration) any

func (adminQuery) isExtensionEvent() {}

// adminTimeout is how long a query may wait for the loop.
const adminTimeout = 2 * time.Second

// newAdminServer listens on the socket and replaces the socket of a process that was killed.
func newAdminServer(s *Sender) (*adminServer, error) {
	path := filepath.Join(s.config.StateDir, SocketName)
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) { // a process that was killed leaves its socket
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return nil, fmt.Errorf("admin socket: %w", err)
	}
	i := &adminServer{s: s}
	i.server = &http.Server{Handler: i.routes(), ReadHeaderTimeout: adminTimeout}
	i.done.Add(1)
	go func() {
		defer i.done.Done()
		i.server.Serve(l)
	}()
	return i, nil
}

// routes is the admin server's paths.
func (i *adminServer) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /peers", i.queryHandler(func(*http.Request) (report, error) {
		return func(s *Sender, now time.Duration) any { return s.peersReport(now) }, nil
	}))
	mux.HandleFunc("GET /knowledge", i.queryHandler(func(r *http.Request) (report, error) {
		receiver := r.URL.Query().Get("receiver")
		n, err := strconv.ParseUint(receiver, 10, 32)
		if receiver != "" && err != nil {
			return nil, &queryError{fmt.Sprintf("receiver %q is no number", receiver)}
		}
		return func(s *Sender, now time.Duration) any { return s.knowledgeReport(now, receiver == "", uint32(n)) }, nil
	}))
	mux.HandleFunc("GET /zones", i.zones)
	if i.s.config.Fleet != nil {
		i.s.config.Fleet.Register(mux)
		mux.HandleFunc("GET /held", i.queryHandler(func(*http.Request) (report, error) {
			return func(s *Sender, _ time.Duration) any { return s.pendingCounts() }, nil
		}))
	}
	mux.HandleFunc("GET /work", i.work)
	mux.HandleFunc("POST /work", i.work)
	return mux
}

// zones answers GET /zones. The report has its own locks, so it does not go through the loop.
func (i *adminServer) zones(w http.ResponseWriter, _ *http.Request) {
	if n := i.s.config.Names; n != nil && n.Report != nil {
		json.NewEncoder(w).Encode(n.Report())
		return
	}
	http.Error(w, "no names are followed: the operators' file has no [dns]", http.StatusNotFound)
}

// queryHandler answers requests with the report that read selects; an error from read is answered 400.
func (i *adminServer) queryHandler(read func(*http.Request) (report, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		run, err := read(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
		defer cancel()
		q := adminQuery{run, make(chan any, 1)}
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

// work answers GET /work with background work, and passes the commands of POST /work on to it. It does not go through the loop.
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
	limit, _ := strconv.Atoi(q.Get("most"))
	v, err := c.Work(work.Filter{ID: work.ID(id), Kind: q.Get("kind"), Owner: q.Get("owner"), State: q.Get("state"), Limit: limit})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	json.NewEncoder(w).Encode(v)
}

// handle answers a query.
func (i *adminServer) handle(e extensionEvent, now time.Duration) []brain.Event {
	if q, ok := e.(adminQuery); ok {
		q.answer <- q.run(i.s, now)
	}
	return nil
}

// shutdown closes the socket.
func (i *adminServer) shutdown() error {
	err := i.server.Close()
	i.done.Wait()
	return err
}
