package fleetpolicy

import (
	"fmt"
	"time"

	"saffronyard.example/saffronyard/internal/health"
)

// Policy is a checked document, in the form that calls are checked against. It is immutable.
type Policy struct {
	document    *Document
	routes      map[uint32]routeRule
	suspended   map[string]bool
	classes     map[string]time.Duration
	limits      limitIndex
	healthRules map[uint32]health.Rule
}

// routeRule is the rule that a route sets for a destination.
type routeRule struct {
	closed bool
	kind   string // kind whose settings apply; "": the destination's own kind
	to     uint32 // destination that the messages move to, if closed is false and kind is empty
}

// Empty is the policy before the first document: the platform's settings apply to all calls.
func Empty() *Policy { return &Policy{document: &Document{OnPartition: partitionHold}} }

// Call is a call to check against a policy: a message and its destination.
type Call struct {
	Destination uint32
	Tenant      string

	// Other fields that limits apply to; empty unless a call is about to be written.
	Endpoint string
	Class    string
	Bytes    int64
}

// IsOpen reports whether the policy lets calls to a destination be begun at all.
func (p *Policy) IsOpen(destination uint32) bool {
	r, ruled := p.routes[destination]
	return !ruled || r.kind != ""
}

// Kind is the kind whose settings apply to a destination that is listed under the given one.
func (p *Policy) Kind(destination uint32, listed string) string {
	if r, ruled := p.routes[destination]; ruled && r.kind != "" {
		return r.kind
	}
	return listed
}

// Allows reports whether a call may be begun; if not, why is the reason in words for operators.
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

// MovedTo is the destination to which a message that is submitted now goes.
func (p *Policy) MovedTo(destination uint32) uint32 {
	if r, ruled := p.routes[destination]; ruled && !r.closed && r.kind == "" {
		return r.to
	}
	return destination
}

// MaxDeadline bounds the deadline of a class's messages, from their submission; 0: there is no bound.
func (p *Policy) MaxDeadline(class string) time.Duration { return p.classes[class] }

// PartitionGrace is for how long a sender may still begin calls after its lease has expired; 0: not at all.
func (p *Policy) PartitionGrace() time.Duration {
	if p.document.OnPartition == partitionContinue {
		return p.document.PartitionGrace.D()
	}
	return 0
}
