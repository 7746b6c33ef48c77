package work

import (
	"time"
)

// Event is an input of Scheduler.Step: Submit, SliceEnded, SetAllowance, Command or Configure. The passage of time is not an event; Step
// gets the time as an argument.
//
//sumtype:decl
type Event interface{ event() }

type (
	// Submit adds a new job, or one that an earlier process did not finish.
	Submit struct {
		Job
		Failures     int    // consecutive failures in an earlier process
		ParkedReason string // why the job is parked; empty: it is not
	}
	// SliceEnded reports how a slice ended.
	SliceEnded struct {
		ID      ID
		Used    Cost
		More    bool          // the job needs another slice
		Delay   time.Duration // wait before that slice may start
		Failure string        // why the slice failed; empty: it succeeded
		Park    bool          // park the failed job instead of retrying it
	}
	// SetAllowance sets the fraction of its budget, from 0 to 1, that the load of live traffic leaves to background work.
	SetAllowance struct{ Fraction float64 }
	// Command is an operator's command.
	Command struct {
		Verb  Verb
		ID    ID     // one job; 0: the jobs that Kind and Owner select
		Kind  string // empty: all
		Owner string // empty: all
	}
	// Configure replaces the settings. Jobs beyond the new limits stay, and no more are accepted.
	Configure struct{ Settings }
)

func (Submit) event() {}

func (SliceEnded) event() {}

func (SetAllowance) event() {}

func (Command) event() {}

func (Configure) event() {}

// Verb is the operation of a Command.
type Verb int

// Verbs. Pause and Resume are for kinds and owners, not for single jobs.
const (
	Pause Verb = iota
	Resume
	Run  // makes parked and delayed jobs, and those that await retry credit, ready now; locks and budgets still apply
	Drop // removes jobs; a slice that runs is cancelled first
)

// VerbNames returns the names of the verbs, as the command line spells them.
func VerbNames() []string { return []string{"pause", "resume", "run", "drop"} }

// Action is an output of Scheduler.Step for the caller to perform: Start, Reject, Finished, Park or Stop.
//
//sumtype:decl
type Action interface{ action() }

type (
	// Start starts a slice of a job.
	Start struct{ ID ID }
	// Reject refuses a submitted job; the scheduler stores nothing about the job.
	Reject struct {
		ID     ID
		Reason string
	}
	// Finished reports that a job is done or was dropped. The caller can delete it.
	Finished struct {
		ID      ID
		Dropped bool
	}
	// Park reports that a job waits for an operator.
	Park struct {
		ID     ID
		Reason string
	}
	// Stop cancels the running slice of a job that was dropped.
	Stop struct{ ID ID }
)

func (Start) action() {}

func (Reject) action() {}

func (Finished) action() {}

func (Park) action() {}

func (Stop) action() {}
