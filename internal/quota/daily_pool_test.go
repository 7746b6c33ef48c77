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

// A daily quota under replies that are lost, clients that crash and restart, owners that are replaced, and days that begin: never more is
// used than the day has, but for what was granted as it began; and with nothing lost it is used to the last unit.
func TestDailyPool_NeverExceedsQuota(t *testing.T) {
	t.Parallel()
	day := Limit{Key: "x", Kind: Daily, Units: 1000}
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 5))
		log, index, epoch := coordinator.NewMachine(), uint64(0), uint64(0)
		apply := func(r *pb.MembershipCommand) (int64, string) {
			raw, err := proto.Marshal(r)
			if err != nil {
				t.Fatal(err)
			}
			index++
			result, refused, err := log.Apply(index, raw)
			if err != nil {
				t.Fatal(err)
			}
			units, _ := binary.Varint(result)
			return units, refused
		}
		pot := NewDailyPool(day, simTerms)
		replace := func() {
			apply(&pb.MembershipCommand{Command: &pb.MembershipCommand_Propose{Propose: &pb.ProposeMembership{BaseEpoch: epoch}}})
			epoch++
			if _, refused := apply(&pb.MembershipCommand{Command: &pb.MembershipCommand_Activate{Activate: &pb.ActivateMembership{Epoch: epoch}}}); refused != "" {
				t.Fatal(refused)
			}
			pot = NewDailyPool(day, simTerms)
		}
		replace()
		now, period := time.Hour, int64(10)
		pot.StartPeriod(period)
		type one struct {
			who   lease.HolderID
			purse *Allowance
			seq   uint64
		}
		holders := make([]one, 3)
		lives := uint64(0)
		begin := func(i int) {
			lives++
			holders[i] = one{lease.HolderID{Name: string(rune('a' + i)), Incarnation: lives}, NewAllowance(day, simTerms.MaxDrift, false, now), 0}
		}
		for i := range holders {
			begin(i)
		}
		used, carried, sound := int64(0), int64(0), seed%3 == 0
		for step := range 3000 {
			now += time.Duration(rng.Int64N(int64(200 * time.Millisecond)))
			h, n := &holders[rng.IntN(len(holders))], rng.IntN(40)
			if sound {
				h, n = &holders[step%len(holders)], 10 // all ask in time
			}
			switch {
			case !sound && n == 0:
				begin(rng.IntN(len(holders)))
			case !sound && n == 1:
				replace()
				pot.StartPeriod(period)
			case !sound && n == 2 && step > 1500 && period == 10:
				carried = 0
				for i := range holders {
					carried += holders[i].purse.grantedAt(now)
				}
				period, used = 11, 0
				pot.StartPeriod(period)
			case n < 20:
				h.seq++
				asked := now
				q := Request{Sequence: h.seq, Wanted: 30, MinUseful: 1}
				q.Held, q.Cooling, q.CoolingTime = h.purse.Relinquish(30, now)
				q.Spent = h.purse.Spent()
				if !sound && rng.IntN(5) == 0 {
					continue // the question is lost
				}
				lent, draw, ok := pot.Grant(h.who, q, now)
				if !ok {
					t.Fatalf("seed %d: a new question is taken for an old one", seed)
				}
				if draw > 0 {
					units, _ := apply(&pb.MembershipCommand{Command: &pb.MembershipCommand_Draw{Draw: &pb.DrawQuota{Epoch: epoch, Key: "x", Period: period, Units: draw, Limit: day.Units}}})
					if !sound && rng.IntN(5) == 0 {
						units = 0 // the answer is lost, and so are they
					}
					pot.AddDrawn(period, units)
				}
				for range rng.IntN(4) { // used between question and answer
					if h.purse.Take(1, now) {
						used++
					}
				}
				if !sound && rng.IntN(5) == 0 {
					continue // the answer is lost
				}
				h.purse.Renew(lent.Units, asked, lent.Duration, now)
			default:
				if h.purse.Take(1, now) {
					used++
				}
			}
			if used > day.Units+carried {
				t.Fatalf("seed %d: %d are used of a day's %d, and %d were lent as it began", seed, used, day.Units, carried)
			}
		}
		if sound && used != day.Units {
			t.Errorf("seed %d: %d are used of %d, with nothing lost", seed, used, day.Units)
		}
		if used == 0 {
			t.Errorf("seed %d: nothing is used", seed)
		}
		// A former owner, and a day that is over, get nothing.
		if _, refused := apply(&pb.MembershipCommand{Command: &pb.MembershipCommand_Draw{Draw: &pb.DrawQuota{Epoch: epoch - 1, Key: "x", Period: period, Units: 1, Limit: 1 << 30}}}); refused == "" {
			t.Errorf("seed %d: an authority of before draws", seed)
		}
		if _, refused := apply(&pb.MembershipCommand{Command: &pb.MembershipCommand_Draw{Draw: &pb.DrawQuota{Epoch: epoch, Key: "x", Period: period - 1, Units: 1, Limit: 1 << 30}}}); refused == "" {
			t.Errorf("seed %d: a day that is over is drawn from", seed)
		}
	}
}

// A sender with a day's quota goes on to want all that waits, however long it has held some.
func TestClient_DailyDemand(t *testing.T) {
	t.Parallel()
	till := NewAllowances(simTerms.MaxDrift, func(string) {})
	till.SetLimits([]Limit{{Key: "x", Kind: Daily, Units: 1000}}, func(Limit) bool { return false }, 0)
	till.AddWaiting("x", 50, 1)
	s := till.entry("x")
	for i := range 5 {
		now := time.Hour + time.Duration(i)*time.Second
		s.allowance.Renew(20, now, simTerms.Duration, now)
		if q, _ := s.demand("x", 20, now); q.Wanted != 50 {
			t.Fatalf("after %d s it wants %d of 50", i, q.Wanted)
		}
	}
}
