package fleetpolicy

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Coordinator moves the open change on at the leader, by what senders report of it. Its decisions are proposals: they count when the log
// applies them, and only if the change is then in the state that the coordinator took it for. The zero value is ready; a new leader begins
// a new one, and senders report again.
//
// While a change is staging, every sender that holds a lease checks it and stores it; while it is frozen, no call that it affects is
// begun; once it is committed, each sender goes on as soon as it hears so. It is frozen, and committed, only when each holder of a lease
// has stored it, and committed only when no lease is left below the freeze.
type Coordinator struct {
	change     uint64
	openSince  time.Duration // when this leader first saw the change; unseen: not yet
	staged     map[lease.HolderID]bool
	rejections map[string]string // reason by sender's name
	lastStep   sentStep
}

// unseen is the time of a change that this leader has not seen open yet.
const unseen time.Duration = -1

// sentStep is the step that was proposed last.
type sentStep struct {
	change uint64
	step   string
	at     time.Duration
}

// resendInterval is after how long a step that the log does not show is proposed again, as it may have been lost with a leader.
const resendInterval = time.Second

// PendingSender is a sender that a change waits for.
type PendingSender struct {
	Name      string        `json:"name"` // "": holders of leases that an earlier leader may have granted
	Remaining time.Duration `json:"left"` // until its lease has expired
	Reason    string        `json:"for"`
}

// RecordStaged takes a sender's report that it has stored a change, or why it rejects it.
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

// MayGrant reports whether a holder that acts at an index may be granted a lease: while a change is open, only once it has stored it, and, once it
// is frozen, acts under the freeze. A healthy sender misses no lease for that, as it requests one as soon as it has; but a holder whose
// requests arrive while no reply reaches it would otherwise hold up the change without end.
func (c *Coordinator) MayGrant(w lease.HolderID, acts uint64, s *pb.PolicyState) bool {
	o := s.GetOpenChange()
	if o == nil || o.Id < c.change {
		return true
	}
	return o.Id == c.change && c.staged[w] && acts >= o.FreezeIndex
}

// observe begins anew for a change that is newer than the one known.
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

// Why a change waits for a sender, as operators read it.
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
		return nil, nil // a later change was reported: the state here is behind
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

// waitingOn is the senders that the change waits for. Also once it is frozen it waits for those that have not stored it, as one may have come
// meanwhile.
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

// once is a step's command, or nil if it was proposed a moment ago.
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
