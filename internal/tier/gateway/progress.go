package gateway

import "strconv"

// nextStep is what follows the end of a run of a streamed request at an endpoint.
type nextStep uint8

const (
	finished nextStep = iota // the answer is whole
	retry                    // nothing has been taken: the request is sent once more as it is
	resume                   // a further run is to go on after the last event taken
	giveUp                   // nothing is left to try
)

func (step nextStep) String() string {
	return [...]string{"finished", "send_again", "resume", "give_up"}[step]
}

// attemptEnd is how a run ended, and what is left for a further one.
type attemptEnd struct {
	complete     bool // the run's answer came to its regular end
	clientGone   bool // the client has left
	retryable    bool // by the table of outcomes, for the kind of the request
	attemptsLeft bool // sends and time are left
}

// progress is how far a streamed answer has come over all its runs. It is pure, and knows an event by its id only: ids rise, and a
// run that goes on after one begins with the next.
type progress struct {
	resumable      bool   // the route allows a run to be followed by another one
	lastEventID    string // id of the last event taken; what the client named where none has been
	events         int    // events
	gapless        bool   // the ids of all events taken so far followed each other in steps of one
	lacksID        bool   // an event without an id was taken: nothing tells where a further run would begin
	atAttemptStart bool   // the next event is the first one of a run
}

// newProgress begins before the first run. after is the id that the client has already, empty if it has none.
func newProgress(resumable bool, after string) progress {
	return progress{resumable: resumable, lastEventID: after, gapless: true, atAttemptStart: true}
}

// beginAttempt notes that a further run begins.
func (progress *progress) beginAttempt() { progress.atAttemptStart = true }

// accept takes an event in, and reports whether it may be passed on: the first event of a further run may leave no gap. An event
// without an id, such as a comment, is passed on only within a run.
func (progress *progress) accept(id string, hasData bool) bool {
	seam := progress.atAttemptStart && progress.events > 0
	progress.atAttemptStart = false
	if id == "" {
		progress.lacksID = progress.lacksID || hasData
		return !seam
	}
	follows := precedes(progress.lastEventID, id)
	if seam && progress.gapless && !follows {
		return false
	}
	progress.gapless = progress.gapless && (progress.events == 0 || follows)
	progress.lastEventID = id
	progress.events++
	return true
}

// canResume reports whether a further run could go on after what has been taken.
func (progress *progress) canResume() bool { return progress.resumable && !progress.lacksID }

// next decides what follows the end of a run.
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

// precedes reports whether an id is the number right after another one.
func precedes(last, id string) bool {
	before, err := strconv.ParseUint(last, 10, 63)
	if err != nil {
		return false
	}
	after, err := strconv.ParseUint(id, 10, 63)
	return err == nil && after == before+1
}
