package fleet

import (
	"sync"
)

// incarnations holds for each voter the incarnation whose messages are accepted. It is safe for concurrent use.
type incarnations struct {
	mu      sync.Mutex
	current map[string]uint64
}

// set records that an incarnation has made its handshake: messages of earlier ones are dropped from now on.
func (l *incarnations) set(name string, incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current[name] = incarnation
}

// deliver calls in, and returns true, if the incarnation is that of the last handshake, or of the first message if there was no handshake. A later
// handshake is recorded only after in has returned.
func (l *incarnations) deliver(name string, incarnation uint64, in func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current, known := l.current[name]; !known {
		l.current[name] = incarnation
	} else if current != incarnation {
		return false
	}
	in()
	return true
}

// get returns the incarnation whose messages are accepted; 0: none is known.
func (l *incarnations) get(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current[name]
}
