// Package rpcserver has the client and the server of the calls between the tier's own processes: HTTP/1.1 over TCP, with
// time-outs for a network in which a machine that has lost power sends nothing, not even a reset.
package rpcserver

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"
	"golang.org/x/sys/unix"
)

const (
	dialTimeout       = 400 * time.Millisecond // of one attempt: a dropped SYN is retransmitted only after seconds
	dialAttempts      = 2
	peerTimeout       = time.Second // a peer that acknowledges nothing for so long is gone (TCP_USER_TIMEOUT)
	maxIdlePerHost    = 16          // connections
	clientIdleTimeout = 30 * time.Second
	serverIdleTimeout = 3 * clientIdleTimeout // so that it is the client that closes, never under a request
	headerTimeout     = 5 * time.Second
	maxHeaderBytes    = 16 << 10
	listenTimeout     = 5 * time.Second // of all attempts to listen
	listenPause       = 50 * time.Millisecond
)

var (
	space = errorx.NewNamespace("rpcserver")
	// Bind is the type of the errors of Listen and Serve: the address can't be listened at.
	Bind = space.NewType("bind")

	keepAlive = net.KeepAliveConfig{Enable: true, Idle: peerTimeout, Interval: peerTimeout, Count: 2}
)

// NewClient returns a client for calls between the tier's processes. It follows no redirects, uses no proxy, and sets no
// time-out for a call: the context does.
func NewClient() *http.Client {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: keepAlive,
		Control: func(_, _ string, conn syscall.RawConn) error {
			setUserTimeout(conn)
			return nil
		},
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				return dial(ctx, network, addr, dialer.DialContext)
			},
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     clientIdleTimeout,
			DisableCompression:  true,
			TLSNextProto:        map[string]func(string, *tls.Conn) http.RoundTripper{}, // no HTTP/2
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// dial connects by once, and retries where an attempt timed out while the context has not.
func dial(ctx context.Context, network, addr string,
	once func(context.Context, string, string) (net.Conn, error)) (conn net.Conn, err error) {
	for range dialAttempts {
		conn, err = once(ctx, network, addr)
		var netError net.Error
		if err == nil || ctx.Err() != nil || !errors.As(err, &netError) || !netError.Timeout() {
			return conn, err
		}
	}
	return nil, err
}

// setUserTimeout bounds how long a peer may acknowledge nothing. Where the system has no such option, keep-alive probes
// alone detect a peer that is gone.
func setUserTimeout(conn syscall.RawConn) {
	_ = conn.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(peerTimeout/time.Millisecond))
	})
}

// Serve listens at addr, as Listen does, and serves handler until ctx ends, when listener and connections are closed. The
// server returned is listening, and its Addr is the address bound. While another process still has the port, Serve retries;
// other errors, all of type Bind, are returned at once.
func Serve(ctx context.Context, addr string, handler http.Handler) (*http.Server, error) {
	listener, err := Listen(ctx, net.ListenConfig{KeepAliveConfig: keepAlive}, addr, portInUse)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Addr:              listener.Addr().String(),
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(io.Discard, "", 0),
		TLSNextProto:      map[string]func(*http.Server, *tls.Conn, http.Handler){},
	}
	stop := context.AfterFunc(ctx, func() {
		_ = server.Close()
		_ = listener.Close() // also where Serve has not taken it yet
	})
	go func() {
		defer stop()
		if err := server.Serve(userTimeoutListener{listener}); !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
			log.Error().Str("event", "rpc_server_ended").Str("address", server.Addr).Err(err).Msg("")
		}
	}()
	return server, nil
}

// portInUse reports whether an error of Listen is that of a port that a former process may still hold.
func portInUse(err error) bool { return errors.Is(err, syscall.EADDRINUSE) }

// Listen listens at a TCP address. It retries errors that are transient for up to five seconds, or until ctx ends: a former
// process may still hold the port. Its errors are of type Bind.
func Listen(ctx context.Context, config net.ListenConfig, addr string, transient func(error) bool) (net.Listener, error) {
	for start := time.Now(); ; {
		listener, err := config.Listen(ctx, "tcp", addr)
		if err == nil {
			return listener, nil
		}
		if !transient(err) || time.Since(start) >= listenTimeout {
			return nil, Bind.Wrap(err, "listen at %s", addr)
		}
		select {
		case <-ctx.Done():
			return nil, Bind.Wrap(ctx.Err(), "listen at %s", addr)
		case <-time.After(listenPause):
		}
	}
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

// Life returns a random identifier, 64 bits in hexadecimal, for one life of a process: from its start to its end.
func Life() string {
	var bits [8]byte
	_, _ = rand.Read(bits[:]) // never fails
	return hex.EncodeToString(bits[:])
}
