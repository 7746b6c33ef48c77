package fleetpolicy

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Coordinator advances the open change at the leader, based on what senders report about it. Its decisions are proposals: they take effect
// when the log applies them, and only if the change is then still in the state that the decision was made for. The zero value is ready to
// use; a new leader starts with a new Coordinator, and senders report again.
//
// While a change is staging, every sender that holds a lease checks it and stores it; while it is frozen, no call that it affects is
// begun; once it is committed, each sender resumes these calls when it has applied the commit. The change is frozen, and committed, only
// when each holder of a lease has stored it, and committed only when no lease is left below the freeze index.
type Coordinator struct {
	change     uint64
	openSince  time.Duration // when this leader first saw the change; unseen: not yet
	staged     map[lease.HolderID]bool
	rejections map[string]string // reason by sender's name
	lastStep   sentStep
}

// unseen is openSince of a change that this leader has not seen open yet.
const unseen time.Duration = -1

// sentStep is the step that was proposed last.
type sentStep struct {
	change uint64
	step   string
	at     time.Duration
}

// resendInterval is the time after which a step that was not applied is proposed again, as it may have been lost with a former leader.
const resendInterval = time.Second

// PendingSender is a sender that a change waits for.
type PendingSender struct {
	Name      string        `json:"name"` // "": holders of leases that an earlier leader may have granted
	Remaining time.Duration `json:"left"` // until its lease has expired
	Reason    string        `json:"for"`
}

// RecordStaged records a sender's report that it has stored a change, or why it rejects the change.
func (c *Coordinator) RecordStaged(w lease.HolderID, change uint64, rejection string) {
	c.observe(change)
	if change != c.change {
		return
	}
	if rejection != "" {
		c.rejections[w.Name] = rejection
		return
	}
	c.staged[w] = true
}

// MayGrant reports whether a holder that acts at an index may be granted a lease. While a change is open, the holder must have stored the
// change and, once the change is frozen, act at the freeze index or above. A healthy sender loses no lease by this rule, as it sends a new
// request as soon as it meets the condition. Without the rule, a holder whose requests arrive but which receives no replies would delay the
// change forever.
func (c *Coordinator) MayGrant(w lease.HolderID, acts uint64, s *pb.PolicyState) bool {
	o := s.GetOpenChange()
	if o == nil || o.Id < c.change {
		return true
	}
	return o.Id == c.change && c.staged[w] && acts >= o.FreezeIndex
}

// observe resets the coordinator for a change that is newer than the current one.
func (c *Coordinator) observe(change uint64) {
	if change > c.change {
		*c = Coordinator{change: change, openSince: unseen, staged: map[lease.HolderID]bool{}, rejections: map[string]string{}, lastStep: c.lastStep}
	}
}

// Names of the steps of a change.
const (
	stepFreeze = "freeze"
	stepCommit = "commit"
	stepAbort  = "abort"
)

// Reasons why a change waits for a sender, as operators read them.
const (
	waitsToStage  = "to stage it"
	waitsToFreeze = "to hold up what the change touches"
)

// maxMissingNamed is how many senders the reason of an abort names.
const maxMissingNamed = 10

// Step returns the command to propose now, nil if there is none, and the senders that the change waits for.
func (c *Coordinator) Step(now time.Duration, s *pb.PolicyState, g *lease.Granter) (next *pb.PolicyCommand, waitingOn []PendingSender) {
	open := s.GetOpenChange()
	if open == nil {
		return nil, nil
	}
	if c.observe(open.Id); c.change != open.Id {
		return nil, nil // a sender has reported a later change: this leader's state is behind
	}
	if c.openSince == unseen {
		c.openSince = now
	}
	if rejecting := sortedKeys(c.rejections); len(rejecting) > 0 {
		name := rejecting[0]
		return c.abort(now, open, fmt.Sprintf("%s refuses it: %s", name, c.rejections[name])), nil
	}
	waitingOn = c.waitingOn(now, open, g)
	if open.FreezeIndex != 0 {
		if len(waitingOn) > 0 {
			return nil, waitingOn
		}
		return c.once(now, open, stepCommit, &pb.PolicyCommand{Command: &pb.PolicyCommand_Commit{Commit: &pb.ChangeStep{ChangeId: open.Id}}}), nil
	}
	if len(waitingOn) == 0 {
		return c.once(now, open, stepFreeze, &pb.PolicyCommand{Command: &pb.PolicyCommand_Freeze{Freeze: &pb.ChangeStep{ChangeId: open.Id}}}), nil
	}
	if timeout := time.Duration(open.StageTimeoutUs) * time.Microsecond; now-c.openSince >= timeout {
		return c.abort(now, open, fmt.Sprintf("it was not staged everywhere within %v; missing: %s", timeout, joinNames(waitingOn))), waitingOn
	}
	return nil, waitingOn
}

// waitingOn returns the senders that the change waits for. A frozen change, too, waits for lease holders that have not stored it, as a new
// holder may have appeared since the freeze.
func (c *Coordinator) waitingOn(now time.Duration, open *pb.Change, g *lease.Granter) (all []PendingSender) {
	if open.FreezeIndex != 0 {
		for _, l := range g.LeasesBelow(open.FreezeIndex, now) {
			all = append(all, PendingSender{l.Name, l.Remaining, waitsToFreeze})
		}
	} else if g.InGracePeriod(now) {
		for _, l := range g.LeasesBelow(0, now) {
			all = append(all, PendingSender{l.Name, l.Remaining, waitsToStage})
		}
	}
	for _, l := range g.ActiveLeases(now) {
		if !c.staged[l.HolderID] {
			all = append(all, PendingSender{l.Name, l.Remaining, waitsToStage})
		}
	}
	return all
}

// once returns a step's command, or nil if the step was proposed less than resendInterval ago.
func (c *Coordinator) once(now time.Duration, open *pb.Change, step string, command *pb.PolicyCommand) *pb.PolicyCommand {
	if c.lastStep.change == open.Id && c.lastStep.step == step && now-c.lastStep.at < resendInterval {
		return nil
	}
	c.lastStep = sentStep{open.Id, step, now}
	return command
}

func (c *Coordinator) abort(now time.Duration, open *pb.Change, reason string) *pb.PolicyCommand {
	return c.once(now, open, stepAbort, &pb.PolicyCommand{Command: &pb.PolicyCommand_Abort{Abort: &pb.ChangeStep{ChangeId: open.Id, Reason: reason}}})
}

func joinNames(all []PendingSender) string {
	var names []string
	for _, p := range all[:min(len(all), maxMissingNamed)] {
		names = append(names, cmp.Or(p.Name, "holders of an earlier leader's leases"))
	}
	return strings.Join(names, ", ")
}
