package health

import (
	"fmt"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/knowledge"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Rule is how verdicts on a destination are found, and what they do.
type Rule struct {
	Agree   int           // believed senders that have to hold it to be out; or one alone for Lone, if nobody else tells of it
	Probe   time.Duration // while it is out one call of all senders goes there so often
	Cold    int64         // calls a second of all senders as it comes back,
	Warm    int64         // which grow to so many
	WarmFor time.Duration // in this time
	Lasts   time.Duration // a verdict that is not said again is over
	Transit time.Duration // by so much may the ways of two calls differ
}

// Lone is how long the word of one sender alone waits for others.
const Lone = 2 * time.Second

// Testimony is what one sender has seen of a destination itself.
type Testimony struct {
	Destination uint32
	State       knowledge.State
	Age         time.Duration // of what it rests on
	For         time.Duration // it has been so
}

// Court is a sender as the one in charge of some destinations: what it was told of them, and what it makes of that. What it finds is
// handed to the log, and counts as the log has it.
type Court struct {
	reports *knowledge.Reports
	cases   map[uint32]*hearing
}

// hearing is one destination.
type hearing struct {
	first time.Duration // it was first told to be out, since it was told to serve last; 0: it is not
	spoke time.Duration // somebody testified last
	seen  uint64        // verdict that is known, by the entry from which it says what it says
	since time.Duration // that one was seen first
	at    uint64        // and it as it was said last
	again time.Duration // that was seen first
	sent  time.Duration // a word was given last
	basis uint64        // on what
	evid  time.Duration // newest evidence that it serves
}

const (
	destinationsMost = 100_000 // of one sender's testimony
	resend           = time.Second
)

// NewCourt makes one that has heard nobody.
func NewCourt() *Court {
	return &Court{knowledge.NewReports(destinationsMost), map[uint32]*hearing{}}
}

func (c *Court) of(d uint32) *hearing {
	h := c.cases[d]
	if h == nil {
		h = &hearing{}
		c.cases[d] = h
	}
	return h
}

// Hear takes a testimony in.
func (c *Court) Hear(who string, t Testimony, now time.Duration) {
	at := now - max(0, t.Age)
	c.reports.Add(knowledge.Fact{Subject: knowledge.Subject{Destination: t.Destination}, Source: knowledge.Source{Name: who, Life: 1}, Sort: knowledge.Health,
		At: at, Value: knowledge.Value{State: t.State, Since: at - max(0, t.For)}}, now)
	h := c.of(t.Destination)
	h.spoke = now
	switch {
	case t.State != knowledge.Out:
		h.evid = max(h.evid, at)
	case h.first == 0:
		h.first = now
	}
}

// Judge gives what is to be handed to the log now. mine says of which destinations this sender is in charge; epoch is of the
// roster that makes it so.
func (c *Court) Judge(now time.Duration, epoch uint64, me string, mine func(uint32) bool, rule func(uint32) (Rule, bool), s *pb.HealthState) (words []*pb.HealthCommand) {
	for _, v := range s.GetStatuses() { // also those that nobody testifies on any more
		if Sort(v.Kind) != Suspended && c.cases[v.Destination] == nil {
			c.of(v.Destination).spoke = now // one that takes over has heard nobody yet, which is no sign
		}
	}
	ds := make([]uint32, 0, len(c.cases))
	for d := range c.cases {
		ds = append(ds, d)
	}
	slices.Sort(ds)
	for _, d := range ds {
		h := c.cases[d]
		r, ruled := rule(d)
		is := Of(s, d, false)
		if !mine(d) || !ruled && is == nil {
			if is == nil && now-h.spoke > LastsMost {
				delete(c.cases, d)
			}
			continue
		}
		if is.GetStartIndex() != h.seen {
			h.seen, h.since = is.GetStartIndex(), now
		}
		if is.GetUpdateIndex() != h.at {
			h.at, h.again = is.GetUpdateIndex(), now
		}
		if h.sent > 0 && h.basis == h.at && now-h.sent < resend {
			continue // it is on its way
		}
		sort, why := None, "no rule asks for it any more"
		if ruled {
			sort, why = c.find(d, h, r, Sort(is.GetKind()), now)
		}
		var w *pb.HealthCommand
		switch {
		case sort == None && is != nil:
			w = &pb.HealthCommand{Command: &pb.HealthCommand_Clear{Clear: &pb.ClearHealth{Destination: d, Epoch: epoch, Author: me, Reason: why, BaseIndex: is.UpdateIndex}}}
		case sort != None && (uint32(sort) != is.GetKind() || now-h.again > r.Lasts/3):
			w = &pb.HealthCommand{Command: &pb.HealthCommand_Set{Set: &pb.SetHealth{Destination: d, Kind: uint32(sort), Epoch: epoch, Author: me, Reason: why, TtlUs: r.Lasts.Microseconds(), BaseIndex: is.GetUpdateIndex()}}}
		default:
			continue
		}
		h.sent, h.basis = now, h.at
		words = append(words, w)
	}
	return words
}

// find is what a destination is, by what was told of it and by what it was held to be.
func (c *Court) find(d uint32, h *hearing, r Rule, was Sort, now time.Duration) (Sort, string) {
	subject := knowledge.Subject{Destination: d}
	f, told := c.reports.Verdict(subject, now)
	outs := c.reports.Outs(subject, now)
	out := told && f.State == knowledge.Out
	if !out {
		h.first = 0
	}
	agreed := out && (outs >= max(1, r.Agree) || outs > 0 && h.first > 0 && now-h.first >= Lone)
	switch was {
	case None:
		if agreed {
			return Out, fmt.Sprintf("%d senders hold it to be out", outs)
		}
	case Out:
		if h.evid > h.since {
			return Cold, "a call was served"
		}
		if now-h.spoke > r.Lasts {
			return None, "nobody tells of it any more"
		}
		return Out, fmt.Sprintf("%d senders hold it to be out", outs)
	case Cold:
		if agreed && f.At > h.since {
			return Out, fmt.Sprintf("%d senders hold it to be out again", outs)
		}
		if now-h.since < r.WarmFor {
			return Cold, "it warms up"
		}
		return None, "it is warm"
	}
	return None, ""
}
