package rpc

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDial_RetriesOnlyAfterTimeout(t *testing.T) {
	timeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	refused := &net.OpError{Op: "dial", Err: errors.New("refused")}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range []struct {
		label string
		ctx   context.Context
		errs  []error
		tries int
		err   error
	}{
		{"fine", context.Background(), []error{nil}, 1, nil},
		{"lost packet", context.Background(), []error{timeout, nil}, 2, nil},
		{"two lost packets", context.Background(), []error{timeout, timeout, nil}, 2, timeout},
		{"connection refused", context.Background(), []error{refused, nil}, 1, refused},
		{"context ended", ended, []error{timeout, nil}, 1, timeout},
	} {
		t.Run(c.label, func(t *testing.T) {
			tries := 0
			_, err := dial(c.ctx, "tcp", "x", func(context.Context, string, string) (net.Conn, error) {
				tries++
				return nil, c.errs[tries-1]
			})
			assert.Equal(t, tries, c.tries)
			if c.err == nil {
				assert.NilError(t, err)
			} else {
				assert.ErrorIs(t, err, c.err)
			}
		})
	}
}

func TestNewClient_NoRedirectsAndCallContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	held := make(chan struct{})
	server, err := Serve(ctx, "127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			<-r.Context().Done()
			close(held)
			return
		}
		http.Redirect(w, r, "/", http.StatusTemporaryRedirect)
	}))
	assert.NilError(t, err)
	client := NewClient()
	response, err := client.Get("http://" + server.Addr + "/x")
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusTemporaryRedirect)
	short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
	defer stop()
	request, err := http.NewRequestWithContext(short, http.MethodGet, "http://"+server.Addr+"/held", nil)
	assert.NilError(t, err)
	_, err = client.Do(request)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	<-held
}
