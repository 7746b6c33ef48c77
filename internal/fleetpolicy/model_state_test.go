package fleetpolicy

import (
	"maps"
)

// Clone returns a copy of the coordinator, for the model checker.
func (c *Coordinator) Clone() *Coordinator {
	d := *c
	d.staged, d.rejections = maps.Clone(c.staged), maps.Clone(c.rejections)
	return &d
}
