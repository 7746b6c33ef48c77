package fleetpolicy

import (
	"fmt"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Coordinator drives the open change at the voter that leads: what each sender has told of it, and which step comes next. What
// it decides is a command like any other: it counts when the log has it, and only if the change is then where the
// coordinator took it to be. A new leader begins a new one; senders tell it again.
//
// A change is staged while every sender that holds a lease checks it and keeps it on its disk; frozen while no call that it
// touches is begun anywhere; then it is committed, and each sender goes on as soon as it hears so. It is frozen, and committed,
// only when each that holds a lease has staged it, and committed only when no lease is left below the freeze.
type Coordinator struct {
	change     uint64
	openSince  time.Duration // this leader knows of the change
	staged     map[lease.HolderID]bool
	rejections map[string]string // by name, why
	lastStep   sentStep
}

type sentStep struct {
	change uint64
	step   string
	at     time.Duration
}

// resendInterval is after how long a step that the log does not show is proposed again: it may have been lost with a change of leader.
const resendInterval = time.Second

// PendingSender is one that a change waits for.
type PendingSender struct {
	Name      string        `json:"name"` // empty: those to whom an earlier leader may have granted a lease
	Remaining time.Duration `json:"left"` // until its lease has lapsed
	Reason    string        `json:"for"`
}

// RecordStaged takes what a sender tells of a change.
func (c *Coordinator) RecordStaged(w lease.HolderID, change uint64, refused string) {
	c.observe(change)
	if change != c.change {
		return
	}
	if refused != "" {
		c.rejections[w.Name] = refused
		return
	}
	c.staged[w] = true
}

// MayGrant reports whether one who acts at an index is granted a lease while a change is under way: once it has staged it, and, once it
// is frozen, holds up what it touches. Nobody healthy misses a lease for that, as it asks again as soon as it has; but one
// whose questions arrive while no answer reaches it would have its lease counted on and on, and the change would wait for it to no end.
func (c *Coordinator) MayGrant(w lease.HolderID, acts uint64, s *pb.PolicyState) bool {
	o := s.GetOpenChange()
	if o == nil || o.Id < c.change {
		return true
	}
	return o.Id == c.change && c.staged[w] && acts >= o.FreezeIndex
}

// observe takes notice of a change; older ones are over.
func (c *Coordinator) observe(change uint64) {
	if change > c.change {
		*c = Coordinator{change: change, openSince: -1, staged: map[lease.HolderID]bool{}, rejections: map[string]string{}, lastStep: c.lastStep}
	}
}

// Step gives the next command; nil while there is none. waits says for whom.
func (c *Coordinator) Step(now time.Duration, s *pb.PolicyState, g *lease.Granter) (next *pb.PolicyCommand, waits []PendingSender) {
	o := s.GetOpenChange()
	if o == nil {
		return nil, nil
	}
	if c.observe(o.Id); c.change != o.Id {
		return nil, nil // told of a later one: the state here is behind
	}
	if c.openSince < 0 {
		c.openSince = now
	}
	step := func(name string, p *pb.PolicyCommand) *pb.PolicyCommand {
		if c.lastStep.change == o.Id && c.lastStep.step == name && now-c.lastStep.at < resendInterval {
			return nil
		}
		c.lastStep = sentStep{o.Id, name, now}
		return p
	}
	abort := func(why string) *pb.PolicyCommand {
		return step("abort", &pb.PolicyCommand{Command: &pb.PolicyCommand_Abort{Abort: &pb.ChangeStep{ChangeId: o.Id, Reason: why}}})
	}
	for _, name := range sortedKeys(c.rejections) {
		return abort(fmt.Sprintf("%s refuses it: %s", name, c.rejections[name])), nil
	}
	if o.FreezeIndex != 0 {
		for _, h := range g.LeasesBelow(o.FreezeIndex, now) {
			waits = append(waits, PendingSender{h.Name, h.Remaining, "to hold up what the change touches"})
		}
	} else if g.InGracePeriod(now) {
		for _, h := range g.LeasesBelow(0, now) {
			waits = append(waits, PendingSender{h.Name, h.Remaining, "to stage it"})
		}
	}
	for _, h := range g.ActiveLeases(now) { // also once it is frozen: one may have come meanwhile
		if !c.staged[h.HolderID] {
			waits = append(waits, PendingSender{h.Name, h.Remaining, "to stage it"})
		}
	}
	if o.FreezeIndex != 0 {
		if len(waits) > 0 {
			return nil, waits
		}
		return step("commit", &pb.PolicyCommand{Command: &pb.PolicyCommand_Commit{Commit: &pb.ChangeStep{ChangeId: o.Id}}}), nil
	}
	if len(waits) == 0 {
		return step("freeze", &pb.PolicyCommand{Command: &pb.PolicyCommand_Freeze{Freeze: &pb.ChangeStep{ChangeId: o.Id}}}), nil
	}
	if wait := time.Duration(o.StageTimeoutUs) * time.Microsecond; now-c.openSince >= wait {
		return abort(fmt.Sprintf("it was not staged everywhere within %v; missing: %s", wait, joinNames(waits))), waits
	}
	return nil, waits
}

func joinNames(all []PendingSender) string {
	text := ""
	for i, w := range all[:min(len(all), 10)] {
		if i > 0 {
			text += ", "
		}
		if w.Name == "" {
			w.Name = "holders of an earlier leader's leases"
		}
		text += w.Name
	}
	return text
}
