package quota

import (
	"time"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// demand is what is said of one limit; idle is that there is nothing to say any more.
func (s *allowanceEntry) demand(key string, keep int64, now time.Duration) (q *pb.QuotaDemand, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, q := s.allowance, &pb.QuotaDemand{Key: key}
	lent, busy, _ := p.Status(now)
	waiting := max(s.waiting.Load(), s.missing)
	s.missing = 0
	q.MinUseful = 1
	if s.limit.Kind == Bytes {
		q.MinUseful, s.largestUse = s.largestUse, max(1, s.largestUse*9/10)
	}
	want := min(s.limit.maxGrantable(), waiting+p.RecentUsage(now)) // what was used of late is wanted again: so a want does not flap
	if s.limit.Kind == Daily {
		want = min(s.limit.Grantable(), waiting)
	}
	// Who has used little of what it had, though more waited, can't use it: its calls don't get through.
	switch {
	case waiting == 0 || lent > 0 && busy*2 >= lent:
		s.underusedSince = 0
	case s.limit.Kind == Daily: // what it has used does not show in what it has
	case lent > q.MinUseful && s.underusedSince == 0:
		s.underusedSince = now
	}
	if s.underusedSince > 0 && now-s.underusedSince > 2*s.limit.CoolDown(0) {
		want = min(want, max(2*busy, q.MinUseful))
	}
	if s.rotating && waiting == 0 {
		want = 0
	}
	q.Wanted = want
	if s.rotating {
		keep = max(0, lent-busy) // what was used goes on to the next
	} else if want == 0 && waiting == 0 {
		keep = 0
	}
	q.Held, q.Cooling, q.CoolingUs = relinquished(p.Relinquish(keep, now))
	q.Spent = p.Spent()
	if s.observedLimit > 0 {
		q.ObservedLimit, q.ObservedAgeUs = s.observedLimit, (now - s.observedAt).Microseconds()
	}
	return q, want == 0 && lent == 0 && busy == 0 && waiting == 0
}

func relinquished(holds, rests int64, left time.Duration) (int64, int64, int64) {
	return holds, rests, left.Microseconds() + 1
}
