package rpc

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// peerTimeout is the time after which a peer that acknowledges nothing counts as unreachable (TCP_USER_TIMEOUT, and keep-alive
// probes on idle connections).
const peerTimeout = time.Second

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: peerTimeout, Interval: peerTimeout, Count: 2}

// setUserTimeout sets how long a peer may acknowledge nothing. If the system has no such option, only keep-alive probes detect an
// unreachable peer.
func setUserTimeout(conn syscall.RawConn) {
	_ = conn.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(peerTimeout/time.Millisecond))
	})
}

// userTimeoutListener is a listener whose connections fail when a peer acknowledges nothing.
type userTimeoutListener struct{ net.Listener }

// Accept implements net.Listener.
func (listener userTimeoutListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			setUserTimeout(raw)
		}
	}
	return conn, nil
}
