package sender

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"time"

	"saffronyard.example/saffronyard/brain"
)

// A process that restarts while a receiver is out of service or recovering finds accepted messages for that receiver. Without a
// record of the outage it would send them all at once, and so would every other process that a release restarts. Therefore the
// journal stores, each time it stores the usual rates, which receivers are out of service and since when, and the next process
// starts from that state.

// outage is a receiver that is out of service or recovering. Times are those of the sender's clock.
type outage struct {
	Dest            uint32        `json:"dest"`
	Endpoint        string        `json:"endpoint,omitempty"` // set if the receiver is a single route
	Began           time.Duration `json:"began"`
	RecoveringSince time.Duration `json:"back,omitempty"` // when it started to answer again; 0 if it has not
	Rate            float64       `json:"rate,omitempty"` // calls a second usually served there, by this sender
}

// outageSnapshot is all outages at a point in time.
type outageSnapshot struct {
	at   time.Duration
	list []outage
}

// roundRate rounds to three decimals, as rates are stored.
func roundRate(r float64) float64 { return math.Round(r*1000) / 1000 }

// truncated returns the outages with the highest rates, as many as fit into maxBytes.
func (o outageSnapshot) truncated(maxBytes int) outageSnapshot {
	fitting := outageSnapshot{at: o.at}
	byRate := slices.Clone(o.list)
	slices.SortStableFunc(byRate, func(x, y outage) int { return cmp.Compare(y.Rate, x.Rate) })
	for _, out := range byRate {
		raw, err := json.Marshal(out) // fails for a rate that is no finite number; that outage is left out
		if maxBytes -= len(raw) + 1; err == nil && maxBytes < 0 {
			break
		}
		if err == nil {
			fitting.list = append(fitting.list, out)
		}
	}
	return fitting
}

// saveRates writes the rates of the busiest destinations and the outages; they replace those written before.
func (j *journal) saveRates(rates []brain.UsualRate, snapshot outageSnapshot) error {
	slices.SortFunc(rates, func(a, b brain.UsualRate) int { return cmp.Compare(b.Rate, a.Rate) })
	j.rates, j.outages = map[uint32]float64{}, snapshot.truncated(j.maxOutageBytes)
	for _, r := range rates[:min(len(rates), maxRates)] {
		j.rates[uint32(r.Destination)] = roundRate(r.Rate)
	}
	if _, err := writeLine(&j.buf, j.ratesRecord()); err != nil {
		j.failed = true
	}
	return j.flush()
}

// ratesRecord returns the record of the rates and outages.
func (j *journal) ratesRecord() *record {
	return &record{Op: opRates, Rates: j.rates, At: j.outages.at, Outages: j.outages.list}
}
