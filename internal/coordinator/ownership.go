package coordinator

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Ownership says who is in charge of what, among some who take part.
type Ownership struct {
	participants map[string]*pb.Participant
	hash         *rendezvous.Rendezvous
}

// NewOwnership makes it. A process that takes the place of another of its name has the same things.
func NewOwnership(parts []*pb.Participant) *Ownership {
	c := &Ownership{participants: map[string]*pb.Participant{}}
	var names []string
	for _, p := range parts {
		c.participants[p.Name] = p
		names = append(names, p.Name)
	}
	slices.Sort(names)
	c.hash = rendezvous.New(names, xxhash.Sum64String)
	return c
}

// Owner is who is in charge of a thing; nil if nobody takes part.
func (c *Ownership) Owner(thing string) *pb.Participant {
	if c == nil || len(c.participants) == 0 {
		return nil
	}
	return c.participants[c.hash.Lookup(thing)]
}

// Includes reports whether a process is among them.
func (c *Ownership) Includes(w lease.HolderID) bool {
	if c == nil {
		return false
	}
	p := c.participants[w.Name]
	return p != nil && p.Incarnation == w.Incarnation
}
