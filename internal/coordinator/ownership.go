package coordinator

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Ownership assigns each key an owner among the participants, by rendezvous hashing with xxHash64: when participants are added or removed,
// only keys that they own change owners. It is immutable; a nil Ownership has no participants.
type Ownership struct {
	participants map[string]*pb.Participant
	hash         *rendezvous.Rendezvous
}

// NewOwnership returns the ownership of a membership. Keys are assigned to names: a new process of a sender owns the keys of the former one.
func NewOwnership(parts []*pb.Participant) *Ownership {
	o := &Ownership{participants: map[string]*pb.Participant{}}
	var names []string
	for _, p := range parts {
		o.participants[p.Name] = p
		names = append(names, p.Name)
	}
	slices.Sort(names)
	o.hash = rendezvous.New(names, xxhash.Sum64String)
	return o
}

// Owner returns the owner of a key; nil if there are no participants.
func (o *Ownership) Owner(key string) *pb.Participant {
	if o == nil || len(o.participants) == 0 {
		return nil
	}
	return o.participants[o.hash.Lookup(key)]
}

// Includes reports whether a process is a participant.
func (o *Ownership) Includes(id lease.HolderID) bool {
	if o == nil {
		return false
	}
	p := o.participants[id.Name]
	return p != nil && p.Incarnation == id.Incarnation
}
