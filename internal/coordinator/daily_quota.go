package coordinator

import (
	"cmp"
	"fmt"
	"slices"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// maxDrawnQuotas is the maximum number of quotas whose drawn units are stored.
const maxDrawnQuotas = 20_000

// drawQuota draws units of a daily quota: the requested number, or the remaining units if fewer are left. Draws for a day before the current
// one are rejected, whatever the owner's calendar is.
func (m *Machine) drawQuota(d *pb.DrawQuota) (units int64, rejection string) {
	s := m.state
	if d.GetEpoch() != s.Epoch {
		return 0, fmt.Sprintf("it was drawn under roster %d, and roster %d is in force", d.GetEpoch(), s.Epoch)
	}
	i, known := slices.BinarySearchFunc(s.DrawnQuotas, d.GetKey(), func(q *pb.DrawnQuota, key string) int { return cmp.Compare(q.Key, key) })
	next := &pb.DrawnQuota{Key: d.GetKey(), Period: d.GetPeriod()}
	if known {
		switch current := s.DrawnQuotas[i]; {
		case d.GetPeriod() < current.Period:
			return 0, fmt.Sprintf("day %d is over; it is day %d", d.GetPeriod(), current.Period)
		case d.GetPeriod() == current.Period:
			next.Units = current.Units
		}
	} else if len(s.DrawnQuotas) >= maxDrawnQuotas {
		return 0, fmt.Sprintf("%d quotas are kept, which is the most", maxDrawnQuotas)
	}
	units = min(d.GetUnits(), d.GetLimit()-next.Units)
	if units <= 0 {
		return 0, fmt.Sprintf("all %d of day %d are drawn", d.GetLimit(), d.GetPeriod())
	}
	next.Units += units
	drawn := slices.Clone(s.DrawnQuotas)
	if known {
		drawn[i] = next
	} else {
		drawn = slices.Insert(drawn, i, next)
	}
	m.state = &pb.MembershipState{Epoch: s.Epoch, StartIndex: s.StartIndex, Participants: s.Participants, NextEpoch: s.NextEpoch, FenceIndex: s.FenceIndex,
		NextParticipants: s.NextParticipants, DrawnQuotas: drawn}
	return units, ""
}
