package fleet

import (
	"sync"
)

// incarnations are the processes of voters whose messages count, by voter. It is safe for concurrent use.
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

// deliver calls in, and returns true, if the incarnation is the one of the last handshake, or of the first message if there was none. The message is in
// before a later handshake is.
func (l *incarnations) deliver(name string, incarnation uint64, in func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if is, known := l.current[name]; !known {
		l.current[name] = incarnation
	} else if is != incarnation {
		return false
	}
	in()
	return true
}

// get is the incarnation that is known; 0 if none is.
func (l *incarnations) get(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current[name]
}
