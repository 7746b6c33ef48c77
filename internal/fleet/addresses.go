package fleet

import (
	"fmt"
	"slices"

	"saffronyard.example/saffronyard/internal/replicatedlog"
)

// address returns a voter's address: the configured one, or else that of the command that added the voter; "" if none is known.
func (n *Node) address(name string) string {
	for _, v := range n.cfg.Voters {
		if v.Name == name {
			return v.Address
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, v := range n.replicaReport.voters {
		if v.Name == name && !v.Removed {
			return v.Address
		}
	}
	return ""
}

// nameOf returns the name of a voter by its id; for an unknown voter it is made from the id.
func (n *Node) nameOf(id uint64) string {
	for _, v := range n.cfg.Voters {
		if replicatedlog.VoterID(v.Name) == id {
			return v.Name
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, v := range n.replicaReport.voters {
		if v.Id == id {
			return v.Name
		}
	}
	return fmt.Sprintf("voter %x", id)
}

// voterNames are the voters in the order in which they are called: this sender if it is a voter, then the voter whose
// log is followed, then the others.
func (n *Node) voterNames() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var names []string
	add := func(name string) {
		if name != "" && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	if n.voter != nil {
		add(n.cfg.Name)
	}
	add(n.followed)
	excluded := map[string]bool{n.cfg.Name: true}
	for _, v := range n.replicaReport.voters {
		if v.Removed {
			excluded[v.Name] = true
		}
	}
	for _, v := range n.cfg.Voters {
		if !excluded[v.Name] {
			add(v.Name)
		}
	}
	for _, v := range n.replicaReport.voters {
		if !excluded[v.Name] {
			add(v.Name)
		}
	}
	return names
}
