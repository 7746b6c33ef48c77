package undelivered

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"path/filepath"
	"time"
)

// Remote is the store of a running sender, reached by its Unix socket. A rejected request is a *RemoteError.
type Remote struct{ client *http.Client }

// Dial returns the store of the sender whose socket is in a folder. It does not connect; requests do.
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
		return &RemoteError{Message: string(text)}
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("undelivered: decode the sender's response: %w", err)
	}
	return nil
}

// List calls do with entries in the order of their ends, until do returns false. It fetches them page by page.
func (r *Remote) List(f Filter, do func(Key, Entry) bool) error {
	return pages(r, "/list", f, func(n Named) (string, func(Key) bool) {
		return n.Name, func(k Key) bool { return do(k, n.Entry) }
	})
}

// Plans calls do with the plan for each entry, as if an operator requested its resend.
func (r *Remote) Plans(f Filter, do func(ResendPlan)) error {
	return pages(r, "/plans", f, func(p ResendPlan) (string, func(Key) bool) {
		return p.Name, func(Key) bool { do(p); return true }
	})
}

// pages requests the items that a filter selects, page by page. each returns an item's name and the function to call with its key, which
// reports whether to continue.
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
		for _, item := range all {
			name, do := each(item)
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

// RequestResend requests the resend of entries, as far as it is permitted, or cancels that; n is how many entries that changed.
func (r *Remote) RequestResend(f Filter, want bool) (n int, err error) {
	q := f.query()
	if !want {
		q.Set("stop", "1")
	}
	return n, r.call(http.MethodPost, "/want", q, &n)
}

// Get returns an entry; ok is whether it exists.
func (r *Remote) Get(key Key) (Entry, bool, error) {
	var e *Entry
	if err := r.call(http.MethodGet, "/get", url.Values{"name": {key.String()}}, &e); err != nil || e == nil {
		return Entry{}, false, err
	}
	return *e, true, nil
}

// Count returns the counts by member and reason.
func (r *Remote) Count() (t Totals, err error) { return t, r.call(http.MethodGet, "/count", nil, &t) }

// Resolve records that an entry was dealt with by hand, at the time of the sender's clock.
func (r *Remote) Resolve(key Key, by, why string, _ int64) error {
	var n int
	return r.call(http.MethodPost, "/settle", url.Values{"name": {key.String()}, "by": {by}, "why": {why}}, &n)
}

// Drop removes entries; n is how many of them existed.
func (r *Remote) Drop(keys []Key) (n int, err error) {
	q := url.Values{}
	for _, k := range keys {
		q.Add("name", k.String())
	}
	return n, r.call(http.MethodPost, "/drop", q, &n)
}
