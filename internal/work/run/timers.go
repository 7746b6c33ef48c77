package run

import (
	"time"
)

// submitDueTimers submits the jobs of timers that are due.
func (r *Runner) submitDueTimers() {
	wall := r.config.Wall()
	for name, k := range r.kinds {
		if k.Timer == nil || wall.Before(r.dueTimes[name]) && r.dueTimes[name].Sub(wall) < timerInterval {
			continue
		}
		runs, last, next := k.Timer.Due(r.lastRuns[name], wall)
		r.dueTimes[name] = next
		if runs == 0 && last.Equal(r.lastRuns[name]) {
			continue
		}
		jobs := make([]JobSpec, runs)
		for i := range jobs {
			jobs[i] = k.Timer.Job
		}
		if err := r.submit(jobs, 0, name, last); err != nil {
			if !r.timerFailing {
				r.log.Warn("failed to submit a timer's jobs", "kind", name, "err", err)
			}
			r.timerFailing = true
			r.dueTimes[name] = wall.Add(time.Second)
			continue
		}
		r.timerFailing = false
		r.lastRuns[name] = last
	}
}

func (r *Runner) nextTimer() time.Duration {
	next := timerInterval
	wall := r.config.Wall()
	for _, t := range r.dueTimes {
		next = min(next, t.Sub(wall))
	}
	return next
}
