package fleet

import (
	"sync"
)

// incarnations are the processes of voters whose word counts.
type incarnations struct {
	mu      sync.Mutex
	current map[string]uint64
}

// set is that a process has said hello.
func (l *incarnations) set(name string, life uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current[name] = life
}

// deliver lets a message in if it is of the process that said hello last, or of the first that is heard if none did. It is in
// before a hello that comes after it.
func (l *incarnations) deliver(name string, life uint64, in func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if is, known := l.current[name]; !known {
		l.current[name] = life
	} else if is != life {
		return false
	}
	in()
	return true
}

// get is the process that is known; 0 if none is.
func (l *incarnations) get(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current[name]
}
