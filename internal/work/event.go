package work

import (
	"time"
)

// Event is what happened: Submit, SliceEnded, SetAllowance, Command or Configure. That time has passed is no event.
//
//sumtype:decl
type Event interface{ event() }

type (
	// Submit is a new job, or one that an earlier process left.
	Submit struct {
		Job
		Failures     int    // in a row, in an earlier process
		ParkedReason string // why it was parked; empty: it was not
	}
	// SliceEnded says how a slice ended.
	SliceEnded struct {
		ID      ID
		Used    Cost
		More    bool          // the job needs another slice
		Delay   time.Duration // which may not start before this is over
		Failure string        // why the slice failed; empty: it succeeded
		Park    bool          // park the failed job instead of retrying it
	}
	// SetAllowance sets the fraction of its budget, from 0 to 1, that the load of live traffic leaves to background work.
	SetAllowance struct{ Fraction float64 }
	// Command is an operator's.
	Command struct {
		Verb  Verb
		ID    ID     // of one job; 0: of those that the next two select
		Kind  string // empty: all
		Owner string // empty: all
	}
	// Configure replaces the settings. Jobs beyond the new bounds stay, and no more are accepted.
	Configure struct{ Settings }
)

func (Submit) event() {}

func (SliceEnded) event() {}

func (SetAllowance) event() {}

func (Command) event() {}

func (Configure) event() {}

// Verb is what an operator commands.
type Verb int

// Verbs. Pause and Resume are for kinds and owners, not for single jobs.
const (
	Pause Verb = iota
	Resume
	Run  // now: whatever it waited for but locks and budgets, parked or not
	Drop // it ends, and is gone
)

// VerbNames returns the names of the verbs, as the command line has them.
func VerbNames() []string { return []string{"pause", "resume", "run", "drop"} }

// Action is what is to be done: Start, Reject, Finished, Park or Stop.
//
//sumtype:decl
type Action interface{ action() }

type (
	// Start starts a slice of a job.
	Start struct{ ID ID }
	// Reject turns a job away: nothing of it is held.
	Reject struct {
		ID     ID
		Reason string
	}
	// Finished says that a job is done, or dropped: it can be forgotten.
	Finished struct {
		ID      ID
		Dropped bool
	}
	// Park says that a job waits for an operator.
	Park struct {
		ID     ID
		Reason string
	}
	// Stop has the slice that runs called off: its job was dropped.
	Stop struct{ ID ID }
)

func (Start) action() {}

func (Reject) action() {}

func (Finished) action() {}

func (Park) action() {}

func (Stop) action() {}
