package undelivered

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"time"
)

// SocketName is the Unix socket in the store's folder on which a running sender serves the command line.
const SocketName = "undelivered.sock"

// Named is an entry with its key, as it is listed and exported.
type Named struct {
	Name string `json:"name"`
	Entry
}

// Source is what Store and Remote have in common.
type Source interface {
	List(f Filter, do func(Key, Entry) bool) error
	Get(key Key) (Entry, bool, error)
	Count() (Totals, error)
	Resolve(key Key, by, why string, now int64) error
	Drop(keys []Key) (int, error)
}

// Serve serves the command line on a Unix socket in the store's folder, which only its owner can access, until ctx ends.
func (l *LazyStore) Serve(ctx context.Context) error {
	path := filepath.Join(l.folder, SocketName)
	if err := os.MkdirAll(l.folder, 0o700); err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) { // a process that was killed leaves its socket behind
		return fmt.Errorf("undelivered: %w", err)
	}
	listener, err := net.Listen("unix", path)
	if err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		listener.Close()
		return fmt.Errorf("undelivered: %w", err)
	}
	s := &http.Server{Handler: l.handler(), ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("undelivered: %w", err)
	}
	return nil
}

// handler serves the requests of the command line. Requests on stored entries go to the store, and those on resends to the Resender.
func (l *LazyStore) handler() http.Handler {
	mux := http.NewServeMux()
	for pattern, serve := range map[string]storeHandler{
		"GET /list":    serveList,
		"GET /get":     serveGet,
		"GET /count":   serveCount,
		"POST /settle": serveResolve,
		"POST /drop":   serveDrop,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			s, err := l.Store()
			if err == nil {
				err = serve(s, w, r.URL.Query())
			}
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
			}
		})
	}
	for pattern, serve := range map[string]resenderHandler{
		"GET /plans": servePlans,
		"POST /want": serveRequestResend,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			if l.resender == nil {
				http.Error(w, "nothing goes again: the operators' file has no [work]", http.StatusNotFound)
				return
			}
			filter, err := parseFilter(r.URL.Query())
			if err == nil {
				err = serve(l.resender, filter, w, r.URL.Query())
			}
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
			}
		})
	}
	return mux
}

type (
	storeHandler    func(s *Store, w io.Writer, q url.Values) error
	resenderHandler func(r Resender, f Filter, w io.Writer, q url.Values) error
)

func writeJSON(w io.Writer, v any) error { return json.NewEncoder(w).Encode(v) }

func serveList(s *Store, w io.Writer, q url.Values) error {
	f, err := parseFilter(q)
	if err != nil {
		return err
	}
	// The response is collected first: a slow reader must not hold a transaction open.
	var all []Named
	f.Limit = min(max(1, f.Limit), maxPageEntries)
	if err := s.List(f, func(k Key, e Entry) bool { all = append(all, Named{k.String(), e}); return true }); err != nil {
		return err
	}
	return writeJSON(w, all)
}

func serveGet(s *Store, w io.Writer, q url.Values) error {
	key, err := ParseKey(q.Get("name"))
	if err != nil {
		return err
	}
	e, ok, err := s.Get(key)
	if err != nil || !ok {
		return errors.Join(err, writeJSON(w, nil))
	}
	return writeJSON(w, e)
}

func serveCount(s *Store, w io.Writer, _ url.Values) error {
	t, err := s.Count()
	if err != nil {
		return err
	}
	return writeJSON(w, t)
}

func serveResolve(s *Store, w io.Writer, q url.Values) error {
	key, err := ParseKey(q.Get("name"))
	if err == nil {
		err = s.Resolve(key, q.Get("by"), q.Get("why"), time.Now().UnixNano())
	}
	if err != nil {
		return err
	}
	return writeJSON(w, 1)
}

func serveDrop(s *Store, w io.Writer, q url.Values) error {
	var keys []Key
	for _, name := range q["name"] {
		key, err := ParseKey(name)
		if err != nil {
			return err
		}
		keys = append(keys, key)
	}
	n, err := s.Drop(keys)
	if err != nil {
		return err
	}
	return writeJSON(w, n)
}

func servePlans(r Resender, f Filter, w io.Writer, _ url.Values) error {
	f.Limit = min(max(1, f.Limit), maxPageEntries)
	plans, err := r.Plans(f)
	if err != nil {
		return err
	}
	return writeJSON(w, plans)
}

func serveRequestResend(r Resender, f Filter, w io.Writer, q url.Values) error {
	n, err := r.RequestResend(f, q.Get("stop") == "")
	if err != nil {
		return err
	}
	return writeJSON(w, n)
}

// maxPageEntries bounds the entries in one response.
const maxPageEntries = 200
