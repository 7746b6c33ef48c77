package wal

import (
	"sync"
)

// FailAt makes the n-th operation from now (1 is the next) fail once with err. A failing write writes half of its data; a
// failing sync loses the changes that it should have made durable, though the process still sees them.
func (memory *Memory) FailAt(n int, err error) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.failAt, memory.failError, memory.failPersistently = memory.operations+n, err, false
}

// FailFrom is like FailAt, but until Recover all later operations that create, rename or write also fail, and so do syncs of
// files with unsynced writes, as on a full disk. Opening, reading, listing, removing and truncating succeed.
func (memory *Memory) FailFrom(n int, err error) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.failAt, memory.failError, memory.failPersistently = memory.operations+n, err, true
}

// Recover ends the failures injected by FailAt and FailFrom.
func (memory *Memory) Recover() {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.failAt, memory.failError, memory.failPersistently = 0, nil, false
}

// StallSync makes each sync of a file hang until release is called.
func (memory *Memory) StallSync() (release func()) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	stall := make(chan struct{})
	memory.stall = stall
	return sync.OnceFunc(func() {
		memory.mu.Lock()
		defer memory.mu.Unlock()
		if memory.stall == stall {
			memory.stall = nil
		}
		close(stall)
	})
}

// DieAt makes the n-th operation from now and all later ones fail with ErrDead. They have no effect, except that the n-th
// operation, if it is a write, writes half of its data.
func (memory *Memory) DieAt(n int) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.dieAt = memory.operations + n
}

// operation counts one operation and returns its error. The lock is held.
func (memory *Memory) operation() error {
	memory.operations++
	if memory.dead || memory.operations == memory.dieAt {
		memory.dead = true
		return ErrDead
	}
	if memory.operations == memory.failAt {
		return memory.failError
	}
	return nil
}

// changingOperation is operation for calls that need space on the disk. The lock is held.
func (memory *Memory) changingOperation() error {
	if err := memory.operation(); err != nil {
		return err
	}
	if memory.failPersistently && memory.operations > memory.failAt {
		return memory.failError
	}
	return nil
}

// waitStall waits while syncs are stalled.
func (memory *Memory) waitStall() {
	memory.mu.Lock()
	stall := memory.stall
	memory.mu.Unlock()
	if stall != nil {
		<-stall
	}
}
