package consensus

import (
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// publishedState is what callers see of the machine, as of its last step that is on disk.
type publishedState struct {
	epoch          uint64
	primary        bool
	withoutBackups bool // no backups to be asked
	leaseStart     time.Duration
	entries        map[string]*tierv1.Entry
	view           *tierv1.View
	primaryHint    string
	members        []*tierv1.Member
	self           *tierv1.Member
	health         Health
}

// publish shows callers the machine as it is now; with changed those that wait on Changed are woken.
func (node *Node) publish(changed bool) {
	machine := node.replica
	v := publishedState{view: machine.chosen, primaryHint: machine.primaryHint, members: machine.liveMembers(), entries: machine.entries, self: machine.self, health: machine.health()}
	if primary := machine.primary; primary != nil {
		v.primary, v.epoch, v.entries, v.view = true, primary.view.Epoch, primary.committed, primary.view
		v.withoutBackups, v.leaseStart = len(primary.view.Backups) == 0, machine.leaseStart()
	}
	node.mu.Lock()
	node.published = v
	if changed {
		close(node.changed)
		node.changed = make(chan struct{})
	}
	node.mu.Unlock()
}

// Primary implements Store.
func (node *Node) Primary() (uint64, bool) {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.published.epoch, node.published.leads(node.now(), node.timing.lease)
}

// Get implements Store.
func (node *Node) Get(key string) ([]byte, uint64) {
	node.mu.Lock()
	defer node.mu.Unlock()
	e := node.published.entries[key]
	return e.GetValue(), e.GetSequence()
}

// Changed implements Store.
func (node *Node) Changed() <-chan struct{} {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.changed
}

// PrimaryHint implements Store.
func (node *Node) PrimaryHint() string {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.published.primaryHint
}

// View implements Store.
func (node *Node) View() *tierv1.View {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.published.view
}

// Members implements Store.
func (node *Node) Members() []*tierv1.Member {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.published.members
}

// Self implements Store.
func (node *Node) Self() *tierv1.Member {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.published.self
}
