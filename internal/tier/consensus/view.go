package consensus

import (
	"time"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// view is what callers see of the machine, as of its last step that is on disk.
type view struct {
	epoch     uint64
	primary   bool
	alone     bool // no backups to be asked
	confirmed time.Duration
	data      map[string]*tierv1.Entry
	record    *tierv1.Record
	hint      string
	members   []*tierv1.Member
	self      *tierv1.Member
	health    Health
}

func (n *Node) publish(changed bool) {
	m := n.machine
	v := view{record: m.chosen, hint: m.hint, members: m.members(), data: m.data, self: m.self, health: m.health()}
	if r := m.primary; r != nil {
		v.primary, v.epoch, v.data, v.record = true, r.record.Epoch, r.visible, r.record
		v.alone, v.confirmed = len(r.record.Backups) == 0, m.confirmedAt()
	}
	n.mu.Lock()
	n.view = v
	if changed {
		close(n.changed)
		n.changed = make(chan struct{})
	}
	n.mu.Unlock()
}

// Primary implements Store.
func (n *Node) Primary() (uint64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.epoch, n.view.leads(n.now(), n.timing.fresh)
}

// Get implements Store.
func (n *Node) Get(key string) ([]byte, uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.view.data[key]
	return e.GetValue(), e.GetSequence()
}

// Changed implements Store.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Hint implements Store.
func (n *Node) Hint() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.hint
}

// Record implements Store.
func (n *Node) Record() *tierv1.Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.record
}

// Members implements Store.
func (n *Node) Members() []*tierv1.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.members
}

// Self implements Store.
func (n *Node) Self() *tierv1.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.self
}
