package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/health"
	"saffronyard.example/saffronyard/internal/knowledge"
	"saffronyard.example/saffronyard/internal/replicatedlog"
	"saffronyard.example/saffronyard/internal/worker"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// evidence is a sender's part in verdicts: a duty that passes on what this sender has seen, and, where the roster puts it in charge,
// hears the others and hands what it finds to the log.
type evidence struct {
	l     *limiting
	court *health.Aggregator
	duty  *worker.Worker[any, any]
	own   map[uint32]health.Observation // seen here, and not told yet
}

const (
	testimoniesMost = 4096
	judgeEvery      = 250 * time.Millisecond
	tellAt          = 500 // destinations in one testimony
)

type (
	// seen is what this sender has seen itself.
	seen struct{ all []health.Observation }
	// told is what another has.
	told struct{ request *pb.HealthReport }
	// tell goes to the one in charge.
	tell struct {
		to *pb.Participant
		r  *pb.HealthReport
	}
)

func newEvidence(l *limiting) *evidence {
	e := &evidence{l: l, court: health.NewAggregator(), own: map[uint32]health.Observation{}}
	e.duty = &worker.Worker[any, any]{Name: "verdicts", Inbox: worker.NewRingBuffer[any]("verdicts", testimoniesMost, worker.DropOldest, nil), Stepper: e, Execute: e.do}
	return e
}

// Step takes words in, passes this sender's own on, and judges what it is in charge of. It has to hold a lease for that, looked at before what
// that is on, as the lender does; the log refuses what comes too late all the same.
func (e *evidence) Step(now time.Duration, events []any) (actions []any, alarm time.Duration) {
	g := e.l.n.gate
	until := time.Duration(g.until.Load())
	var v *fleetpolicy.View
	if r := g.room.Load(); r != nil {
		v = r.view.Load()
	}
	if v == nil || v.Roster == nil || !v.Policy.Guards() && len(v.Verdicts.GetStatuses()) == 0 {
		return nil, worker.Never
	}
	charge, me := v.Charge(), e.l.me
	for _, x := range events {
		switch x := x.(type) {
		case seen:
			for _, t := range x.all {
				if _, ruled := v.Policy.VerdictRule(t.Destination); ruled && len(e.own) < testimoniesMost {
					e.own[t.Destination] = t
				}
			}
		case told:
			if x.request.Epoch == v.Roster.GetEpoch() && x.request.ToIncarnation == me.Incarnation {
				for _, t := range x.request.Observations {
					e.court.Observe(x.request.Name, health.Observation{Destination: t.Destination, State: knowledge.State(t.State),
						Age: time.Duration(t.AgeUs) * time.Microsecond, Duration: time.Duration(t.DurationUs) * time.Microsecond}, now)
				}
			}
		}
	}
	by := map[string]*tell{}
	for d, t := range e.own {
		p := charge.Owner(key(d))
		if p == nil {
			continue
		}
		if p.Name == me.Name && p.Incarnation == me.Incarnation {
			e.court.Observe(me.Name, t, now)
			delete(e.own, d)
			continue
		}
		to := by[p.Name]
		if to == nil {
			to = &tell{p, &pb.HealthReport{Name: me.Name, Incarnation: me.Incarnation, ToIncarnation: p.Incarnation, Epoch: v.Roster.GetEpoch()}}
			by[p.Name] = to
		}
		if len(to.r.Observations) < tellAt {
			to.r.Observations = append(to.r.Observations, &pb.HealthObservation{Destination: d, State: uint32(t.State), AgeUs: t.Age.Microseconds(), DurationUs: t.Duration.Microseconds()})
			delete(e.own, d)
		}
	}
	for _, t := range by {
		actions = append(actions, *t)
	}
	if v.Unfit != nil || now >= until || v.Roster.GetNextEpoch() != 0 {
		return actions, now + judgeEvery
	}
	mine := func(d uint32) bool {
		p := charge.Owner(key(d))
		return p != nil && p.Name == me.Name && p.Incarnation == me.Incarnation
	}
	for _, w := range e.court.Evaluate(now, v.Roster.GetEpoch(), me.Name, mine, v.Policy.VerdictRule, v.Verdicts) {
		actions = append(actions, w)
	}
	return actions, now + judgeEvery
}

// key is what the roster goes by for a destination: its limit and its verdict are in the same hands.
func key(d uint32) string { return fmt.Sprintf("destination %d", d) }

