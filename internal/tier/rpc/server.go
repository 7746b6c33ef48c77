package rpc

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"
)

const (
	serverIdleTimeout = 3 * clientIdleTimeout // the client closes idle connections first, so that the server never closes one during a request
	headerTimeout     = 5 * time.Second
	maxHeaderBytes    = 16 << 10
)

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
		_ = listener.Close() // in case server.Serve has not started yet
	})
	go func() {
		defer stop()
		if err := server.Serve(userTimeoutListener{listener}); !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
			log.Error().Str("event", "rpc_server_ended").Str("address", server.Addr).Err(err).Msg("internal server ended unexpectedly")
		}
	}()
	return server, nil
}
