package gateway

import (
	"strconv"
)

// nextStep is what follows the end of an attempt of a streamed request.
type nextStep uint8

const (
	finished nextStep = iota // the answer is complete
	retry                    // no event has been accepted: the request is sent again unchanged
	resume                   // another attempt resumes after the last event accepted
	giveUp                   // the answer is aborted
)

// String implements fmt.Stringer.
func (step nextStep) String() string {
	return [...]string{"finished", "retry", "resume", "give_up"}[step]
}

// attemptEnd is how an attempt has ended, and whether another one may follow.
type attemptEnd struct {
	complete     bool // the answer has ended regularly
	clientGone   bool // the client has closed its connection
	retryable    bool // by upstream.Disposition, for the kind of the request
	attemptsLeft bool // the route and the deadline allow another one
}

// progress is the progress of a streamed answer over all its attempts. It does no I/O, and identifies events by their IDs only: IDs
// increase, and an attempt that resumes after an event begins with the next ID.
type progress struct {
	resumable      bool   // the route allows an attempt to be resumed by another one
	lastEventID    string // of the last event accepted; before the first one, the client's Last-Event-Id
	events         int    // number of events accepted that have an ID
	gapless        bool   // the IDs of all events accepted so far are consecutive numbers
	lacksID        bool   // an event without an ID was accepted, so the answer cannot be resumed
	atAttemptStart bool   // the next event is the first one of an attempt
}

// newProgress returns the progress before the first attempt. after is the ID of the last event that the client has, empty if none.
func newProgress(resumable bool, after string) progress {
	return progress{resumable: resumable, lastEventID: after, gapless: true, atAttemptStart: true}
}

// beginAttempt must be called before each attempt.
func (progress *progress) beginAttempt() { progress.atAttemptStart = true }

// accept accepts an event, or returns false if it must not be sent to the client: the first event of an attempt that resumes the answer
// must leave no gap. An event without an ID, such as a comment, is not accepted as the first event of such an attempt.
func (progress *progress) accept(id string, hasData bool) bool {
	resuming := progress.atAttemptStart && progress.events > 0
	progress.atAttemptStart = false
	if id == "" {
		progress.lacksID = progress.lacksID || hasData
		return !resuming
	}
	follows := precedes(progress.lastEventID, id)
	if resuming && progress.gapless && !follows {
		return false
	}
	progress.gapless = progress.gapless && (progress.events == 0 || follows)
	progress.lastEventID = id
	progress.events++
	return true
}

// canResume reports whether another attempt could resume the answer.
func (progress *progress) canResume() bool { return progress.resumable && !progress.lacksID }

// next decides what follows the end of an attempt.
func (progress *progress) next(end attemptEnd) nextStep {
	switch {
	case end.complete && !end.clientGone:
		return finished
	case end.clientGone || !end.attemptsLeft || !end.retryable:
		return giveUp
	case progress.events == 0 && !progress.lacksID:
		return retry
	case progress.canResume():
		return resume
	}
	return giveUp
}

// precedes reports whether id is the number right after last.
func precedes(last, id string) bool {
	before, err := strconv.ParseUint(last, 10, 63)
	if err != nil {
		return false
	}
	after, err := strconv.ParseUint(id, 10, 63)
	return err == nil && after == before+1
}
