package rpc

import (
	"context"
	"net"
	"net/http"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

func TestUserTimeout_SetOnBothSides(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, err := Serve(ctx, "127.0.0.1:0", echoProtocol)
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
