// Package rpcserver is how the tier's own processes reach each other: HTTP/1.1 over TCP, tuned for a network in which a
// machine without power says nothing.
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
	dialTimeout = 400 * time.Millisecond // of one try: an opening packet that was dropped is sent again only after seconds
	dialTries   = 2
	silence     = time.Second // a peer that acknowledges nothing for so long is gone (TCP_USER_TIMEOUT)
	idlePerHost = 16
	idleClient  = 30 * time.Second
	idleServer  = 3 * idleClient // so that it is the client that closes, never under a request
	headerTime  = 5 * time.Second
	maxHeader   = 16 << 10 // bytes
	bindTime    = 5 * time.Second
	bindPause   = 100 * time.Millisecond
)

var (
	space = errorx.NewNamespace("rpcserver")
	// Bind is the type of errors of an address that can't be listened at.
	Bind = space.NewType("bind")

	keepAlive = net.KeepAliveConfig{Enable: true, Idle: silence, Interval: silence, Count: 2}
)

// NewClient gives a client for calls between the tier's processes. It sets no time-out for a call: the context does.
func NewClient() *http.Client {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: keepAlive,
		Control: func(_, _ string, c syscall.RawConn) error {
			setUserTimeout(c)
			return nil
		},
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				return dial(ctx, network, addr, dialer.DialContext)
			},
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     idleClient,
			DisableCompression:  true,
			TLSNextProto:        map[string]func(string, *tls.Conn) http.RoundTripper{}, // no HTTP/2
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// dial tries again where a try ran out of time while the context has not.
func dial(ctx context.Context, network, addr string,
	once func(context.Context, string, string) (net.Conn, error)) (conn net.Conn, err error) {
	for range dialTries {
		conn, err = once(ctx, network, addr)
		var e net.Error
		if err == nil || ctx.Err() != nil || !errors.As(err, &e) || !e.Timeout() {
			return conn, err
		}
	}
	return nil, err
}

// setUserTimeout bounds how long a peer may acknowledge nothing. Where the system knows no such option, probes must do.
func setUserTimeout(c syscall.RawConn) {
	_ = c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence/time.Millisecond))
	})
}

// Serve listens at addr, trying for some seconds while the port is still in use, and serves h until ctx ends, when
// listener and connections are closed. The server returned is listening, and its Addr is the address bound.
func Serve(ctx context.Context, addr string, h http.Handler) (*http.Server, error) {
	listener, err := listen(ctx, addr)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Addr:              listener.Addr().String(),
		Handler:           h,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleServer,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          stdlog.New(io.Discard, "", 0),
		TLSNextProto:      map[string]func(*http.Server, *tls.Conn, http.Handler){},
	}
	stop := context.AfterFunc(ctx, func() {
		_ = server.Close()
		_ = listener.Close() // also where Serve has not taken it yet
	})
	go func() {
		defer stop()
		if err := server.Serve(patient{listener}); !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
			log.Error().Str("event", "rpc_server_ended").Str("address", server.Addr).Err(err).Msg("")
		}
	}()
	return server, nil
}

// listen listens at addr, trying until bindTime is over while the port is still in use.
func listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	for begin := time.Now(); ; {
		listener, err := config.Listen(ctx, "tcp", addr)
		if err == nil {
			return listener, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Since(begin) >= bindTime {
			return nil, Bind.Wrap(err, "listen at %s", addr)
		}
		select {
		case <-ctx.Done():
			return nil, Bind.Wrap(ctx.Err(), "listen at %s", addr)
		case <-time.After(bindPause):
		}
	}
}

// patient is a listener whose connections give up a silent peer.
type patient struct{ net.Listener }

// Accept implements net.Listener.
func (p patient) Accept() (net.Conn, error) {
	conn, err := p.Listener.Accept()
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

// Life gives a random id of 64 bits in hex, for one life of a process.
func Life() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}
