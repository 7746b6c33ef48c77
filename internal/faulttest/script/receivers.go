package script

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"saffronyard.example/saffronyard/internal/faulttest/receiver"
)

// UsualKinds returns the default kinds of receiver, for a script that defines none.
func UsualKinds() ([]Kind, error) {
	kinds := []Kind{{Name: "processor", Weight: 1, Large: true, Limit: "window", Reports: true}, {Name: "retailer", Weight: 4, Connections: 3}}
	for i := range kinds {
		if err := kinds[i].check("usual kinds"); err != nil {
			return nil, err
		}
	}
	return kinds, nil
}

// receivers draws the day's receivers, in descending order of their traffic.
func (p *Plan) receivers(kinds []Kind, rng *rand.Rand) {
	d := p.Day
	of := byWeight(kinds, d.Receivers)
	weights, all := make([]float64, d.Receivers), 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -d.Zipf)
		all += weights[i]
	}
	// Each receiver goes to the member that is furthest below its share of the traffic.
	got, shares := make([]float64, len(p.Members)), 0.0
	for _, m := range p.Members {
		shares += m.Weight
	}
	for i := range d.Receivers {
		weight := weights[i] / all
		best := 0
		for j, m := range p.Members {
			if got[j]-m.Weight/shares < got[best]-p.Members[best].Weight/shares {
				best = j
			}
		}
		got[best] += weight
		endpoints, spec := d.drawSpec(of[i], weight, rng)
		p.Receivers = append(p.Receivers, Receiver{Name: "r" + strconv.Itoa(i), Kind: of[i].Name, Member: p.Members[best].Name,
			Weight: weight, Endpoints: endpoints, Spec: spec})
	}
}

// byWeight assigns n receivers to the kinds by their weights; large kinds come first.
func byWeight(kinds []Kind, n int) []Kind {
	order := slices.Clone(kinds)
	slices.SortStableFunc(order, func(a, b Kind) int {
		if a.Large == b.Large {
			return 0
		}
		if a.Large {
			return -1
		}
		return 1
	})
	total := 0.0
	for _, k := range order {
		total += k.Weight
	}
	var of []Kind
	sum := 0.0
	for i, k := range order {
		sum += k.Weight
		for to := int(math.Round(sum / total * float64(n))); len(of) < to || (i == len(order)-1 && len(of) < n); {
			of = append(of, k)
		}
	}
	return of
}

// drawSpec draws the number of endpoints and the spec of a receiver of a kind that gets the given fraction of the traffic.
func (d *Day) drawSpec(k Kind, weight float64, rng *rand.Rand) (endpoints int, spec receiver.Spec) {
	full := d.Rate / d.Load
	draw := func(r []float64) float64 { return r[0] + (r[1]-r[0])*rng.Float64() }
	endpoints = d.Endpoints[0] + rng.IntN(d.Endpoints[1]-d.Endpoints[0]+1)
	want := max(k.MinRate, full*weight*draw(k.Headroom))
	slots := max(1, int(math.Ceil(want*k.Service.D().Seconds()/float64(endpoints))))
	spec = receiver.Spec{
		Slots: slots, Queue: max(1, int(want*k.Queue.D().Seconds()/float64(endpoints))),
		Service: k.Service.D(), Spread: k.Spread, Times: k.Times,
		LimitKind: k.Limit, Window: k.Window.D(), TellsWait: k.TellsWait.D(),
		Format: k.Format, IdleClose: k.IdleClose.D(), Reports: k.Reports && k.Limit != "none",
		ReportEach: d.ReportEach.D(), ReportLate: d.ReportLate.D(),
		SlowStartCapacity: d.SlowStartCapacity, SlowStart: d.SlowStart.D(), FallMultiple: d.FallMultiple, FallSpan: d.FallSpan.D(),
	}
	spec.Capacity = float64(slots*endpoints) / k.Service.D().Seconds()
	if k.Limit != "none" {
		spec.Limit = max(k.MinRate, full*weight*draw(k.LimitHeadroom))
		spec.Capacity = max(spec.Capacity, spec.Limit)
	}
	if k.Connections > 0 {
		spec.MaxConnections = max(k.MinConnections, int(k.Connections*float64(slots)))
	}
	return endpoints, spec
}
