package work

import (
	"slices"
	"strings"
	"testing"
	"time"
)

const sec = time.Second

// rig is a scheduler with its clock, and a record of the actions that it returned.
type rig struct {
	t        testing.TB
	s        *Scheduler
	now      time.Duration
	wall     time.Time
	running  []ID
	finished []ID
	dropped  []ID
	parked   map[ID]string
	rejected map[ID]string
	stopped  []ID
}

var monday = time.Date(2026, 11, 30, 12, 0, 0, 0, time.UTC)

func newRig(t testing.TB, set Settings) *rig {
	return &rig{t: t, s: New(set, func() float64 { return 0.5 }), wall: monday, parked: map[ID]string{}, rejected: map[ID]string{}}
}

func (r *rig) step(events ...Event) *rig {
	for _, a := range r.s.Step(r.now, r.wall, events...) {
		switch a := a.(type) {
		case Start:
			r.running = append(r.running, a.ID)
		case Finished:
			if a.Dropped {
				r.dropped = append(r.dropped, a.ID)
			} else {
				r.finished = append(r.finished, a.ID)
			}
		case Park:
			r.parked[a.ID] = a.Reason
		case Reject:
			r.rejected[a.ID] = a.Reason
		case Stop:
			r.stopped = append(r.stopped, a.ID)
		}
	}
	return r
}

func (r *rig) at(now time.Duration) *rig {
	r.wall = r.wall.Add(now - r.now)
	r.now = now
	return r.step()
}

func (r *rig) submit(jobs ...Job) *rig {
	for _, j := range jobs {
		r.step(Submit{Job: j})
	}
	return r
}

// end ends the slice that has run for longest, and returns its job.
func (r *rig) end(e SliceEnded) ID {
	r.t.Helper()
	if len(r.running) == 0 {
		r.t.Fatal("no slice runs")
	}
	e.ID, r.running = r.running[0], r.running[1:]
	r.step(e)
	return e.ID
}

func (r *rig) wantRunning(ids ...ID) *rig {
	r.t.Helper()
	if !slices.Equal(r.running, ids) {
		r.t.Fatalf("%v run, want %v", r.running, ids)
	}
	return r
}

func (r *rig) wantReason(id ID, want string) *rig {
	r.t.Helper()
	v := r.s.Views(Filter{ID: id})
	if len(v) != 1 || !strings.Contains(v[0].Reason, want) {
		r.t.Errorf("job %d: %+v, want %q", id, v, want)
	}
	return r
}

func singleWorker(set Settings) Settings {
	set.Limits.Running = 1
	return set
}

func keys(m map[ID]bool) []ID {
	var out []ID
	for k := range m {
		out = append(out, k)
	}
	return out
}
