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
	"strconv"
	"time"
)

// SocketName is the Unix socket beside the store, by which the command line asks a sender that runs.
const SocketName = "undelivered.sock"

// Named is an entry with its name.
type Named struct {
	Name string `json:"name"`
	Entry
}

// Source is a store, or a sender that holds one.
type Source interface {
	List(f Filter, do func(Key, Entry) bool) error
	Get(key Key) (Entry, bool, error)
	Count() (Totals, error)
	Resolve(key Key, by, why string, now int64) error
	Drop(keys []Key) (int, error)
}

// Serve answers the command line on a Unix socket in the keeper's folder, for nobody but its owner, until ctx ends.
func (k *LazyStore) Serve(ctx context.Context) error {
	path := filepath.Join(k.folder, SocketName)
	if err := os.MkdirAll(k.folder, 0o700); err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) { // a process that was killed leaves its own
		return fmt.Errorf("undelivered: %w", err)
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	if err := os.Chmod(path, 0o600); err != nil {
		l.Close()
		return fmt.Errorf("undelivered: %w", err)
	}
	s := &http.Server{Handler: k.handler(), ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("undelivered: %w", err)
	}
	return nil
}

func (k *LazyStore) handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, f func(*Store, http.ResponseWriter, url.Values) error) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			s, err := k.Store()
			if err == nil {
				err = f(s, w, r.URL.Query())
			}
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
			}
		})
	}
	answer := func(w io.Writer, v any) error { return json.NewEncoder(w).Encode(v) }
	handle("GET /list", func(s *Store, w http.ResponseWriter, q url.Values) error {
		f, err := parseFilter(q)
		if err != nil {
			return err
		}
		// The answer is gathered first: a reader that takes its time is not to hold a transaction open.
		var all []Named
		f.Limit = min(max(1, f.Limit), maxPageEntries)
		if err := s.List(f, func(k Key, e Entry) bool { all = append(all, Named{k.String(), e}); return true }); err != nil {
			return err
		}
		return answer(w, all)
	})
	handle("GET /get", func(s *Store, w http.ResponseWriter, q url.Values) error {
		key, err := ParseKey(q.Get("name"))
		if err != nil {
			return err
		}
		e, ok, err := s.Get(key)
		if err != nil || !ok {
			return errors.Join(err, answer(w, nil))
		}
		return answer(w, e)
	})
	handle("GET /count", func(s *Store, w http.ResponseWriter, _ url.Values) error {
		t, err := s.Count()
		if err != nil {
			return err
		}
		return answer(w, t)
	})
	handle("POST /settle", func(s *Store, w http.ResponseWriter, q url.Values) error {
		key, err := ParseKey(q.Get("name"))
		if err == nil {
			err = s.Resolve(key, q.Get("by"), q.Get("why"), time.Now().UnixNano())
		}
		if err != nil {
			return err
		}
		return answer(w, 1)
	})
	handle("POST /drop", func(s *Store, w http.ResponseWriter, q url.Values) error {
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
		return answer(w, n)
	})
	// What goes again is not asked of the store: its engine says what may, and has it go.
	again := func(pattern string, f func(Filter, http.ResponseWriter, url.Values) error) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			if k.resender == nil {
				http.Error(w, "nothing goes again: the operators' file has no [work]", http.StatusNotFound)
				return
			}
			filter, err := parseFilter(r.URL.Query())
			if err == nil {
				err = f(filter, w, r.URL.Query())
			}
			if err != nil {
				http.Error(w, err.Error(), http.StatusInternalServerError)
			}
		})
	}
	again("GET /plans", func(f Filter, w http.ResponseWriter, _ url.Values) error {
		f.Limit = min(max(1, f.Limit), maxPageEntries)
		plans, err := k.resender.Plans(f)
		if err != nil {
			return err
		}
		return answer(w, plans)
	})
	again("POST /want", func(f Filter, w http.ResponseWriter, q url.Values) error {
		n, err := k.resender.RequestResend(f, q.Get("stop") == "")
		if err != nil {
			return err
		}
		return answer(w, n)
	})
	return mux
}

// maxPageEntries is the entries in one answer.
const maxPageEntries = 200

// query writes a filter as a query, and filterOf reads it.
func (f Filter) query() url.Values {
	q := url.Values{}
	set := func(name, v string) {
		if v != "" {
			q.Set(name, v)
		}
	}
	set("member", f.Member)
	set("reason", string(f.Reason))
	set("class", f.Class)
	if f.Destination != nil {
		set("destination", strconv.FormatUint(uint64(*f.Destination), 10))
	}
	for name, v := range map[string]int64{"since": f.Since, "until": f.Until, "most": int64(f.Limit)} {
		if v != 0 {
			set(name, strconv.FormatInt(v, 10))
		}
	}
	if f.After != (Key{}) {
		set("after", f.After.String())
	}
	return q
}

