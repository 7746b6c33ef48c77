package ingress

import "errors"

var (
	// ErrStopped is returned by Serve where Shutdown or Close was called before it, and by a second Shutdown.
	ErrStopped = errors.New("ingress: server is stopped")
	// ErrAlreadyResponded is returned where a response was made before, or the handler has returned.
	ErrAlreadyResponded = errors.New("ingress: already responded")
	// ErrInvalidHeader is returned where a status or a field can't be written; nothing was.
	ErrInvalidHeader = errors.New("ingress: invalid status or header field")
	// ErrStreamVersion is returned where a stream is begun for a client of HTTP/1.0, which was answered 505.
	ErrStreamVersion = errors.New("ingress: no streams in HTTP/1.0")

	errConnectionBroken = errors.New("ingress: connection is broken")
	errNotASocket       = errors.New("ingress: connection is no socket of the system")
)
