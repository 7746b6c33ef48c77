package fleet

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/replicatedlog"
	"saffronyard.example/saffronyard/internal/worker"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Report is a sender's part in the fleet as commands show it.
type Report struct {
	Name     string          `json:"name"`
	Cluster  string          `json:"cluster"`
	Address  string          `json:"address"`
	HeardMS  int64           `json:"heard_ms"` // since a voter told it last that this is all: its age, as far as that voter knew
	Index    uint64          `json:"index"`    // how far its copy of the state has come
	Acts     bool            `json:"acts"`     // it may begin calls now
	LeaseMS  int64           `json:"lease_ms"` // that is left; 0: none
	Unfit    string          `json:"unfit,omitempty"`
	Follows  string          `json:"follows,omitempty"` // voter whose word it follows
	Voter    *VoterReport    `json:"voter,omitempty"`
	Members  []Member        `json:"members"`
	Voters   []string        `json:"voters"`
	Policy   PolicyReport    `json:"policy"`
	Rings    []worker.Stats  `json:"rings,omitempty"` // to other voters
	Duties   []worker.Report `json:"duties"`
	LengthMS int64           `json:"lease_length_ms"`
	Bound    string          `json:"bound"` // how long a change waits for one that is cut off
}

// VoterReport is of one that keeps the log.
type VoterReport struct {
	Leads    bool                  `json:"leads"`
	Leader   string                `json:"leader,omitempty"`
	Term     uint64                `json:"term"`
	Applied  uint64                `json:"applied"`
	WaitsFor string                `json:"waits_for,omitempty"` // voters that have not answered its hello: it takes no part before
	Old      string                `json:"old_folder,omitempty"`
	Failed   string                `json:"failed,omitempty"`
	Waits    []fleetpolicy.Waiting `json:"waits,omitempty"`  // of the open change; at the one that leads
	Leases   []Lease               `json:"leases,omitempty"` // at the one that leads
}

// Lease is one that is out.
type Lease struct {
	Name   string `json:"name"`
	LeftMS int64  `json:"left_ms"`
	Acts   uint64 `json:"acts"` // at this index or later
}

// Member is a sender of the fleet.
type Member struct {
	Name   string `json:"name"`
	Speaks uint32 `json:"speaks"`
	Gone   bool   `json:"gone,omitempty"`
}

// PolicyReport is what is agreed of the policy.
type PolicyReport struct {
	Version  uint64        `json:"version"`
	Document string        `json:"document,omitempty"`
	Since    uint64        `json:"since"`
	Open     *ChangeReport `json:"open,omitempty"`
	Past     []PastReport  `json:"past,omitempty"`
}

// ChangeReport is the change that is under way.
type ChangeReport struct {
	ID       uint64 `json:"id"`
	Base     uint64 `json:"base"`
	By       string `json:"by"`
	Why      string `json:"why,omitempty"`
	Frozen   bool   `json:"frozen"`
	Document string `json:"document"`

	// For whom it waits, as the one that leads said when this sender asked it last.
	Waits []fleetpolicy.Waiting `json:"waits,omitempty"`
}

// PastReport is a change that is over.
type PastReport struct {
	ID       uint64 `json:"id"`
	Version  uint64 `json:"version,omitempty"` // that it made
	By       string `json:"by"`
	Why      string `json:"why,omitempty"`
	Ended    string `json:"ended,omitempty"` // why it was aborted
	Document string `json:"document,omitempty"`
}