func (e *evidence) do(_ context.Context, a any) error {
	n := e.l.n
	switch a := a.(type) {
	case tell:
		a.r.Cluster = n.c.Cluster
		n.aside(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, n.patience())
			defer cancel()
			client, err := n.wires.to(e.l.reach.Resolve(a.to.Address))
			if err == nil {
				_, err = client.Testify(ctx, a.r)
			}
			if err != nil { // it is said again in a second
				n.log.Debug("fleet: what was seen is not told", "to", a.to.Name, "err", err)
			}
		})
	case *pb.HealthCommand:
		n.aside(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, n.c.Terms.Duration)
			defer cancel()
			r, err := n.Submit(ctx, replicatedlog.KindHealth, a)
			if err == nil && r.Rejection != "" {
				err = errors.New(r.Rejection)
			}
			if err != nil {
				n.log.Debug("fleet: a verdict does not count", "err", err)
			}
		})
	}
	return nil
}

// Testify is told what other senders have seen.
func (s *service) Testify(_ context.Context, r *pb.HealthReport) (*pb.Ack, error) {
	if err := s.mine(r.Cluster); err != nil {
		return nil, err
	}
	if len(r.Observations) > tellAt {
		return nil, status.Errorf(codes.InvalidArgument, "%d testimonies; %d are the most", len(r.Observations), tellAt)
	}
	s.n.limits.evidence.duty.Inbox.Offer(told{r})
	return &pb.Ack{}, nil
}

// Testify takes what this sender has seen itself of destinations. It never waits.
func (n *Node) Testify(all []health.Observation) { n.limits.evidence.duty.Inbox.Offer(seen{all}) }

// Suspend has a person's verdict on a destination stand until it is lifted: no sender begins a call there.
func (n *Node) Suspend(ctx context.Context, destination uint32, by, why string) error {
	_, err := n.command(ctx, replicatedlog.KindHealth, &pb.HealthCommand{Command: &pb.HealthCommand_Set{Set: &pb.SetHealth{Destination: destination, Kind: uint32(health.KindSuspended), Author: by, Reason: why}}})
	return err
}

// Lift ends it.
func (n *Node) Lift(ctx context.Context, destination uint32, by, why string) error {
	_, err := n.command(ctx, replicatedlog.KindHealth, &pb.HealthCommand{Command: &pb.HealthCommand_Clear{Clear: &pb.ClearHealth{Destination: destination, ByOperator: true, Author: by, Reason: why}}})
	return err
}

// VerdictReport is a verdict as this sender has it.
type VerdictReport struct {
	Destination uint32 `json:"destination"`
	Verdict     string `json:"verdict"`
	By          string `json:"by"`
	Why         string `json:"why"`
	Since       uint64 `json:"since"`              // entry of the log
	At          uint64 `json:"at"`                 // and of when it was said last
	Authority   string `json:"authority"`          // that may say it again, or lift it; empty: a person
	LastsMS     int64  `json:"lasts_ms,omitempty"` // unless it is said again, from when this sender heard it
	Bound       string `json:"bound"`
}

// Verdicts shows those that stand here.
func (n *Node) Verdicts() ([]VerdictReport, error) {
	v := n.gate.current()
	if v == nil {
		return nil, status.Error(codes.Unavailable, "the fleet's policy is not known yet")
	}
	charge, all := v.Charge(), []VerdictReport{}
	for _, is := range v.Verdicts.GetStatuses() {
		r := VerdictReport{Destination: is.Destination, Verdict: health.Kind(is.Kind).String(), By: is.Author, Why: is.Reason, Since: is.StartIndex, At: is.UpdateIndex,
			LastsMS: (time.Duration(is.TtlUs) * time.Microsecond).Milliseconds()}
		if health.Kind(is.Kind) == health.KindSuspended {
			r.Bound = fmt.Sprintf("a sender that has not heard of it begins no call %v after it was last granted a lease", n.c.Terms.Duration)
		} else {
			if p := charge.Owner(key(is.Destination)); p != nil {
				r.Authority = p.Name
			}
			r.Bound = fmt.Sprintf("each sender that reaches a majority goes by it within a round trip to the one in charge, %v, a commit and a round trip to a voter; one that is cut off drops it after %v",
				judgeEvery, time.Duration(is.TtlUs)*time.Microsecond)
		}
		all = append(all, r)
	}
	return all, nil
}
