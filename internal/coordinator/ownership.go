package coordinator

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Ownership assigns an owner among participants to each key, by rendezvous hashing with xxHash64: as participants come and go, only keys of
// theirs change owners. It is immutable; a nil Ownership has no participants.
type Ownership struct {
	participants map[string]*pb.Participant
	hash         *rendezvous.Rendezvous
}

// NewOwnership makes the ownership of a membership. Keys are assigned by name: a new process of a sender owns what the former one did.
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

// Owner is the owner of a key; nil if there are no participants.
func (c *Ownership) Owner(key string) *pb.Participant {
	if c == nil || len(c.participants) == 0 {
		return nil
	}
	return c.participants[c.hash.Lookup(key)]
}

// Includes reports whether a process participates.
func (c *Ownership) Includes(w lease.HolderID) bool {
	if c == nil {
		return false
	}
	p := c.participants[w.Name]
	return p != nil && p.Incarnation == w.Incarnation
}
