package quota

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Checks a daily quota while requests and replies are lost, clients restart, owners are replaced and a new day starts. The units used in a
// day must never exceed the quota plus the units granted before the day started. Without faults the quota must be used up exactly.
func TestDailyPool_NeverExceedsQuota(t *testing.T) {
	t.Parallel()
	day := Limit{Key: "x", Kind: Daily, Units: 1000}
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 5))
		machine, index, epoch := coordinator.NewMachine(), uint64(0), uint64(0)
		apply := func(r *pb.MembershipCommand) (int64, string) {
			raw, err := proto.Marshal(r)
			if err != nil {
				t.Fatal(err)
			}
			index++
			result, rejection, err := machine.Apply(index, raw)
			if err != nil {
				t.Fatal(err)
			}
			units, _ := binary.Varint(result)
			return units, rejection
		}
		pool := NewDailyPool(day, simTerms)
		replaceOwner := func() {
			apply(&pb.MembershipCommand{Command: &pb.MembershipCommand_Propose{Propose: &pb.ProposeMembership{BaseEpoch: epoch}}})
			epoch++
			if _, rejection := apply(&pb.MembershipCommand{Command: &pb.MembershipCommand_Activate{Activate: &pb.ActivateMembership{Epoch: epoch}}}); rejection != "" {
				t.Fatal(rejection)
			}
			pool = NewDailyPool(day, simTerms)
		}
		replaceOwner()
		now, period := time.Hour, int64(10)
		pool.StartPeriod(period)
		type client struct {
			id        lease.HolderID
			allowance *Allowance
			sequence  uint64
		}
		clients := make([]client, 3)
		incarnations := uint64(0)
		start := func(i int) {
			incarnations++
			clients[i] = client{lease.HolderID{Name: string(rune('a' + i)), Incarnation: incarnations}, NewAllowance(day, simTerms.MaxDrift, false, now), 0}
		}
		for i := range clients {
			start(i)
		}
		used, outstanding, faultless := int64(0), int64(0), seed%3 == 0
		for step := range 3000 {
			now += time.Duration(rng.Int64N(int64(200 * time.Millisecond)))
			c, n := &clients[rng.IntN(len(clients))], rng.IntN(40)
			if faultless {
				c, n = &clients[step%len(clients)], 10 // all clients request in time
			}
			switch {
			case !faultless && n == 0:
				start(rng.IntN(len(clients)))
			case !faultless && n == 1:
				replaceOwner()
				pool.StartPeriod(period)
			case !faultless && n == 2 && step > 1500 && period == 10:
				outstanding = 0
				for i := range clients {
					outstanding += clients[i].allowance.grantedAt(now)
				}
				period, used = 11, 0
				pool.StartPeriod(period)
			case n < 20:
				c.sequence++
				requestedAt := now
				r := Request{Sequence: c.sequence, Wanted: 30, MinUseful: 1}
				r.Held, r.Cooling, r.CoolingTime = c.allowance.Relinquish(30, now)
				r.Spent = c.allowance.Spent()
				if !faultless && rng.IntN(5) == 0 {
					continue // the request is lost
				}
				grant, draw, ok := pool.Grant(c.id, r, now)
				if !ok {
					t.Fatalf("seed %d: a new request is rejected as old", seed)
				}
				if draw > 0 {
					units, _ := apply(&pb.MembershipCommand{Command: &pb.MembershipCommand_Draw{Draw: &pb.DrawQuota{Epoch: epoch, Key: "x", Period: period, Units: draw, Limit: day.Units}}})
					if !faultless && rng.IntN(5) == 0 {
						units = 0 // the result is lost, and with it the units
					}
					pool.AddDrawn(period, units)
				}
				for range rng.IntN(4) { // used between request and reply
					if c.allowance.Take(1, now) {
						used++
					}
				}
				if !faultless && rng.IntN(5) == 0 {
					continue // the reply is lost
				}
				c.allowance.Renew(grant.Units, requestedAt, grant.Duration, now)
			default:
				if c.allowance.Take(1, now) {
					used++
				}
			}
			if used > day.Units+outstanding {
				t.Fatalf("seed %d: %d units used, more than the daily quota of %d plus the %d units granted before the day started", seed, used, day.Units, outstanding)
			}
		}
		if faultless && used != day.Units {
			t.Errorf("seed %d: %d units used of %d, without faults", seed, used, day.Units)
		}
		if used == 0 {
			t.Errorf("seed %d: no units used", seed)
		}
		// Draws by a former owner and for an earlier day must be rejected.
		if _, rejection := apply(&pb.MembershipCommand{Command: &pb.MembershipCommand_Draw{Draw: &pb.DrawQuota{Epoch: epoch - 1, Key: "x", Period: period, Units: 1, Limit: 1 << 30}}}); rejection == "" {
			t.Errorf("seed %d: a draw by a former owner is accepted", seed)
		}
		if _, rejection := apply(&pb.MembershipCommand{Command: &pb.MembershipCommand_Draw{Draw: &pb.DrawQuota{Epoch: epoch, Key: "x", Period: period - 1, Units: 1, Limit: 1 << 30}}}); rejection == "" {
			t.Errorf("seed %d: a draw for an earlier day is accepted", seed)
		}
	}
}

// The demand for a daily quota must stay the backlog, however long the sender has held units: the underuse rule must not reduce it.
func TestClient_DailyDemand(t *testing.T) {
	t.Parallel()
	allowances := NewAllowances(simTerms.MaxDrift, func(string) {})
	allowances.SetLimits([]Limit{{Key: "x", Kind: Daily, Units: 1000}}, func(Limit) bool { return false }, 0)
	allowances.AddWaiting("x", 50, 1)
	entry := allowances.entry("x")
	for i := range 5 {
		now := time.Hour + time.Duration(i)*time.Second
		entry.allowance.Renew(20, now, simTerms.Duration, now)
		if d, _ := entry.demand("x", 20, now); d.Wanted != 50 {
			t.Fatalf("after %d s the demand is for %d units, want 50", i, d.Wanted)
		}
	}
}
