package coordinator

import (
	"cmp"
	"fmt"
	"slices"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// maxDrawnQuotas is of how many quotas it is kept what was drawn.
const maxDrawnQuotas = 20_000

// drawQuota gives units of a day's quota, as far as there are any. A day that is over does not come back, whatever calendar asks.
func (m *Machine) drawQuota(d *pb.DrawQuota) (units int64, refused string) {
	s := m.state
	if d.GetEpoch() != s.Epoch {
		return 0, fmt.Sprintf("it was drawn under roster %d, and roster %d is in force", d.GetEpoch(), s.Epoch)
	}
	i, known := slices.BinarySearchFunc(s.DrawnQuotas, d.GetKey(), func(o *pb.DrawnQuota, key string) int { return cmp.Compare(o.Key, key) })
	is := &pb.DrawnQuota{Key: d.GetKey(), Period: d.GetPeriod()}
	if known {
		switch was := s.DrawnQuotas[i]; {
		case d.GetPeriod() < was.Period:
			return 0, fmt.Sprintf("day %d is over; it is day %d", d.GetPeriod(), was.Period)
		case d.GetPeriod() == was.Period:
			is.Units = was.Units
		}
	} else if len(s.DrawnQuotas) >= maxDrawnQuotas {
		return 0, fmt.Sprintf("%d quotas are kept, which is the most", maxDrawnQuotas)
	}
	units = min(d.GetUnits(), d.GetLimit()-is.Units)
	if units <= 0 {
		return 0, fmt.Sprintf("all %d of day %d are drawn", d.GetLimit(), d.GetPeriod())
	}
	is.Units += units
	drawn := slices.Clone(s.DrawnQuotas)
	if known {
		drawn[i] = is
	} else {
		drawn = slices.Insert(drawn, i, is)
	}
	m.state = &pb.MembershipState{Epoch: s.Epoch, StartIndex: s.StartIndex, Participants: s.Participants, NextEpoch: s.NextEpoch, FenceIndex: s.FenceIndex, NextParticipants: s.NextParticipants, DrawnQuotas: drawn}
	return units, ""
}
