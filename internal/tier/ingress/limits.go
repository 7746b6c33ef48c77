package ingress

import (
	"time"
)

// Limits bounds the size of requests and the time that a client may take. A field that is not positive takes its default.
type Limits struct {
	MaxHeader     int           // bytes of a request head; default 64 KB
	MaxBody       int           // bytes of a body; default 8 MB
	HeaderTimeout time.Duration // for a head, and for each 4 KB of a body; default 10 s
	IdleTimeout   time.Duration // between requests; default 1 min
}

// withDefaults returns the limits with each field that is not positive replaced by its default.
func (l Limits) withDefaults() Limits {
	if l.MaxHeader <= 0 {
		l.MaxHeader = 64 << 10
	}
	if l.MaxBody <= 0 {
		l.MaxBody = 8 << 20
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = 10 * time.Second
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = time.Minute
	}
	return l
}
