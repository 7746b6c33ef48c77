package client_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/client"
)

// serve starts a server and returns its address.
func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func newClient(t *testing.T, addresses ...string) *client.Client {
	t.Helper()
	c, err := client.New(client.Config{Addresses: addresses, AttemptTimeout: 100 * time.Millisecond})
	assert.NilError(t, err)
	return c
}

// respond returns a handler of one response.
func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}
}

func TestNew_WithoutAddress(t *testing.T) {
	_, err := client.New(client.Config{})
	assert.ErrorIs(t, err, client.ErrNoAddress)
}

// A call is retried at the next address after an attempt without a definitive response, and follows redirects.
func TestCall_MovesOn(t *testing.T) {
	good := serve(t, respond(200, `{"value":7}`))
	for _, c := range []struct {
		name  string
		first http.HandlerFunc
	}{
		{"unavailable", respond(503, `{}`)},
		{"too many requests", respond(429, `{}`)},
		{"outcome unknown", respond(504, `{}`)},
		{"no answer in time", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after the body has been read
			<-r.Context().Done()
		}},
		{"a connection that breaks", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"redirect", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://"+good+r.URL.RequestURI(), http.StatusTemporaryRedirect)
		}},
		{"redirects in a ring", func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "http://"+r.Host+r.URL.RequestURI(), http.StatusTemporaryRedirect)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			value, err := newClient(t, serve(t, c.first), good).NextNumber(t.Context(), "n")
			assert.NilError(t, err)
			assert.Equal(t, value, uint64(7))
		})
	}
}

// A call without a definitive response ends with its context, and its error contains the last failure.
func TestCall_CancelledByContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := newClient(t, serve(t, respond(503, `{"error_message":"no primary is known"}`))).NextNumber(ctx, "n")
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.ErrorContains(t, err, "no primary is known")
}

func TestErrors(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   string
		call   func(ctx context.Context, c *client.Client) error
		check  func(err error) bool
	}{
		{"another holds the lock", 409, `{}`, func(ctx context.Context, c *client.Client) error {
			_, err := c.Acquire(ctx, "l", "a", time.Second)
			return err
		}, func(err error) bool { return errors.Is(err, client.ErrLocked) }},
		{"the key has another revision", 412, `{"etag":9}`, func(ctx context.Context, c *client.Client) error {
			_, err := c.PutIf(ctx, "g.k", "v", 3)
			return err
		}, func(err error) bool {
			var conflict *client.ConflictError
			return errors.As(err, &conflict) && conflict.Revision == 9
		}},
		{"no such key", 404, `{}`, func(ctx context.Context, c *client.Client) error {
			_, err := c.Get(ctx, "g.k")
			return err
		}, func(err error) bool { return errors.Is(err, client.ErrKeyMissing) }},
		{"history gone", 410, `{}`, func(ctx context.Context, c *client.Client) error {
			return c.Watch(ctx, "g.", 3, func(client.Event) error { return nil })
		}, func(err error) bool { return errors.Is(err, client.ErrHistoryGone) }},
		{"a call that is wrong", 400, `{"error_message":"a name is missing"}`, func(ctx context.Context, c *client.Client) error {
			_, err := c.Put(ctx, "", "v")
			return err
		}, func(err error) bool {
			var status *client.StatusError
			return errors.As(err, &status) && status.Status == 400 && status.Message == "a name is missing"
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := c.call(t.Context(), newClient(t, serve(t, respond(c.status, c.body))))
			assert.Assert(t, c.check(err), "%v", err)
		})
	}
}

// A renewal that gets a 409, or no answer in time, ends the hold.
func TestLock_ExpiresWithoutRenewal(t *testing.T) {
	for _, c := range []struct {
		name  string
		renew http.HandlerFunc
	}{
		{"by another", respond(409, `{}`)},
		{"no answer until its end", respond(503, `{}`)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address := serve(t, func(w http.ResponseWriter, r *http.Request) {
				if strings.Contains(r.URL.Path, "Create") {
					respond(200, `{"fence":41}`)(w, r)
					return
				}
				c.renew(w, r)
			})
			lock, err := newClient(t, address).Acquire(t.Context(), "l", "a", 300*time.Millisecond)
			assert.NilError(t, err)
			assert.Equal(t, lock.Fence(), uint64(41))
			assert.Assert(t, lock.Valid())
			assert.ErrorIs(t, lock.KeepAlive(t.Context()), client.ErrLockLost)
			assert.Assert(t, !lock.Valid())
		})
	}
}

// The hold is measured from before the call: a grant that arrives after the hold time is discarded, and the lock is requested
// again.
func TestAcquire_AnswerAfterHold(t *testing.T) {
	var calls atomic.Int64
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			<-time.After(60 * time.Millisecond)
		}
		respond(200, fmt.Sprintf(`{"fence":%d}`, calls.Load()))(w, r)
	})
	lock, err := newClient(t, address).Acquire(t.Context(), "l", "a", 50*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, lock.Fence(), uint64(2))
}
