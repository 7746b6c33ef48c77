package run

import (
	"time"

	"saffronyard.example/saffronyard/internal/work"
	"saffronyard.example/saffronyard/internal/work/store"
)

// Submit accepts jobs, all or none. When it returns nil those that are not volatile are durable. It returns an *UnknownKindError, a
// *work.CapacityError, ErrShuttingDown, or an error of the store.
func (r *Runner) Submit(jobs ...JobSpec) error {
	err := ErrShuttingDown
	if e := r.call(func() { err = r.submit(jobs, 0, "", time.Time{}) }); e != nil {
		return e
	}
	return err
}

func (r *Runner) submit(jobs []JobSpec, depth int, timer string, ran time.Time) error {
	var durable []store.Record
	var accepted []*store.Record
	var candidates []work.Job
	for i := range jobs {
		k := r.kinds[jobs[i].Kind]
		if k == nil {
			return &UnknownKindError{Kind: jobs[i].Kind}
		}
		rec := r.record(&jobs[i], depth)
		candidates = append(candidates, r.job(&rec))
		if k.Volatile {
			r.nextVolatileID--
			rec.ID = r.nextVolatileID
			accepted = append(accepted, &rec)
		} else {
			durable = append(durable, rec)
		}
	}
	if err := r.sched.CheckCapacity(candidates...); err != nil {
		return err
	}
	if len(durable) > 0 || timer != "" {
		if err := r.store.Add(durable, timer, ran); err != nil {
			return err
		}
	}
	for i := range durable {
		accepted = append(accepted, &durable[i])
	}
	r.accept(accepted)
	return nil
}

func (r *Runner) record(n *JobSpec, depth int) store.Record {
	wall := r.config.Wall().UnixNano()
	rec := store.Record{Kind: n.Kind, Owner: n.Owner, Priority: n.Priority, SliceCost: n.SliceCost, Remaining: int64(n.Remaining), Lock: n.Lock, Resource: n.Resource, Depth: depth, State: n.State}
	if k := r.kinds[n.Kind]; k != nil {
		rec.Version = k.Version
	}
	if n.Delay > 0 {
		rec.Earliest = wall + int64(n.Delay)
	}
	if n.DeadlineAfter > 0 {
		rec.Deadline = wall + int64(n.DeadlineAfter)
	}
	return rec
}

// accept submits jobs to the scheduler that are stored, or are volatile.
func (r *Runner) accept(all []*store.Record) {
	var events []work.Event
	for _, rec := range all {
		r.records[rec.ID] = rec
		events = append(events, work.Submit{Job: r.job(rec)})
	}
	r.step(events...)
}
