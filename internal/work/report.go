package work

import (
	"cmp"
	"slices"
)

// View is a job as operators see it, in the JSON of the command line.
type View struct {
	ID         ID     `json:"id"`
	Kind       string `json:"kind"`
	Owner      string `json:"owner"`
	Priority   string `json:"priority"`
	State      string `json:"state"` // running, waiting or parked
	Reason     string `json:"why,omitempty"`
	ForMS      int64  `json:"for_ms,omitempty"` // how long it has been ready
	SlicesDone int    `json:"slices"`
	Failures   int    `json:"fails,omitempty"`
	Err        string `json:"err,omitempty"`
	Used       Cost   `json:"used"`
}

// Filter selects jobs; an empty field selects all.
type Filter struct {
	ID    ID
	Kind  string
	Owner string
	State string
	Limit int
}

// Views returns the jobs that a filter selects, in the order of their IDs.
func (s *Scheduler) Views(f Filter) []View {
	var ids []ID
	for id, j := range s.jobs {
		if (f.ID == 0 || f.ID == id) && (f.Kind == "" || f.Kind == j.Kind) && (f.Owner == "" || f.Owner == j.Owner) && (f.State == "" || f.State == j.stateName()) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	if f.Limit > 0 && len(ids) > f.Limit {
		ids = ids[:f.Limit]
	}
	views := make([]View, 0, len(ids))
	for _, id := range ids {
		j := s.jobs[id]
		v := View{ID: id, Kind: j.Kind, Owner: j.Owner, Priority: j.Priority.String(), State: j.stateName(), Reason: s.waitReason(j), SlicesDone: j.slicesDone, Failures: j.failures, Err: j.lastFailure, Used: j.used}
		if j.state == ready {
			v.ForMS = (s.now - j.readySince).Milliseconds()
		}
		views = append(views, v)
	}
	return views
}

func (j *job) stateName() string {
	switch j.state {
	case running:
		return "running"
	case parked:
		return "parked"
	default:
		return "waiting"
	}
}

// waitReason returns what a job waits for; empty if it runs.
func (s *Scheduler) waitReason(j *job) string {
	switch j.state {
	case running:
		return ""
	case parked:
		return "it failed too often, or can't be settled by itself: run or drop it"
	case delayed:
		if j.isRetry && j.failures > 0 {
			return "pause after a failure"
		}
		return "its time"
	case awaitingLock:
		return "lock " + j.Lock
	case awaitingResource:
		return "breaker of " + j.Resource
	case awaitingRetryBudget:
		return "retry budget of " + j.Kind
	case ready:
	}
	k, o := s.kind(j.Kind), s.owner(j.Owner)
	switch {
	case k.paused || o.paused:
		return "paused"
	case !s.totalBudget.solvent() && s.allowance < 1:
		return "pressure of live traffic"
	case !s.totalBudget.solvent():
		return "budget of all work"
	case !o.budget.solvent():
		return "budget of " + o.name
	case k.Window != nil && k.windowOpensAt > s.now:
		return "window of " + k.name
	case !s.mayStart(k) && k.Running > 0 && k.running >= k.Running:
		return "others of its kind"
	case !s.mayStart(k):
		return "budget of " + k.name
	}
	return "its turn"
}

// Total is how many jobs a kind or an owner has, and what it has used.
type Total struct {
	Name   string `json:"name"`
	Jobs   int    `json:"jobs"`
	Used   Cost   `json:"used"`
	Paused bool   `json:"paused,omitempty"`
}

// Totals returns the totals of kinds and of owners, sorted by name.
func (s *Scheduler) Totals() (kinds, owners []Total) {
	n := map[string]int{}
	for _, j := range s.jobs {
		n[j.Kind]++
	}
	for _, k := range s.kinds {
		kinds = append(kinds, Total{k.name, n[k.name], k.used, k.paused})
	}
	for _, o := range s.owners {
		owners = append(owners, Total{o.name, o.jobs, o.used, o.paused})
	}
	byName := func(a, b Total) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(kinds, byName)
	slices.SortFunc(owners, byName)
	return kinds, owners
}

// Len returns how many jobs there are, and how many slices run.
func (s *Scheduler) Len() (jobs, slices int) { return len(s.jobs), s.runningCount }
