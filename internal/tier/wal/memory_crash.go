package wal

import (
	"math/rand/v2"
	"slices"
)

// Kill ends the process without a power loss: its handles fail with ErrDead, and files stay as the process saw them.
func (memory *Memory) Kill() {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.restart()
}

// Wipe ends the process and leaves an empty disk.
func (memory *Memory) Wipe() {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.restart()
	clear(memory.visible)
	clear(memory.durable)
	clear(memory.dirs)
	memory.nameChanges = nil
}

// Crash is a power loss. Each unsynced write is kept, lost or torn, and each unsynced change of names is kept or lost,
// independently of the others. In one of four cases, and always if rng is nil, all of them are lost.
func (memory *Memory) Crash(rng *rand.Rand) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.restart()
	if rng != nil && rng.IntN(4) == 0 {
		rng = nil
	}
	if rng != nil {
		for _, change := range memory.nameChanges {
			if rng.IntN(2) == 0 {
				memory.makeDurable(change)
			}
		}
	}
	memory.nameChanges = nil
	memory.visible = map[string]*inode{}
	seen := map[*inode]bool{}
	names := make([]string, 0, len(memory.durable))
	for name := range memory.durable {
		names = append(names, name)
	}
	slices.Sort(names) // so that the outcome depends on the seed only
	for _, name := range names {
		node := memory.durable[name]
		memory.visible[name] = node
		if !seen[node] {
			seen[node] = true
			node.crash(rng)
		}
	}
}

// restart begins another incarnation of the process. The lock is held.
func (memory *Memory) restart() {
	memory.incarnation++
	memory.dead, memory.dieAt, memory.failAt, memory.failError, memory.failPersistently = false, 0, 0, nil, false
}

// makeDurable makes one change of names durable.
func (memory *Memory) makeDurable(change nameChange) {
	if change.from != "" && memory.durable[change.from] == change.file {
		delete(memory.durable, change.from)
	}
	if change.to != "" {
		memory.durable[change.to] = change.file
	}
}

// crash applies a power loss to a file: each pending change is kept, lost or torn, and all are lost if rng is nil.
func (node *inode) crash(rng *rand.Rand) {
	data := node.durable
	if rng != nil {
		for _, pending := range node.pending {
			switch rng.IntN(3) {
			case 0:
				data = pending.apply(data)
			case 1: // lost
			case 2:
				for _, part := range pending.tear(rng) {
					data = part.apply(data)
				}
			}
		}
	}
	node.visible, node.durable, node.pending = slices.Clone(data), slices.Clone(data), nil
}

// dirty reports whether the file contains written bytes that are not synced.
func (node *inode) dirty() bool {
	return slices.ContainsFunc(node.pending, func(pending contentChange) bool {
		return !pending.truncate && pending.offset < int64(len(node.visible))
	})
}

// tear returns the parts of a torn write that reach the disk: its beginning, or its beginning and its end.
func (change contentChange) tear(rng *rand.Rand) []contentChange {
	if change.truncate || len(change.data) == 0 {
		return nil
	}
	i := rng.IntN(len(change.data))
	parts := []contentChange{{offset: change.offset, data: change.data[:i]}}
	if rng.IntN(2) == 0 {
		j := i + rng.IntN(len(change.data)-i)
		parts = append(parts, contentChange{offset: change.offset + int64(j), data: change.data[j:]})
	}
	return parts
}

// apply returns the bytes after the change. It does not modify its argument.
func (change contentChange) apply(to []byte) []byte {
	if change.truncate {
		if change.offset <= int64(len(to)) {
			return to[:change.offset:change.offset]
		}
		return append(slices.Clone(to), make([]byte, change.offset-int64(len(to)))...)
	}
	if len(change.data) == 0 {
		return to
	}
	out := make([]byte, max(int64(len(to)), change.offset+int64(len(change.data))))
	copy(out, to)
	copy(out[change.offset:], change.data)
	return out
}
