package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/replicatedlog"
	"saffronyard.example/saffronyard/internal/worker"
)

// Report is a sender's part in the fleet, as commands show it.
type Report struct {
	Name            string          `json:"name"`
	Cluster         string          `json:"cluster"`
	Address         string          `json:"address"`
	AgeMS           int64           `json:"heard_ms"` // since the last part of the log, or heartbeat, that a voter sent
	Index           uint64          `json:"index"`    // that its replica has applied
	MayAct          bool            `json:"acts"`     // it may begin calls now
	LeaseMS         int64           `json:"lease_ms"` // left of the lease; 0: there is none
	Unfit           string          `json:"unfit,omitempty"`
	Followed        string          `json:"follows,omitempty"` // the voter whose log it follows
	Voter           *VoterReport    `json:"voter,omitempty"`
	Members         []Member        `json:"members"`
	Voters          []string        `json:"voters"`
	Policy          PolicyReport    `json:"policy"`
	Rings           []worker.Stats  `json:"rings,omitempty"` // queues of messages to other voters
	Workers         []worker.Report `json:"duties"`
	LeaseDurationMS int64           `json:"lease_length_ms"`
	Bound           string          `json:"bound"` // how long a change waits for a sender that is partitioned off, in words
}

// VoterReport is a voter's part.
type VoterReport struct {
	IsLeader      bool                        `json:"leads"`
	Leader        string                      `json:"leader,omitempty"`
	Term          uint64                      `json:"term"`
	AppliedIndex  uint64                      `json:"applied"`
	MissingVoters string                      `json:"waits_for,omitempty"` // voters that have not answered its handshake, which it waits for
	StaleReason   string                      `json:"old_folder,omitempty"`
	Failed        string                      `json:"failed,omitempty"`
	WaitingOn     []fleetpolicy.PendingSender `json:"waits,omitempty"`  // of the open change; at the leader
	Leases        []Lease                     `json:"leases,omitempty"` // at the leader
}

// Lease is a lease that may not have expired.
type Lease struct {
	Name        string `json:"name"`
	RemainingMS int64  `json:"left_ms"`
	ActingIndex uint64 `json:"acts"` // its holder acts at no lower index
}

// Member is a sender of the fleet.
type Member struct {
	Name           string `json:"name"`
	MaxCommandKind uint32 `json:"speaks"`
	Removed        bool   `json:"gone,omitempty"`
}

// PolicyReport is the replicated policy.
type PolicyReport struct {
	Version    uint64                 `json:"version"`
	Document   string                 `json:"document,omitempty"`
	StartIndex uint64                 `json:"since"`
	Open       *ChangeReport          `json:"open,omitempty"`
	History    []FinishedChangeReport `json:"past,omitempty"`
}

// ChangeReport is the open change.
type ChangeReport struct {
	ID          uint64 `json:"id"`
	BaseVersion uint64 `json:"base"`
	Author      string `json:"by"`
	Reason      string `json:"why,omitempty"`
	Frozen      bool   `json:"frozen"`
	Document    string `json:"document"`

	// Senders that the change waits for, from the leader's last lease reply.
	WaitingOn []fleetpolicy.PendingSender `json:"waits,omitempty"`
}

// FinishedChangeReport is a change that was committed or aborted.
type FinishedChangeReport struct {
	ID          uint64 `json:"id"`
	Version     uint64 `json:"version,omitempty"` // that it committed
	Author      string `json:"by"`
	Reason      string `json:"why,omitempty"`
	AbortReason string `json:"ended,omitempty"` // empty: committed
	Document    string `json:"document,omitempty"`
}

// Report returns the report of this sender.
func (n *Node) Report() Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.cfg.Now()
	terms := n.cfg.LeaseTerms
	r := Report{Name: n.cfg.Name, Cluster: n.cfg.Cluster, Address: n.addr, Index: n.replicaReport.index, Followed: n.followed, LeaseDurationMS: terms.Duration.Milliseconds(),
		Bound: fmt.Sprintf("lease %v, counted %v by who grants it (drift %g); then two round trips", terms.Duration, terms.GranterDuration(), terms.MaxDrift)}
	if n.receivedAt > 0 {
		r.AgeMS = (now - n.receivedAt).Milliseconds()
	}
	if v, mayAct := n.gate.View(); v != nil {
		r.MayAct = mayAct
		r.LeaseMS = max(0, (time.Duration(n.gate.leaseUntil.Load()) - now).Milliseconds())
		if v.Unfit != nil {
			r.Unfit = v.Unfit.Error()
		}
	}
	for _, m := range n.replicaReport.members {
		r.Members = append(r.Members, Member{m.Name, m.MaxCommandKind, m.Removed})
	}
	r.Voters = n.currentVoterNames()
	if n.store != nil {
		r.Voter = n.voterReport(r.Voters)
	}
	r.Policy = n.policyReport()
	for _, name := range slices.Sorted(maps.Keys(n.outboxes)) {
		r.Rings = append(r.Rings, n.outboxes[name].Stats())
	}
	r.Workers = n.group.Reports()
	return r
}

// currentVoterNames are the voters as far as this sender has applied the log; the caller must hold mu.
func (n *Node) currentVoterNames() (names []string) {
	for _, v := range n.cfg.Voters {
		names = append(names, v.Name)
	}
	for _, v := range n.replicaReport.voters {
		i := slices.Index(names, v.Name)
		switch {
		case v.Removed && i >= 0:
			names = slices.Delete(names, i, i+1)
		case !v.Removed && i < 0:
			names = append(names, v.Name)
		}
	}
	return names
}

// voterReport returns the report of this sender's voter; the caller must hold mu.
func (n *Node) voterReport(voters []string) *VoterReport {
	s := n.status
	r := &VoterReport{IsLeader: s.IsLeader, Term: s.Term, AppliedIndex: s.AppliedIndex, MissingVoters: n.missingVoters, StaleReason: n.staleReason, Failed: n.voterFailure, WaitingOn: s.WaitingOn}
	for _, name := range voters {
		if replicatedlog.VoterID(name) == s.Leader {
			r.Leader = name
		}
	}
	for _, l := range s.Leases {
		r.Leases = append(r.Leases, Lease{l.Name, l.Remaining.Milliseconds(), l.MinIndex})
	}
	return r
}

// policyReport returns the report of the replicated policy; the caller must hold mu.
func (n *Node) policyReport() PolicyReport {
	p := n.replicaReport.policy
	r := PolicyReport{Version: p.GetVersion(), Document: string(p.GetDocument()), StartIndex: p.GetStartIndex()}
	if open := p.GetOpenChange(); open != nil {
		r.Open = &ChangeReport{ID: open.Id, BaseVersion: open.BaseVersion, Author: open.Author, Reason: open.Reason, Frozen: open.FreezeIndex != 0, Document: string(open.Document)}
		r.Open.WaitingOn = slices.Clone(n.status.WaitingOn) // the voter's status must not be modified
		if !n.status.IsLeader {
			for _, w := range n.waitingOn {
				r.Open.WaitingOn = append(r.Open.WaitingOn, fleetpolicy.PendingSender{Name: w.Name, Reason: w.Reason, Remaining: time.Duration(w.RemainingUs) * time.Microsecond})
			}
		}
	}
	for _, c := range p.GetHistory() {
		r.History = append(r.History, FinishedChangeReport{c.Id, c.Version, c.Author, c.Reason, c.AbortReason, string(c.Document)})
	}
	return r
}
