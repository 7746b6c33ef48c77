package rpc

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

var echoProtocol = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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
	server, err := Serve(ctx, "127.0.0.1:0", echoProtocol)
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
		server, err = Serve(ctx, busy.Addr().String(), echoProtocol)
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
	_, err = Serve(ctx, busy.Addr().String(), echoProtocol)
	assert.Check(t, errorx.IsOfType(err, Bind))
	_, err = Serve(context.Background(), "127.0.0.1:99999", echoProtocol)
	assert.Check(t, errorx.IsOfType(err, Bind))
}
