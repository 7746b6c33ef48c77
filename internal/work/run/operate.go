package run

import (
	"saffronyard.example/saffronyard/internal/work"
)

// Command applies an operator's command.
func (r *Runner) Command(c work.Command) error {
	return r.call(func() {
		if c.Verb == work.Run { // the store too must record that the jobs are no longer parked
			for _, v := range r.sched.Views(work.Filter{ID: c.ID, Kind: c.Kind, Owner: c.Owner, State: "parked"}) {
				if r.persisted(v.ID) {
					if err := r.store.Park(v.ID, ""); err != nil {
						r.log.Warn("failed to store that a job is no longer parked", "job", v.ID, "err", err)
					}
				}
				r.records[v.ID].Failures = 0
			}
		}
		r.step(c)
	})
}

// Configure replaces the settings in service.
func (r *Runner) Configure(set work.Settings) error {
	set.Limits.Running = r.config.Workers
	return r.call(func() {
		r.config.Settings = set
		r.step(work.Configure{Settings: set})
	})
}

// Report is the state of background work, in the JSON of the command line.
type Report struct {
	Jobs       []work.View  `json:"jobs"`
	Kinds      []work.Total `json:"kinds"`
	Owners     []work.Total `json:"owners"`
	JobCount   int          `json:"held"`
	Running    int          `json:"running"`
	Allowance  float64      `json:"allow"` // fraction of the budget that live traffic leaves
	Worst      string       `json:"worst,omitempty"`
	WorstRatio float64      `json:"over"`
}

// Report returns the jobs that a filter selects, with the totals and the load.
func (r *Runner) Report(f work.Filter) (rep Report, err error) {
	err = r.call(func() {
		rep.Jobs = r.sched.Views(f)
		rep.Kinds, rep.Owners = r.sched.Totals()
		rep.JobCount, rep.Running = r.sched.Len()
		rep.Allowance = r.pressure.Allowance()
		rep.Worst, rep.WorstRatio = r.pressure.Worst()
	})
	return rep, err
}
