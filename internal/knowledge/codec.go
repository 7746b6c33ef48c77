package knowledge

import (
	"errors"
	"math"
	"time"

	pb "saffronyard.example/saffronyard/proto/saffronyard/knowledge/v1"
)

// toMicros is a span in whole microseconds, 0 for a negative one.
func toMicros(d time.Duration) uint64 { return uint64(max(0, d) / time.Microsecond) }

// fromMicros reads microseconds; what no span can hold is the longest.
func fromMicros(us uint64) time.Duration {
	if us > uint64(math.MaxInt64/time.Microsecond) {
		return math.MaxInt64
	}
	return time.Duration(us) * time.Microsecond
}

// Encode writes a fact with its age as of now.
func Encode(f *Fact, now time.Duration) *pb.Fact {
	m := &pb.Fact{Destination: f.Destination, Endpoint: f.Endpoint, AgeUs: toMicros(now - f.ObservedAt), Calls: f.Calls}
	switch f.Kind {
	case Latency:
		m.Value = &pb.Fact_Pace{Pace: &pb.Pace{MeanUs: toMicros(f.Mean), MedianUs: toMicros(f.Median), QuickestUs: toMicros(f.Min), BoundUs: toMicros(f.Timeout)}}
	case Concurrency:
		m.Value = &pb.Fact_Bears{Bears: &pb.Bears{Calls: f.Window}}
	case RateLimit:
		m.Value = &pb.Fact_Limit{Limit: &pb.Limit{PerSecond: f.PerSecond}}
	case RetryAfter:
		m.Value = &pb.Fact_Wait{Wait: &pb.Wait{LeftUs: toMicros(f.Until - now)}}
	case Health:
		m.Value = &pb.Fact_Health{Health: &pb.Health{State: pb.State(f.State), ForUs: toMicros(now - f.Since), Rate: f.Rate}}
	}
	return m
}

// maxEndpointIDBytes is the longest id of an endpoint that is taken in.
const maxEndpointIDBytes = 256

// Why a fact can't be decoded.
var (
	errUnknownFact       = errors.New("a fact of a sort that is not known here")
	errEndpointIDTooLong = errors.New("the id of an endpoint is too long")
	errEndlessRetryAfter = errors.New("a wait without end")
)

// Decode reads a fact that was told at now by a source; later is how long it has lain since it was encoded. Its error is that
// the fact can't be; a fact of a kind that this version does not know is one that means nothing more: a newer sender told it.
func Decode(m *pb.Fact, source Source, now, sinceEncoded time.Duration) (Fact, error) {
	back := func(us uint64) time.Duration { // an age, to a time on our clock
		d := fromMicros(us)
		if d > math.MaxInt64/4 {
			d = math.MaxInt64 / 4
		}
		return now - sinceEncoded - d
	}
	f := Fact{Subject: Subject{m.GetDestination(), m.GetEndpoint()}, ObservedAt: back(m.GetAgeUs()), Calls: m.GetCalls(), Source: source}
	if len(f.Endpoint) > maxEndpointIDBytes {
		return f, errEndpointIDTooLong
	}
	switch v := m.GetValue().(type) {
	case *pb.Fact_Pace:
		f.Kind = Latency
		f.Mean, f.Median = fromMicros(v.Pace.GetMeanUs()), fromMicros(v.Pace.GetMedianUs())
		f.Min, f.Timeout = fromMicros(v.Pace.GetQuickestUs()), fromMicros(v.Pace.GetBoundUs())
	case *pb.Fact_Bears:
		f.Kind, f.Window = Concurrency, v.Bears.GetCalls()
	case *pb.Fact_Limit:
		f.Kind, f.PerSecond = RateLimit, v.Limit.GetPerSecond()
	case *pb.Fact_Wait:
		f.Kind = RetryAfter
		left := fromMicros(v.Wait.GetLeftUs())
		if left > math.MaxInt64/4 {
			return f, errEndlessRetryAfter
		}
		f.Until = now - sinceEncoded + left
	case *pb.Fact_Health:
		f.Kind, f.State = Health, State(v.Health.GetState())
		f.Since, f.Rate = back(v.Health.GetForUs()), v.Health.GetRate()
	default:
		return f, errUnknownFact
	}
	return f, nil
}
