package fleetpolicy

import (
	"maps"
)

// Clone is a coordinator with the same state, for those who explore what can become of it.
func (c *Coordinator) Clone() *Coordinator {
	d := *c
	d.staged, d.rejections = maps.Clone(c.staged), maps.Clone(c.rejections)
	return &d
}
