package fleet

import (
	"fmt"
	"slices"

	"saffronyard.example/saffronyard/internal/replicatedlog"
)

// address is where a voter is reached: as the file says, or else as the one who added it did.
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

// voterNames are the voters in the order in which they are asked: this one if it is, then the one that is followed, then all.
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
	gone := map[string]bool{n.cfg.Name: true}
	for _, v := range n.replicaReport.voters {
		if v.Removed {
			gone[v.Name] = true
		}
	}
	for _, v := range n.cfg.Voters {
		if !gone[v.Name] {
			add(v.Name)
		}
	}
	for _, v := range n.replicaReport.voters {
		if !gone[v.Name] {
			add(v.Name)
		}
	}
	return names
}
