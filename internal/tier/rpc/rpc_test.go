package rpc

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

var hello = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, r.Proto+" "+r.Header.Get("Accept-Encoding"))
})

func get(client *http.Client, addr string) (string, error) {
	response, err := client.Get("http://" + addr + "/")
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestServe_AnswersClient(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Setenv("HTTP_PROXY", "http://127.0.0.1:1")
	server, err := Serve(ctx, "127.0.0.1:0", hello)
	assert.NilError(t, err)
	client := NewClient()
	for range 3 {
		body, err := get(client, server.Addr)
		assert.NilError(t, err)
		assert.Equal(t, body, "HTTP/1.1 ")
	}
	closed := make(chan struct{})
	cancel()
	go func() {
		defer close(closed)
		for { // the end of the context closes the port
			conn, err := net.Dial("tcp", server.Addr)
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	<-closed
	_, err = get(client, server.Addr)
	assert.Check(t, err != nil)
}

func TestServe_WaitsForBusyPort(t *testing.T) {
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, 1)
	var server *http.Server
	go func() {
		var err error
		server, err = Serve(ctx, busy.Addr().String(), hello)
		done <- err
	}()
	assert.NilError(t, busy.Close())
	assert.NilError(t, <-done)
	body, err := get(NewClient(), server.Addr)
	assert.NilError(t, err)
	assert.Equal(t, body, "HTTP/1.1 ")
}

func TestServe_StopsWithContext(t *testing.T) {
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer busy.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = Serve(ctx, busy.Addr().String(), hello)
	assert.Check(t, errorx.IsOfType(err, Bind))
	_, err = Serve(context.Background(), "127.0.0.1:99999", hello)
	assert.Check(t, errorx.IsOfType(err, Bind))
}

// Listen asks its caller about each error, and returns those that are not transient at once.
func TestListen_RetriesTransientErrorsOnly(t *testing.T) {
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer busy.Close()
	for _, retries := range []int{0, 1} {
		asked := 0
		_, err := Listen(context.Background(), net.ListenConfig{}, busy.Addr().String(), func(err error) bool {
			assert.Check(t, portInUse(err))
			asked++
			return asked <= retries
		})
		assert.Check(t, errorx.IsOfType(err, Bind))
		assert.Equal(t, asked, retries+1)
	}
	listener, err := Listen(context.Background(), net.ListenConfig{}, "127.0.0.1:0", func(error) bool { return false })
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
}

func TestUserTimeout_SetOnBothSides(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, err := Serve(ctx, "127.0.0.1:0", hello)
	assert.NilError(t, err)
	conn, err := NewClient().Transport.(*http.Transport).DialContext(ctx, "tcp", server.Addr)
	assert.NilError(t, err)
	defer conn.Close()
	assert.Equal(t, userTimeout(t, conn), 1000)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	peer, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer peer.Close()
	accepted, err := userTimeoutListener{listener}.Accept()
	assert.NilError(t, err)
	defer accepted.Close()
	assert.Equal(t, userTimeout(t, accepted), 1000)
}

func userTimeout(t *testing.T, conn net.Conn) (value int) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) {
		value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	assert.NilError(t, err)
	return value
}

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
		{"no one there", context.Background(), []error{timeout, timeout, nil}, 2, timeout},
		{"dead port", context.Background(), []error{refused, nil}, 1, refused},
		{"context over", ended, []error{timeout, nil}, 1, timeout},
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

func TestNewIncarnation(t *testing.T) {
	a, b := NewIncarnation(), NewIncarnation()
	assert.Equal(t, len(a), 16)
	assert.Check(t, a != b)
}
