package health

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/knowledge"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Observation is the state of a destination that one sender has observed in its own calls.
type Observation struct {
	Destination uint32
	State       knowledge.State
	Age         time.Duration // of the evidence
	Duration    time.Duration // for how long the destination has been in State
}

// Aggregator decides the health of the destinations that a sender owns from the reports of all senders. Its decisions are proposals: they
// take effect when the log applies them. It is not safe for concurrent use.
type Aggregator struct {
	reports      *knowledge.Reports
	destinations map[uint32]*destinationRecord
}

// destinationRecord is an aggregator's state of one destination. Zero times mean never.
type destinationRecord struct {
	outSince           time.Duration // first outage report since the combined reports last showed no outage
	observedAt         time.Duration // last report of any state
	servedAt           time.Duration // newest evidence that it serves
	statusStart        uint64        // start index of the last seen status
	statusStartSeenAt  time.Duration
	statusUpdate       uint64 // update index of the last seen status
	statusUpdateSeenAt time.Duration
	sentAt             time.Duration // of the last proposal
	sentBase           uint64        // update index that the last proposal was based on
}

const (
	maxDestinationsPerSender = 100_000 // destinations whose reports are stored per sender
	resendInterval           = time.Second
	renewalsPerTTL           = 3 // of a status
)

// NewAggregator returns an aggregator without reports.
func NewAggregator() *Aggregator {
	return &Aggregator{reports: knowledge.NewReports(maxDestinationsPerSender), destinations: map[uint32]*destinationRecord{}}
}

func (a *Aggregator) destination(d uint32) *destinationRecord {
	r := a.destinations[d]
	if r == nil {
		r = &destinationRecord{}
		a.destinations[d] = r
	}
	return r
}

// Observe records an observation of the named sender.
func (a *Aggregator) Observe(sender string, o Observation, now time.Duration) {
	evidenceAt := now - max(0, o.Age)
	a.reports.Add(knowledge.Fact{Subject: knowledge.Subject{Destination: o.Destination}, Source: knowledge.Source{Name: sender, Incarnation: 1}, Kind: knowledge.Health,
		ObservedAt: evidenceAt, Value: knowledge.Value{State: o.State, Since: evidenceAt - max(0, o.Duration)}}, now)
	r := a.destination(o.Destination)
	r.observedAt = now
	switch {
	case o.State != knowledge.Unhealthy:
		r.servedAt = max(r.servedAt, evidenceAt)
	case r.outSince == 0:
		r.outSince = now
	}
}

// EvaluationInput is the input of an evaluation in addition to reports: this sender's name, the destinations that it owns, their rules, and
// the replicated health state.
type EvaluationInput struct {
	Epoch uint64 // of the membership
	Self  string // name of this sender
	Owns  func(destination uint32) bool
	Rule  func(destination uint32) (Rule, bool) // false: the policy has no rule for the destination
	State *pb.HealthState
}

// Evaluate returns the commands to propose to the log now, sorted by destination.
func (a *Aggregator) Evaluate(now time.Duration, in EvaluationInput) (commands []*pb.HealthCommand) {
	for _, s := range in.State.GetStatuses() {
		// A new owner may not have received reports yet of a destination that has a status. The status's TTL starts now, so that it is not
		// cleared for lack of reports.
		if Kind(s.Kind) != KindSuspended && a.destinations[s.Destination] == nil {
			a.destination(s.Destination).observedAt = now
		}
	}
	for _, d := range slices.Sorted(maps.Keys(a.destinations)) {
		if c := a.evaluateDestination(d, now, in); c != nil {
			commands = append(commands, c)
		}
	}
	return commands
}

// evaluateDestination returns the command to propose for one destination; nil if there is none.
func (a *Aggregator) evaluateDestination(d uint32, now time.Duration, in EvaluationInput) *pb.HealthCommand {
	record := a.destinations[d]
	rule, hasRule := in.Rule(d)
	status := StatusOf(in.State, d, false)
	if !in.Owns(d) || !hasRule && status == nil {
		if status == nil && now-record.observedAt > MaxTTL {
			delete(a.destinations, d)
		}
		return nil
	}
	record.follow(status, now)
	if record.sentAt > 0 && record.sentBase == record.statusUpdate && now-record.sentAt < resendInterval {
		return nil // a proposal is in flight
	}
	kind, reason := KindNone, "no rule asks for it any more"
	if hasRule {
		kind, reason = a.decide(d, rule, Kind(status.GetKind()), now)
	}
	var c *pb.HealthCommand
	switch {
	case kind == KindNone && status != nil:
		c = &pb.HealthCommand{Command: &pb.HealthCommand_Clear{Clear: &pb.ClearHealth{Destination: d, Epoch: in.Epoch, Author: in.Self, Reason: reason, BaseIndex: status.UpdateIndex}}}
	case kind != KindNone && (uint32(kind) != status.GetKind() || now-record.statusUpdateSeenAt > rule.TTL/renewalsPerTTL):
		c = &pb.HealthCommand{Command: &pb.HealthCommand_Set{Set: &pb.SetHealth{Destination: d, Kind: uint32(kind), Epoch: in.Epoch, Author: in.Self, Reason: reason,
			TtlUs: rule.TTL.Microseconds(), BaseIndex: status.GetUpdateIndex()}}}
	default:
		return nil
	}
	record.sentAt, record.sentBase = now, record.statusUpdate
	return c
}

// follow records when the start and the last update of the replicated status were first seen.
func (r *destinationRecord) follow(status *pb.HealthStatus, now time.Duration) {
	if status.GetStartIndex() != r.statusStart {
		r.statusStart, r.statusStartSeenAt = status.GetStartIndex(), now
	}
	if status.GetUpdateIndex() != r.statusUpdate {
		r.statusUpdate, r.statusUpdateSeenAt = status.GetUpdateIndex(), now
	}
}

// decide returns the status that a destination should have according to reports and its current status; see the table of transitions in the
// package comment.
func (a *Aggregator) decide(d uint32, rule Rule, current Kind, now time.Duration) (kind Kind, reason string) {
	subject, record := knowledge.Subject{Destination: d}, a.destinations[d]
	fact, reported := a.reports.Verdict(subject, now)
	reporters := a.reports.OutageCount(subject, now)
	out := reported && fact.State == knowledge.Unhealthy
	if !out {
		record.outSince = 0
	}
	agreed := out && (reporters >= max(1, rule.Quorum) || reporters > 0 && record.outSince > 0 && now-record.outSince >= SoleReporterDelay)
	switch current {
	case KindNone:
		if agreed {
			return KindEjected, fmt.Sprintf("%d senders hold it to be out", reporters)
		}
	case KindEjected:
		if record.servedAt > record.statusStartSeenAt {
			return KindWarmingUp, "a call was served"
		}
		if now-record.observedAt > rule.TTL {
			return KindNone, "nobody tells of it any more"
		}
		return KindEjected, fmt.Sprintf("%d senders hold it to be out", reporters)
	case KindWarmingUp:
		if agreed && fact.ObservedAt > record.statusStartSeenAt {
			return KindEjected, fmt.Sprintf("%d senders hold it to be out again", reporters)
		}
		if now-record.statusStartSeenAt < rule.SlowStart {
			return KindWarmingUp, "it warms up"
		}
		return KindNone, "it is warm"
	case KindSuspended: // set by operators and stored in addition to the owner's status
	}
	return KindNone, ""
}
