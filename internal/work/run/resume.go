package run

import (
	"fmt"
	"time"

	"saffronyard.example/saffronyard/internal/work"
	"saffronyard.example/saffronyard/internal/work/store"
)

// resume submits the stored jobs, which an earlier process did not finish.
func (r *Runner) resume() error {
	var events []work.Event
	err := r.store.Load(func(rec store.Record) error {
		parked := rec.ParkedReason
		k := r.kinds[rec.Kind]
		switch {
		case k == nil:
			parked = "nobody here does " + rec.Kind
		case rec.Version > k.Version:
			parked = fmt.Sprintf("it is of version %d of %s, and this is %d", rec.Version, rec.Kind, k.Version)
		case rec.Intended && k.CheckDone == nil && parked == "":
			parked = "the process ended while a slice of it was under way: it may have been done"
		}
		r.records[rec.ID] = &rec
		events = append(events, work.Submit{Job: r.job(&rec), Failures: rec.Failures, ParkedReason: parked})
		return nil
	})
	if err != nil {
		return err
	}
	for _, k := range r.kinds {
		if k.Timer != nil {
			if r.lastRuns[k.Name], err = r.store.LastRun(k.Name); err != nil {
				return err
			}
		}
	}
	// Stored jobs are accepted even if they exceed the configured limits, but no more slices may run than there are workers.
	unlimited := r.config.Settings
	unlimited.Limits = work.Limits{Running: r.config.Workers}
	r.step(append([]work.Event{work.Configure{Settings: unlimited}}, events...)...)
	r.step(work.Configure{Settings: r.config.Settings})
	return nil
}

// job converts a record for the scheduler, whose times are of the runner's clock.
func (r *Runner) job(rec *store.Record) work.Job {
	j := work.Job{ID: rec.ID, Kind: rec.Kind, Owner: rec.Owner, Priority: rec.Priority, SliceCost: rec.SliceCost, Remaining: time.Duration(rec.Remaining), Lock: rec.Lock,
		Resource: rec.Resource, Depth: rec.Depth, Size: int64(len(rec.State)) + 200}
	wall, now := r.config.Wall().UnixNano(), r.now()
	if rec.Earliest > 0 {
		j.Earliest = now + time.Duration(rec.Earliest-wall)
	}
	if rec.Deadline > 0 {
		j.Deadline = max(1, now+time.Duration(rec.Deadline-wall))
	}
	return j
}
