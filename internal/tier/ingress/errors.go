package ingress

import "errors"

var (
	// ErrStopped is returned by Serve after a call of Shutdown or Close, and by Shutdown while an earlier Shutdown waits.
	ErrStopped = errors.New("ingress: server is stopped")
	// ErrAlreadyResponded is returned if the exchange already has a response or its handler has returned.
	ErrAlreadyResponded = errors.New("ingress: already responded")
	// ErrInvalidHeader is returned for an invalid status or header field. Nothing was written.
	ErrInvalidHeader = errors.New("ingress: invalid status or header field")
	// ErrStreamVersion is returned by Begin for an HTTP/1.0 client, which was answered with 505.
	ErrStreamVersion = errors.New("ingress: HTTP/1.0 client cannot receive a stream")

	errConnectionBroken = errors.New("ingress: connection is broken")
	errNotASocket       = errors.New("ingress: connection is not an operating system socket")
)
