package consensus

import (
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// view is what callers see of the machine, as of its last step that is on disk.
type view struct {
	epoch     uint64
	primary   bool
	alone     bool // no backups to be asked
	confirmed time.Duration
	data      map[string]*tierv1.Entry
	record    *tierv1.View
	hint      string
	members   []*tierv1.Member
	self      *tierv1.Member
	health    Health
}

// publish shows callers the machine as it is now; with changed those that wait on Changed are woken.
func (node *Node) publish(changed bool) {
	machine := node.machine
	v := view{record: machine.chosen, hint: machine.hint, members: machine.members(), data: machine.data, self: machine.self, health: machine.health()}
	if primary := machine.primary; primary != nil {
		v.primary, v.epoch, v.data, v.record = true, primary.record.Epoch, primary.visible, primary.record
		v.alone, v.confirmed = len(primary.record.Backups) == 0, machine.confirmedAt()
	}
	node.mu.Lock()
	node.view = v
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
	return node.view.epoch, node.view.leads(node.now(), node.timing.fresh)
}

// Get implements Store.
func (node *Node) Get(key string) ([]byte, uint64) {
	node.mu.Lock()
	defer node.mu.Unlock()
	e := node.view.data[key]
	return e.GetValue(), e.GetSequence()
}

// Changed implements Store.
func (node *Node) Changed() <-chan struct{} {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.changed
}

// Hint implements Store.
func (node *Node) Hint() string {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.view.hint
}

// Record implements Store.
func (node *Node) Record() *tierv1.View {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.view.record
}

// Members implements Store.
func (node *Node) Members() []*tierv1.Member {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.view.members
}

// Self implements Store.
func (node *Node) Self() *tierv1.Member {
	node.mu.Lock()
	defer node.mu.Unlock()
	return node.view.self
}