// Report shows this sender's part.
func (n *Node) Report() Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.c.Now()
	r := Report{Name: n.c.Name, Cluster: n.c.Cluster, Address: n.addr, Index: n.report.index, Follows: n.current, LengthMS: n.c.Terms.Duration.Milliseconds(),
		Bound: fmt.Sprintf("lease %v, counted %v by who grants it (drift %g); then two round trips", n.c.Terms.Duration, n.c.Terms.GranterDuration(), n.c.Terms.MaxDrift)}
	if n.heard > 0 {
		r.HeardMS = (now - n.heard).Milliseconds()
	}
	if v, acts := n.gate.View(); v != nil {
		r.Acts = acts
		r.LeaseMS = max(0, (time.Duration(n.gate.until.Load()) - now).Milliseconds())
		if v.Unfit != nil {
			r.Unfit = v.Unfit.Error()
		}
	}
	for _, m := range n.report.members {
		r.Members = append(r.Members, Member{m.Name, m.MaxCommandKind, m.Removed})
	}
	for _, v := range n.c.Voters {
		r.Voters = append(r.Voters, v.Name)
	}
	for _, v := range n.report.voters {
		i := slices.Index(r.Voters, v.Name)
		switch {
		case v.Removed && i >= 0:
			r.Voters = slices.Delete(r.Voters, i, i+1)
		case !v.Removed && i < 0:
			r.Voters = append(r.Voters, v.Name)
		}
	}
	if n.store != nil {
		s := n.status
		r.Voter = &VoterReport{Leads: s.IsLeader, Term: s.Term, Applied: s.AppliedIndex, WaitsFor: n.waits, Old: n.old, Failed: n.failed, Waits: s.WaitingOn}
		for _, name := range r.Voters {
			if replicatedlog.VoterID(name) == s.Leader {
				r.Voter.Leader = name
			}
		}
		for _, h := range s.Leases {
			r.Voter.Leases = append(r.Voter.Leases, Lease{h.Name, h.Remaining.Milliseconds(), h.MinIndex})
		}
	}
	p := n.report.policy
	r.Policy = PolicyReport{Version: p.GetVersion(), Document: string(p.GetDocument()), Since: p.GetStartIndex()}
	if o := p.GetOpenChange(); o != nil {
		r.Policy.Open = &ChangeReport{ID: o.Id, Base: o.BaseVersion, By: o.Author, Why: o.Reason, Frozen: o.FreezeIndex != 0, Document: string(o.Document)}
		r.Policy.Open.Waits = n.status.WaitingOn
		if !n.status.IsLeader {
			for _, w := range n.waiting {
				r.Policy.Open.Waits = append(r.Policy.Open.Waits, fleetpolicy.Waiting{Name: w.Name, For: w.Reason, Left: time.Duration(w.RemainingUs) * time.Microsecond})
			}
		}
	}
	for _, o := range p.GetHistory() {
		r.Policy.Past = append(r.Policy.Past, PastReport{o.Id, o.Version, o.Author, o.Reason, o.AbortReason, string(o.Document)})
	}
	for _, name := range slices.Sorted(maps.Keys(n.out)) {
		r.Rings = append(r.Rings, n.out[name].Stats())
	}
	r.Duties = n.group.Reports()
	return r
}

// Current waits until this sender's copy has come to where the log was when it was asked, as a majority confirms: what is read then is
// no older than the question.
func (n *Node) Current(ctx context.Context) error {
	var need uint64
	if err := n.through(ctx, func(ctx context.Context, client pb.FleetClient) error {
		r, err := client.Ask(ctx, &pb.LeaseRequest{Cluster: n.c.Cluster, Name: n.c.Name, Incarnation: n.life})
		if err == nil {
			need = r.RequiredIndex
		}
		return err
	}); err != nil {
		return fmt.Errorf("no majority confirms what is newest: %w", err)
	}
	for n.reached() < need {
		select {
		case <-ctx.Done():
			return fmt.Errorf("this sender has come to entry %d, and %d is wanted: %w", n.reached(), need, ctx.Err())
		case <-time.After(5 * time.Millisecond):
		}
	}
	return nil
}

// ErrRefused is that the fleet turned a command away: it changed nothing.
var ErrRefused = errors.New("refused")

// Propose hands a change of the policy in. Its number is told once the log has it; how it ends Ended tells.
func (n *Node) Propose(ctx context.Context, p *pb.ProposePolicy) (change uint64, err error) {
	if _, err := fleetpolicy.Parse("document", p.Document); err != nil {
		return 0, err
	}
	return n.command(ctx, replicatedlog.KindPolicy, &pb.PolicyCommand{Command: &pb.PolicyCommand_Propose{Propose: p}})
}

// Abort ends the open change, if it has not taken hold.
func (n *Node) Abort(ctx context.Context, change uint64, why string) error {
	_, err := n.command(ctx, replicatedlog.KindPolicy, &pb.PolicyCommand{Command: &pb.PolicyCommand_Abort{Abort: &pb.ChangeStep{ChangeId: change, Reason: why}}})
	return err
}

// Leave declares a sender gone for good.
func (n *Node) Leave(ctx context.Context, l *pb.Leave) error {
	_, err := n.command(ctx, replicatedlog.KindLeave, l)
	return err
}

// ChangeVoters adds and removes voters, all at once.
func (n *Node) ChangeVoters(ctx context.Context, v *pb.VoterChange) error {
	for _, a := range v.Add {
		a.Id = replicatedlog.VoterID(a.Name)
	}
	_, err := n.command(ctx, replicatedlog.KindVoters, v)
	return err
}

func (n *Node) command(ctx context.Context, kind uint32, body proto.Message) (uint64, error) {
	r, err := n.Submit(ctx, kind, body)
	if err != nil {
		return 0, err
	}
	if r.Rejection != "" {
		return r.Index, fmt.Errorf("%w: %s", ErrRefused, r.Rejection)
	}
	return r.Index, nil
}

// Ended reports whether a change is over, as far as this sender knows, and how.
func (n *Node) Ended(change uint64) (past *pb.FinishedChange, over bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.report.policy.GetHistory() {
		if p.Id == change {
			return p, true
		}
	}
	return nil, false
}
