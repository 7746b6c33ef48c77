package knowledge

import (
	"errors"
	"math"
	"time"

	pb "saffronyard.example/saffronyard/proto/saffronyard/knowledge/v1"
)

// toMicros converts a duration to whole microseconds, 0 for a negative one.
func toMicros(d time.Duration) uint64 { return uint64(max(0, d) / time.Microsecond) }

// fromMicros converts microseconds to a duration, capped at the longest.
func fromMicros(us uint64) time.Duration {
	if us > uint64(math.MaxInt64/time.Microsecond) {
		return math.MaxInt64
	}
	return time.Duration(us) * time.Microsecond
}

// Encode encodes a fact with its age as of now.
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

// maxEndpointIDBytes is the longest id of an endpoint that is accepted.
const maxEndpointIDBytes = 256

// Errors of Decode.
var (
	errUnknownFact       = errors.New("fact of an unknown kind")
	errEndpointIDTooLong = errors.New("endpoint id of a fact is too long")
	errEndlessRetryAfter = errors.New("wait of a retry-after fact is out of range")
)

// Decode decodes a fact of a source as of now. sinceEncoded is the time since the fact was encoded. It returns an error for a fact
// that can't be decoded. A fact of an unknown kind comes from a newer version, and the caller may just skip it.
func Decode(m *pb.Fact, source Source, now, sinceEncoded time.Duration) (Fact, error) {
	timeOf := func(us uint64) time.Duration { // converts an age to a time on the local clock
		d := fromMicros(us)
		if d > math.MaxInt64/4 {
			d = math.MaxInt64 / 4
		}
		return now - sinceEncoded - d
	}
	f := Fact{Subject: Subject{m.GetDestination(), m.GetEndpoint()}, ObservedAt: timeOf(m.GetAgeUs()), Calls: m.GetCalls(), Source: source}
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
		f.Since, f.Rate = timeOf(v.Health.GetForUs()), v.Health.GetRate()
	default:
		return f, errUnknownFact
	}
	return f, nil
}
