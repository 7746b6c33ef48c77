package health

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/knowledge"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Observation is what one sender has observed of a destination itself.
type Observation struct {
	Destination uint32
	State       knowledge.State
	Age         time.Duration // of the evidence
	Duration    time.Duration // for how long it has been in that state
}

// Aggregator decides the health of the destinations that a sender owns from what all senders report. Its decisions are proposals: they
// count as the log applies them. It is not safe for concurrent use.
type Aggregator struct {
	reports      *knowledge.Reports
	destinations map[uint32]*destinationRecord
}

// destinationRecord is what an aggregator knows of one destination. Zero times mean never.
type destinationRecord struct {
	outSince           time.Duration // first reported out since it was last reported to serve
	observedAt         time.Duration // last reported at all
	servedAt           time.Duration // newest evidence that it serves
	statusStart        uint64        // start index of the status that is known
	statusStartSeenAt  time.Duration
	statusUpdate       uint64 // update index of that status
	statusUpdateSeenAt time.Duration
	sentAt             time.Duration // of the last proposal
	sentBase           uint64        // update index that it was based on
}

const (
	maxDestinationsPerSender = 100_000 // that reports of one sender are kept of
	resendInterval           = time.Second
	renewalsPerTTL           = 3 // of a status
)

// NewAggregator makes an aggregator without reports.
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

// Observe takes in what the named sender reports.
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

// EvaluationInput is what an evaluation is based on, beside reports: who this sender is, what it owns, and what is agreed.
type EvaluationInput struct {
	Epoch uint64 // of the membership
	Self  string
	Owns  func(destination uint32) bool
	Rule  func(destination uint32) (Rule, bool) // ok is false where the policy has none
	State *pb.HealthState
}

// Evaluate returns the commands to propose to the log now, by destination.
func (a *Aggregator) Evaluate(now time.Duration, in EvaluationInput) (commands []*pb.HealthCommand) {
	for _, s := range in.State.GetStatuses() {
		// A new owner has no reports of destinations that have a status yet, which is no sign that nobody reports.
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

// evaluateDestination is the command to propose for one destination; nil if there is none.
func (a *Aggregator) evaluateDestination(d uint32, now time.Duration, in EvaluationInput) *pb.HealthCommand {
	record := a.destinations[d]
	rule, ruled := in.Rule(d)
	status := StatusOf(in.State, d, false)
	if !in.Owns(d) || !ruled && status == nil {
		if status == nil && now-record.observedAt > MaxTTL {
			delete(a.destinations, d)
		}
		return nil
	}
	record.follow(status, now)
	if record.sentAt > 0 && record.sentBase == record.statusUpdate && now-record.sentAt < resendInterval {
		return nil // a proposal is on its way
	}
	kind, reason := KindNone, "no rule asks for it any more"
	if ruled {
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

// follow records when the status that is agreed was first seen.
func (r *destinationRecord) follow(status *pb.HealthStatus, now time.Duration) {
	if status.GetStartIndex() != r.statusStart {
		r.statusStart, r.statusStartSeenAt = status.GetStartIndex(), now
	}
	if status.GetUpdateIndex() != r.statusUpdate {
		r.statusUpdate, r.statusUpdateSeenAt = status.GetUpdateIndex(), now
	}
}

// decide is what a destination's status should be, by reports and by its current status; see the package's table of transitions.
func (a *Aggregator) decide(d uint32, rule Rule, current Kind, now time.Duration) (kind Kind, reason string) {
	subject, record := knowledge.Subject{Destination: d}, a.destinations[d]
	fact, reported := a.reports.Verdict(subject, now)
	outs := a.reports.OutageCount(subject, now)
	out := reported && fact.State == knowledge.Unhealthy
	if !out {
		record.outSince = 0
	}
	agreed := out && (outs >= max(1, rule.Quorum) || outs > 0 && record.outSince > 0 && now-record.outSince >= SoleReporterDelay)
	switch current {
	case KindNone:
		if agreed {
			return KindEjected, fmt.Sprintf("%d senders hold it to be out", outs)
		}
	case KindEjected:
		if record.servedAt > record.statusStartSeenAt {
			return KindWarmingUp, "a call was served"
		}
		if now-record.observedAt > rule.TTL {
			return KindNone, "nobody tells of it any more"
		}
		return KindEjected, fmt.Sprintf("%d senders hold it to be out", outs)
	case KindWarmingUp:
		if agreed && fact.ObservedAt > record.statusStartSeenAt {
			return KindEjected, fmt.Sprintf("%d senders hold it to be out again", outs)
		}
		if now-record.statusStartSeenAt < rule.SlowStart {
			return KindWarmingUp, "it warms up"
		}
		return KindNone, "it is warm"
	case KindSuspended: // an operator's; it stands beside the owner's
	}
	return KindNone, ""
}
