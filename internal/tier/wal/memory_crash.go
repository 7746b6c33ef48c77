package wal

import (
	"math/rand/v2"
	"slices"
)

// Kill ends the process without a loss: handles are dead, files stay as they were seen.
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
	clear(memory.live)
	clear(memory.disk)
	clear(memory.dirs)
	memory.naming = nil
}

// Crash is a loss of power. Of what was not synced, each write is there, missing or torn, and each change of names up to
// some place is done or undone; now and then, and always with a nil rng, all of it is gone.
func (memory *Memory) Crash(rng *rand.Rand) {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	memory.restart()
	if rng != nil && rng.IntN(4) == 0 {
		rng = nil
	}
	if rng != nil {
		for _, n := range memory.naming[:rng.IntN(len(memory.naming)+1)] {
			memory.settle(n)
		}
	}
	memory.naming = nil
	memory.live = map[string]*inode{}
	seen := map[*inode]bool{}
	names := make([]string, 0, len(memory.disk))
	for name := range memory.disk {
		names = append(names, name)
	}
	slices.Sort(names) // one seed, one outcome
	for _, name := range names {
		node := memory.disk[name]
		memory.live[name] = node
		if !seen[node] {
			seen[node] = true
			node.crash(rng)
		}
	}
}

// restart begins another life of the process. The lock is held.
func (memory *Memory) restart() {
	memory.life++
	memory.dead, memory.dieAt, memory.failAt, memory.failBy, memory.sticks = false, 0, 0, nil, false
}

// settle makes one change of names last.
func (memory *Memory) settle(n naming) {
	if n.from != "" && memory.disk[n.from] == n.node {
		delete(memory.disk, n.from)
	}
	if n.to != "" {
		memory.disk[n.to] = n.node
	}
}

// crash leaves what lasts of a file.
func (node *inode) crash(rng *rand.Rand) {
	data := node.disk
	if rng != nil {
		for _, c := range node.pending {
			switch rng.IntN(3) {
			case 0:
				data = c.apply(data)
			case 1: // missing
			case 2:
				for _, part := range c.tear(rng) {
					data = part.apply(data)
				}
			}
		}
	}
	node.live, node.disk, node.pending = slices.Clone(data), slices.Clone(data), nil
}

// dirty tells whether bytes that were written and are still part of the file wait for a sync.
func (node *inode) dirty() bool {
	return slices.ContainsFunc(node.pending, func(c change) bool { return !c.cut && c.at < int64(len(node.live)) })
}

// tear gives what a torn change leaves: a beginning, or a beginning and an end.
func (c change) tear(rng *rand.Rand) []change {
	if c.cut || len(c.data) == 0 {
		return nil
	}
	i := rng.IntN(len(c.data))
	parts := []change{{at: c.at, data: c.data[:i]}}
	if rng.IntN(2) == 0 {
		j := i + rng.IntN(len(c.data)-i)
		parts = append(parts, change{at: c.at + int64(j), data: c.data[j:]})
	}
	return parts
}

// apply gives the bytes after the change. What was given isn't touched.
func (c change) apply(to []byte) []byte {
	if c.cut {
		if c.at <= int64(len(to)) {
			return to[:c.at:c.at]
		}
		return append(slices.Clone(to), make([]byte, c.at-int64(len(to)))...)
	}
	if len(c.data) == 0 {
		return to
	}
	out := make([]byte, max(int64(len(to)), c.at+int64(len(c.data))))
	copy(out, to)
	copy(out[c.at:], c.data)
	return out
}
