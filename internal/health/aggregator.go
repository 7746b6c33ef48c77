package health

import (
	"fmt"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/knowledge"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Observation is what one sender has seen of a destination itself.
type Observation struct {
	Destination uint32
	State       knowledge.State
	Age         time.Duration // of what it rests on
	Duration    time.Duration // it has been so
}

// Aggregator is a sender as the one in charge of some destinations: what it was told of them, and what it makes of that. What it finds is
// handed to the log, and counts as the log has it.
type Aggregator struct {
	reports      *knowledge.Reports
	destinations map[uint32]*destinationRecord
}

// destinationRecord is one destination.
type destinationRecord struct {
	outSince           time.Duration // it was first told to be out, since it was told to serve last; 0: it is not
	observedAt         time.Duration // somebody testified last
	statusStart        uint64        // verdict that is known, by the entry from which it says what it says
	statusStartSeenAt  time.Duration // that one was seen first
	statusUpdate       uint64        // and it as it was said last
	statusUpdateSeenAt time.Duration // that was seen first
	sentAt             time.Duration // a word was given last
	sentBase           uint64        // on what
	servedAt           time.Duration // newest evidence that it serves
}

const (
	maxDestinationsPerSender = 100_000 // of one sender's testimony
	resendInterval           = time.Second
)

// NewAggregator makes one that has heard nobody.
func NewAggregator() *Aggregator {
	return &Aggregator{knowledge.NewReports(maxDestinationsPerSender), map[uint32]*destinationRecord{}}
}

func (c *Aggregator) destination(d uint32) *destinationRecord {
	h := c.destinations[d]
	if h == nil {
		h = &destinationRecord{}
		c.destinations[d] = h
	}
	return h
}

// Observe takes a testimony in.
func (c *Aggregator) Observe(who string, t Observation, now time.Duration) {
	at := now - max(0, t.Age)
	c.reports.Add(knowledge.Fact{Subject: knowledge.Subject{Destination: t.Destination}, Source: knowledge.Source{Name: who, Incarnation: 1}, Kind: knowledge.Health,
		ObservedAt: at, Value: knowledge.Value{State: t.State, Since: at - max(0, t.Duration)}}, now)
	h := c.destination(t.Destination)
	h.observedAt = now
	switch {
	case t.State != knowledge.OutOfService:
		h.servedAt = max(h.servedAt, at)
	case h.outSince == 0:
		h.outSince = now
	}
}

// Evaluate gives what is to be handed to the log now. mine says of which destinations this sender is in charge; epoch is of the
// roster that makes it so.
func (c *Aggregator) Evaluate(now time.Duration, epoch uint64, me string, mine func(uint32) bool, rule func(uint32) (Rule, bool), s *pb.HealthState) (words []*pb.HealthCommand) {
	for _, v := range s.GetStatuses() { // also those that nobody testifies on any more
		if Kind(v.Kind) != KindSuspended && c.destinations[v.Destination] == nil {
			c.destination(v.Destination).observedAt = now // one that takes over has heard nobody yet, which is no sign
		}
	}
	ds := make([]uint32, 0, len(c.destinations))
	for d := range c.destinations {
		ds = append(ds, d)
	}
	slices.Sort(ds)
	for _, d := range ds {
		h := c.destinations[d]
		r, ruled := rule(d)
		is := StatusOf(s, d, false)
		if !mine(d) || !ruled && is == nil {
			if is == nil && now-h.observedAt > MaxTTL {
				delete(c.destinations, d)
			}
			continue
		}
		if is.GetStartIndex() != h.statusStart {
			h.statusStart, h.statusStartSeenAt = is.GetStartIndex(), now
		}
		if is.GetUpdateIndex() != h.statusUpdate {
			h.statusUpdate, h.statusUpdateSeenAt = is.GetUpdateIndex(), now
		}
		if h.sentAt > 0 && h.sentBase == h.statusUpdate && now-h.sentAt < resendInterval {
			continue // it is on its way
		}
		sort, why := KindNone, "no rule asks for it any more"
		if ruled {
			sort, why = c.evaluate(d, h, r, Kind(is.GetKind()), now)
		}
		var w *pb.HealthCommand
		switch {
		case sort == KindNone && is != nil:
			w = &pb.HealthCommand{Command: &pb.HealthCommand_Clear{Clear: &pb.ClearHealth{Destination: d, Epoch: epoch, Author: me, Reason: why, BaseIndex: is.UpdateIndex}}}
		case sort != KindNone && (uint32(sort) != is.GetKind() || now-h.statusUpdateSeenAt > r.TTL/3):
			w = &pb.HealthCommand{Command: &pb.HealthCommand_Set{Set: &pb.SetHealth{Destination: d, Kind: uint32(sort), Epoch: epoch, Author: me, Reason: why, TtlUs: r.TTL.Microseconds(), BaseIndex: is.GetUpdateIndex()}}}
		default:
			continue
		}
		h.sentAt, h.sentBase = now, h.statusUpdate
		words = append(words, w)
	}
	return words
}

// evaluate is what a destination is, by what was told of it and by what it was held to be.
func (c *Aggregator) evaluate(d uint32, h *destinationRecord, r Rule, was Kind, now time.Duration) (Kind, string) {
	subject := knowledge.Subject{Destination: d}
	f, told := c.reports.Verdict(subject, now)
	outs := c.reports.OutageCount(subject, now)
	out := told && f.State == knowledge.OutOfService
	if !out {
		h.outSince = 0
	}
	agreed := out && (outs >= max(1, r.Quorum) || outs > 0 && h.outSince > 0 && now-h.outSince >= SoleReporterDelay)
	switch was {
	case KindNone:
		if agreed {
			return KindEjected, fmt.Sprintf("%d senders hold it to be out", outs)
		}
	case KindEjected:
		if h.servedAt > h.statusStartSeenAt {
			return KindWarmingUp, "a call was served"
		}
		if now-h.observedAt > r.TTL {
			return KindNone, "nobody tells of it any more"
		}
		return KindEjected, fmt.Sprintf("%d senders hold it to be out", outs)
	case KindWarmingUp:
		if agreed && f.ObservedAt > h.statusStartSeenAt {
			return KindEjected, fmt.Sprintf("%d senders hold it to be out again", outs)
		}
		if now-h.statusStartSeenAt < r.SlowStart {
			return KindWarmingUp, "it warms up"
		}
		return KindNone, "it is warm"
	}
	return KindNone, ""
}
