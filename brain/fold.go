package brain

import (
	"math"
	"slices"
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

// A destination that has been quiet for Settings.FoldAfter, with nothing held and no call out, is folded: what
// matters of it stays in a record of a few hundred bytes, and its histogram, its books and its route are let gf.
// It unfolds with its first message, and with any news of its endpoints; every access by name comes through
// destination, drop or add, which do that. Folding changes what is remembered, by the rule in age.go, and
// nothing that was told: a wait, a drain, an outage and its cold return outlast it unchanged.

// folded is a quiet destination with its route, as they are remembered. Rates are calls a second, spans and times
// of the clock as everywhere; figures that are only known roughly are held short.
type folded struct {
	id          DestinationID
	place       uint64
	routePlace  uint64
	at          time.Duration // when it was folded
	endpoints   []lean
	closedUntil time.Duration
	since       time.Duration
	outAt       time.Duration
	lastServed  time.Duration
	sentAt      time.Duration

	destPast, before, past, limit, pace float32
	rate                                float32 // calls a second usually served
	mean, recent, fails, window         float32
	best, median, quickest, paused      int32 // microseconds
	seen                                uint16
	state                               state
}

// lean is an endpoint that is listed and serves.
type lean struct {
	id     EndpointID
	kind   int16
	zone   int16
	rating float32
	fails  float32
}

// quietSince is an entry of the queue of destinations that may be folded.
type quietSince struct {
	at time.Duration
	d  *destination
}

// touch notes that d is in use, so that it is folded only so long after.
func (b *Brain) touch(d *destination) {
	d.touched = b.now
	if b.s.HibernateAfter > 0 && !d.queued {
		d.queued = true
		b.quiet = append(b.quiet, quietSince{b.now, d})
	}
}

// foldQuiet folds what has been quiet for long enough, a few in one step.
func (b *Brain) foldQuiet() {
	const most = 64 // in one step: a list of tens of thousands does not hold one up
	some := false
	for n := 0; n < most && len(b.quiet) > 0 && b.now-b.quiet[0].at >= b.s.HibernateAfter; n++ {
		d := b.quiet[0].d
		b.quiet[0] = quietSince{}
		b.quiet = b.quiet[1:]
		d.queued = false
		switch {
		case d.gone:
		case b.now-d.touched < b.s.HibernateAfter:
			d.queued = true
			b.requeue(d)
		case b.foldable(d):
			b.fold(d)
			some = true
		default:
			b.touch(d)
		}
	}
	if some {
		b.order = shrink(slices.DeleteFunc(b.order, func(d *destination) bool { return d.gone }))
	}
	if len(b.quiet) == 0 {
		b.quiet = nil
	}
}

// requeue puts d back by the time at which it was touched last. The queue stays in order of time but for these,
// which come up a little late.
func (b *Brain) requeue(d *destination) { b.quiet = append(b.quiet, quietSince{d.touched, d}) }

// foldable: nothing is held, no call is out, all endpoints share one route, and the record holds all of them.
func (b *Brain) foldable(d *destination) bool {
	if d.held > 0 || d.count > 0 || d.apart || len(d.endpoints) == 0 {
		return false // without endpoints it is forgotten by itself
	}
	if r := d.shared; r == nil || r.calls > 0 || len(r.unanswered) > 0 || r.probes > 0 {
		return false
	}
	for _, e := range d.endpoints {
		if e.calls > 0 || e.Kind > math.MaxInt16 || e.Zone > math.MaxInt16 || e.idleAt > 0 && b.now < e.idleAt+b.s.IdleConnTimeout {
			return false
		}
	}
	return true
}

func micros(d time.Duration) int32 {
	return int32(min(d/time.Microsecond, math.MaxInt32))
}

func (b *Brain) fold(d *destination) {
	r := d.shared
	r.Optimum()
	rate := r.before
	if r.state == well {
		rate = max(b.usual(r.done), b.earlier(r))
	}
	f := &folded{id: DestinationID(r.name), place: d.place, routePlace: r.place, at: b.now, closedUntil: r.closedUntil, since: r.since,
		outAt: r.outAt, lastServed: r.lastServed, sentAt: max(r.sentAt, r.filled), destPast: float32(d.past), before: float32(r.before),
		past: float32(r.past), limit: float32(r.limit), pace: float32(r.pace), rate: float32(rate), mean: float32(r.Mean),
		recent: float32(r.recent), fails: float32(r.fails), window: float32(r.window.Size), best: micros(r.Best), median: micros(r.Median),
		quickest: micros(r.Quickest), paused: micros(r.pause), seen: uint16(min(r.Seen, math.MaxUint16)), state: r.state}
	f.endpoints = make([]lean, 0, len(d.endpoints))
	for _, e := range d.endpoints {
		f.endpoints = append(f.endpoints, lean{e.ID, int16(e.Kind), int16(e.Zone), float32(e.Rating), float32(e.fails)})
		delete(b.endpoints, e.ID)
		b.foldedAt[e.ID] = f.id
		b.crowd(e, 0)
		e.idleNo = 0
	}
	d.gone, r.gone = true, true // endpoints that left the list may still name it; the record counts for it
	delete(b.dests, f.id)
	b.folded[f.id] = f
}

// unfold makes a destination of a record again, with what is still to be trusted of it.
func (b *Brain) unfold(f *folded) *destination {
	delete(b.folded, f.id)
	t := trust(b.now - f.at)
	r := &route{name: uint32(f.id), place: f.routePlace, window: restart.Window{Size: max(1, blend(1, float64(f.window), t))}, tokens: 1, filled: b.now,
		closedUntil: f.closedUntil, pause: time.Duration(f.paused) * time.Microsecond, fails: blend(0, float64(f.fails), t),
		recent: float64(f.recent), lastServed: f.lastServed, sentAt: f.sentAt, before: float64(f.before), past: float64(f.past), outAt: f.outAt,
		state: f.state, since: f.since, limit: float64(f.limit), logged: -never / 2}
	if f.seen > 0 {
		r.Assume(int(f.seen), float64(f.mean), time.Duration(f.median)*time.Microsecond, time.Duration(f.quickest)*time.Microsecond,
			time.Duration(f.best)*time.Microsecond, t)
	}
	if r.limit > 0 {
		if r.pace = blend(b.even(r.limit), float64(f.pace), t); t < leastTrust {
			r.limit, r.pace = 0, 0
		}
	}
	if r.state != well {
		r.tokens = 0 // as at the begin of an outage and of a return
	}
	// The rate usually served there, as much as it counts still.
	counted := arrivalSpan.Seconds() * (1 - math.Exp(-(b.now-b.started).Seconds()/arrivalSpan.Seconds()))
	r.done = fading{float64(f.rate) * t * counted, b.now}
	r.tried = r.done
	d := &destination{place: f.place, shared: r, past: float64(f.destPast)}
	for _, l := range f.endpoints {
		e := &endpoint{Endpoint: Endpoint{ID: l.id, Destination: f.id, Kind: int(l.kind), Zone: int(l.zone), Ready: true, Rating: float64(l.rating)},
			listed: true, route: r, fails: blend(0, float64(l.fails), t)}
		d.endpoints = append(d.endpoints, e)
		b.endpoints[l.id] = e
		delete(b.foldedAt, l.id)
	}
	b.dests[f.id] = d
	i, _ := slices.BinarySearchFunc(b.order, d.place, func(o *destination, place uint64) int {
		switch {
		case o.place < place:
			return -1
		case o.place > place:
			return 1
		}
		return 0
	})
	b.order = slices.Insert(b.order, i, d)
	b.touch(d)
	return d
}

// unfoldAt unfolds the destination of an endpoint, if it is folded.
func (b *Brain) unfoldAt(id EndpointID) {
	if at, ok := b.foldedAt[id]; ok {
		b.unfold(b.folded[at])
	}
}

// asFolded: a line of the list says what is remembered already, so that nothing need unfold for it.
func (b *Brain) asFolded(line Endpoint) bool {
	at, ok := b.foldedAt[line.ID]
	if !ok || at != line.Destination || !line.Ready {
		return false
	}
	for _, l := range b.folded[at].endpoints {
		if l.id == line.ID {
			return int(l.kind) == max(0, line.Kind) && int(l.zone) == max(0, line.Zone) && l.rating == float32(line.Rating)
		}
	}
	return false
}
