package fleetpolicy

import (
	"fmt"
	"time"

	"saffronyard.example/saffronyard/internal/health"
)

// Policy is a document that was checked, as calls are judged by it.
type Policy struct {
	document    *Document
	routes      map[uint32]routeRule
	suspended   map[string]bool
	classes     map[string]time.Duration
	limits      limitIndex
	healthRules map[uint32]health.Rule
}

type routeRule struct {
	closed bool
	kind   string // of one that is apart
	to     uint32 // of one that is moved
}

// Empty is the policy before the first document: all goes as the platform has it.
func Empty() *Policy { return &Policy{document: &Document{OnPartition: partitionHold}} }

// Call is what a policy judges: a message and where it goes.
type Call struct {
	Destination uint32
	Tenant      string

	// What limits go by besides; empty where no call is about to be written.
	Endpoint string
	Class    string
	Bytes    int64
}

// IsOpen reports whether calls for a destination are begun at all.
func (p *Policy) IsOpen(destination uint32) bool {
	r, ruled := p.routes[destination]
	return !ruled || r.kind != ""
}

// Kind is the kind of a destination that is listed as of another.
func (p *Policy) Kind(destination uint32, listed string) string {
	if r, ruled := p.routes[destination]; ruled && r.kind != "" {
		return r.kind
	}
	return listed
}

// Allows reports whether a call is begun; why is for who is told.
func (p *Policy) Allows(c Call) (ok bool, why string) {
	if r, ruled := p.routes[c.Destination]; ruled && r.kind == "" {
		if r.closed {
			return false, "the fleet's policy has closed its destination"
		}
		return false, fmt.Sprintf("the fleet's policy has moved its destination to %d", r.to)
	}
	if p.suspended[c.Tenant] {
		return false, "the fleet's policy has suspended its tenant"
	}
	return true, ""
}

// MovedTo is where a message for a destination goes that is handed in now.
func (p *Policy) MovedTo(destination uint32) uint32 {
	if r, ruled := p.routes[destination]; ruled && !r.closed && r.kind == "" {
		return r.to
	}
	return destination
}

// MaxDeadline is the bound of a class; 0 if it has none.
func (p *Policy) MaxDeadline(class string) time.Duration { return p.classes[class] }

// PartitionGrace is for how long a sender without a lease goes on; 0: it holds.
func (p *Policy) PartitionGrace() time.Duration {
	if p.document.OnPartition == partitionContinue {
		return p.document.PartitionGrace.D()
	}
	return 0
}
