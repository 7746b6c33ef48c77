package knowledge

import (
	"errors"
	"math"
	"time"

	pb "saffronyard.example/saffronyard/proto/saffronyard/knowledge/v1"
)

func micros(d time.Duration) uint64 { return uint64(max(0, d) / time.Microsecond) }

// span reads microseconds; what no span can hold is the longest.
func span(us uint64) time.Duration {
	if us > uint64(math.MaxInt64/time.Microsecond) {
		return math.MaxInt64
	}
	return time.Duration(us) * time.Microsecond
}

// Encode writes a fact with its age as of now.
func Encode(f *Fact, now time.Duration) *pb.Fact {
	m := &pb.Fact{Destination: f.Destination, Endpoint: f.Endpoint, AgeUs: micros(now - f.At), Calls: f.Calls}
	switch f.Sort {
	case Pace:
		m.Value = &pb.Fact_Pace{Pace: &pb.Pace{MeanUs: micros(f.Mean), MedianUs: micros(f.Median), QuickestUs: micros(f.Quickest), BoundUs: micros(f.Bound)}}
	case Bears:
		m.Value = &pb.Fact_Bears{Bears: &pb.Bears{Calls: f.Window}}
	case Limit:
		m.Value = &pb.Fact_Limit{Limit: &pb.Limit{PerSecond: f.PerSecond}}
	case Wait:
		m.Value = &pb.Fact_Wait{Wait: &pb.Wait{LeftUs: micros(f.Until - now)}}
	case Health:
		m.Value = &pb.Fact_Health{Health: &pb.Health{State: pb.State(f.State), ForUs: micros(now - f.Since), Rate: f.Rate}}
	}
	return m
}

// maxEndpoint is the longest id of an endpoint that is taken in, in bytes.
const maxEndpoint = 256

var errUnknownFact = errors.New("a fact of a sort that is not known here")

// Decode reads a fact that was told at a time by a source, later being how long it has lain since it was encoded. A fact
// of a sort that this version does not know is an error that means nothing more: a newer one told it.
func Decode(m *pb.Fact, source Source, now, later time.Duration) (Fact, error) {
	back := func(us uint64) time.Duration { // an age, to a time on our clock
		d := span(us)
		if d > math.MaxInt64/4 {
			d = math.MaxInt64 / 4
		}
		return now - later - d
	}
	f := Fact{Subject: Subject{m.GetDestination(), m.GetEndpoint()}, At: back(m.GetAgeUs()), Calls: m.GetCalls(), Source: source}
	if len(f.Endpoint) > maxEndpoint {
		return f, errors.New("the id of an endpoint is too long")
	}
	switch v := m.GetValue().(type) {
	case *pb.Fact_Pace:
		f.Sort = Pace
		f.Mean, f.Median = span(v.Pace.GetMeanUs()), span(v.Pace.GetMedianUs())
		f.Quickest, f.Bound = span(v.Pace.GetQuickestUs()), span(v.Pace.GetBoundUs())
	case *pb.Fact_Bears:
		f.Sort, f.Window = Bears, v.Bears.GetCalls()
	case *pb.Fact_Limit:
		f.Sort, f.PerSecond = Limit, v.Limit.GetPerSecond()
	case *pb.Fact_Wait:
		f.Sort = Wait
		left := span(v.Wait.GetLeftUs())
		if left > math.MaxInt64/4 {
			return f, errors.New("a wait without end")
		}
		f.Until = now - later + left
	case *pb.Fact_Health:
		f.Sort, f.State = Health, State(v.Health.GetState())
		f.Since, f.Rate = back(v.Health.GetForUs()), v.Health.GetRate()
	default:
		return f, errUnknownFact
	}
	return f, nil
}