func parseFilter(q url.Values) (Filter, error) {
	f := Filter{Member: q.Get("member"), Class: q.Get("class")}
	var err error
	if v := q.Get("reason"); v != "" {
		if f.Reason, err = ParseReason(v); err != nil {
			return f, err
		}
	}
	if v := q.Get("destination"); v != "" {
		n, err := strconv.ParseUint(v, 10, 32)
		if err != nil {
			return f, fmt.Errorf("destination: %w", err)
		}
		d := uint32(n)
		f.Destination = &d
	}
	most := int64(0)
	for name, into := range map[string]*int64{"since": &f.Since, "until": &f.Until, "most": &most} {
		if v := q.Get(name); v != "" {
			if *into, err = strconv.ParseInt(v, 10, 64); err != nil {
				return f, fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	f.Limit = int(most)
	if v := q.Get("after"); v != "" {
		if f.After, err = ParseKey(v); err != nil {
			return f, err
		}
	}
	return f, nil
}

// Remote is a sender's store, asked by its socket.
type Remote struct{ client *http.Client }

// Dial asks the sender whose socket is in a folder.
func Dial(folder string) *Remote {
	path := filepath.Join(folder, SocketName)
	return &Remote{&http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "unix", path)
		}}}}
}

func (r *Remote) call(method, path string, q url.Values, into any) error {
	req, err := http.NewRequest(method, "http://sender"+path+"?"+q.Encode(), nil)
	if err != nil {
		return fmt.Errorf("undelivered: %w", err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return fmt.Errorf("undelivered: no sender answers: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
		return fmt.Errorf("undelivered: the sender says: %s", text)
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("undelivered: the sender's answer: %w", err)
	}
	return nil
}

// List asks page by page.
func (r *Remote) List(f Filter, do func(Key, Entry) bool) error {
	return pages(r, "/list", f, func(n Named) (string, func(Key) bool) {
		return n.Name, func(k Key) bool { return do(k, n.Entry) }
	})
}

// Plans asks page by page what would become of entries if they were to go again by hand.
func (r *Remote) Plans(f Filter, do func(ResendPlan)) error {
	return pages(r, "/plans", f, func(p ResendPlan) (string, func(Key) bool) {
		return p.Name, func(Key) bool { do(p); return true }
	})
}

// pages asks for what a filter chooses, page by page. each gives a line's name, and what is done with it; that says whether
// to go on.
func pages[T any](r *Remote, path string, f Filter, each func(T) (name string, do func(Key) bool)) error {
	for left := f.Limit; ; {
		page := f
		if page.Limit = maxPageEntries; left > 0 {
			page.Limit = min(left, maxPageEntries)
		}
		var all []T
		if err := r.call(http.MethodGet, path, page.query(), &all); err != nil {
			return err
		}
		for _, one := range all {
			name, do := each(one)
			key, err := ParseKey(name)
			if err != nil {
				return err
			}
			f.After = key
			if !do(key) {
				return nil
			}
		}
		if left > 0 {
			if left -= len(all); left <= 0 {
				return nil
			}
		}
		if len(all) < page.Limit {
			return nil
		}
	}
}

// RequestResend has entries go again by hand, as far as they may, or stops that; how many that changed.
func (r *Remote) RequestResend(f Filter, want bool) (n int, err error) {
	q := f.query()
	if !want {
		q.Set("stop", "1")
	}
	return n, r.call(http.MethodPost, "/want", q, &n)
}

// Get is one entry.
func (r *Remote) Get(key Key) (Entry, bool, error) {
	var e *Entry
	if err := r.call(http.MethodGet, "/get", url.Values{"name": {key.String()}}, &e); err != nil || e == nil {
		return Entry{}, false, err
	}
	return *e, true, nil
}

// Count counts by member and reason.
func (r *Remote) Count() (t Totals, err error) { return t, r.call(http.MethodGet, "/count", nil, &t) }

// Resolve marks an entry as dealt with; the sender's clock says when.
func (r *Remote) Resolve(key Key, by, why string, _ int64) error {
	var n int
	return r.call(http.MethodPost, "/settle", url.Values{"name": {key.String()}, "by": {by}, "why": {why}}, &n)
}

// Drop takes entries out.
func (r *Remote) Drop(keys []Key) (n int, err error) {
	q := url.Values{}
	for _, k := range keys {
		q.Add("name", k.String())
	}
	return n, r.call(http.MethodPost, "/drop", q, &n)
}
