package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	dialTimeout       = 400 * time.Millisecond // of one attempt: a dropped SYN is retransmitted only after seconds
	dialAttempts      = 2
	maxIdlePerHost    = 16 // connections
	clientIdleTimeout = 30 * time.Second
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

// dial connects with the function connect, and retries if an attempt timed out but the context has not ended.
func dial(ctx context.Context, network, addr string,
	connect func(context.Context, string, string) (net.Conn, error)) (conn net.Conn, err error) {
	for range dialAttempts {
		conn, err = connect(ctx, network, addr)
		var netError net.Error
		if err == nil || ctx.Err() != nil || !errors.As(err, &netError) || !netError.Timeout() {
			return conn, err
		}
	}
	return nil, err
}
