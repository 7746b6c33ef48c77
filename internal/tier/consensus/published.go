package consensus

import (
	"strings"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// publishedState is the state of the replica that callers read, as of its last step that is on disk.
type publishedState struct {
	epoch          uint64
	primary        bool
	withoutBackups bool
	leaseStart     time.Duration
	entries        map[string]*tierv1.Entry
	view           *tierv1.View
	primaryHint    string
	members        []*tierv1.Member
	self           *tierv1.Member
	health         Health
}

// leads reports whether the process may act as primary at a time: its lease is valid, or the view has no backups.
func (p *publishedState) leads(now, lease time.Duration) bool {
	return p.primary && (p.withoutBackups || now-p.leaseStart < lease)
}

// lease returns how long leads stays true if no backup replies any more. Without backups the lease does not expire, and its full duration
// is returned.
func (p *publishedState) lease(now, duration time.Duration) time.Duration {
	switch {
	case !p.leads(now, duration):
		return 0
	case p.withoutBackups:
		return duration
	}
	return p.leaseStart + duration - now
}

// publish makes the current state of the replica visible to callers; with changed, it wakes those that wait on Changed.
func (node *Node) publish(changed bool) {
	core := node.replica
	published := publishedState{view: core.chosen, primaryHint: core.primaryHint, members: core.liveMembers(), entries: core.entries, self: core.self, health: core.health()}
	if primary := core.primary; primary != nil {
		published.primary, published.epoch, published.entries, published.view = true, primary.view.Epoch, primary.committed, primary.view
		published.withoutBackups, published.leaseStart = len(primary.view.Backups) == 0, core.leaseStart()
	}
	node.mu.Lock()
	node.published = published
	if changed {
		close(node.changed)
		node.changed = make(chan struct{})
	}
	node.mu.Unlock()
}

// Primary returns the epoch of this process's view, and whether it is primary with a valid lease: a round trip to all backups began less
// than a third of the contact window ago.
func (node *Node) Primary() (uint64, bool) {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.published.epoch, node.published.leads(node.now(), node.timing.lease)
}

// Get returns the value of a key as committed at all replicas, and the sequence of the write that set it.
func (node *Node) Get(key string) ([]byte, uint64) {
	node.mu.Lock()
	defer node.mu.Unlock()
	e := node.published.entries[key]
	return e.GetValue(), e.GetSequence()
}

// Scan returns the values of all keys that begin with a prefix, as committed at all replicas. The values must not be modified.
func (node *Node) Scan(prefix string) map[string][]byte {
	node.mu.Lock()
	entries := node.published.entries // the map is replaced, never modified
	node.mu.Unlock()
	values := make(map[string][]byte)
	for key, entry := range entries {
		if strings.HasPrefix(key, prefix) {
			values[key] = entry.Value
		}
	}
	return values
}

// Changed returns a channel that is closed at the next change of role, view or state.
func (node *Node) Changed() <-chan struct{} {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.changed
}

// PrimaryHint is the internal address of the primary if it is known, else empty.
func (node *Node) PrimaryHint() string {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.published.primaryHint
}

// View is the newest view known to be chosen, or nil.
func (node *Node) View() *tierv1.View {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.published.view
}

// Members are all control-plane processes that are known and live, or members of the view.
func (node *Node) Members() []*tierv1.Member {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.published.members
}

// Self describes this process. It has no folder until the disk could be written for the first time.
func (node *Node) Self() *tierv1.Member {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.published.self
}
