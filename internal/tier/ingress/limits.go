package ingress

import (
	"time"
)

// Limits bound what a client may send, and how long it may take. A field that is not positive takes its default.
type Limits struct {
	MaxHeader     int           // bytes of a request head; default 64 KB
	MaxBody       int           // bytes of a body; default 8 MB
	HeaderTimeout time.Duration // for a head from its first byte, and for each further 4 KB of a body; default 10 s
	IdleTimeout   time.Duration // between requests; default 1 min
}

// withDefaults returns the limits with the defaults of what is not positive.
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
