package coordination

import "time"

// Call is a call of an application. It is one of the types below.
type Call interface{ isCall() }

// AcquireLock asks for a lock.
type AcquireLock struct {
	ID    string
	Owner string
	Hold  time.Duration
}

// RenewLock extends a hold.
type RenewLock struct {
	ID    string
	Owner string
	Fence uint64
	Hold  time.Duration
}

// ReleaseLock ends a hold.
type ReleaseLock struct {
	ID    string
	Owner string
	Fence uint64
}

// NextNumber requests a number greater than all that were returned before for the counter.
type NextNumber struct{ ID string }

// PutKey sets a key.
type PutKey struct {
	Name, Value string
	IfRevision  *uint64 // the revision that the key must have; 0: the key must not exist; nil: any
}

// ReadKey reads a key.
type ReadKey struct{ Name string }

// WatchGroup requests the puts of a group above the revision After. It waits until there is one, for at most Wait. With After 0 it
// returns only the current revision, without waiting.
type WatchGroup struct {
	Group string // ends with a dot
	After uint64
	Wait  time.Duration
}

func (AcquireLock) isCall() {}
func (RenewLock) isCall()   {}
func (ReleaseLock) isCall() {}
func (NextNumber) isCall()  {}
func (PutKey) isCall()      {}
func (ReadKey) isCall()     {}
func (WatchGroup) isCall()  {}

// Result is the result of a call. It is one of the types below.
type Result interface{ isResult() }

type (
	// LockGranted says that the caller holds the lock under a fencing token.
	LockGranted struct{ Fence uint64 }
	// LockRenewed says that the hold is extended.
	LockRenewed struct{}
	// LockReleased says that the caller does not hold the lock (any more).
	LockReleased struct{}
	// LockUnavailable says that another owner holds the lock, or may still hold it.
	LockUnavailable struct{}
	// LockLost says that the caller does not hold the lock.
	LockLost struct{}
	// Number is a value greater than all that were returned before for the counter.
	Number struct{ Value uint64 }
	// KeyWritten says that the put took effect at this revision.
	KeyWritten struct{ Revision uint64 }
	// KeyConflict says that the key has another revision than the put requires; 0: the key does not exist.
	KeyConflict struct{ Revision uint64 }
	// KeyFound is the newest put of a key.
	KeyFound struct {
		Value    string
		Revision uint64
	}
	// KeyMissing says that the key was never put.
	KeyMissing struct{}
	// GroupPuts are all puts of a group above the watch's revision, up to Revision, in ascending order.
	GroupPuts struct {
		Puts     []Put
		Revision uint64
	}
	// HistoryGone says that the history of the group begins after the watch's revision.
	HistoryGone struct{}
	// RevisionUnknown says that the group has not reached the watch's revision.
	RevisionUnknown struct{}
)

// Put is one put of a key.
type Put struct {
	Name, Value string
	Revision    uint64
}

func (LockGranted) isResult()     {}
func (LockRenewed) isResult()     {}
func (LockReleased) isResult()    {}
func (LockUnavailable) isResult() {}
func (LockLost) isResult()        {}
func (Number) isResult()          {}
func (KeyWritten) isResult()      {}
func (KeyConflict) isResult()     {}
func (KeyFound) isResult()        {}
func (KeyMissing) isResult()      {}
func (GroupPuts) isResult()       {}
func (HistoryGone) isResult()     {}
func (RevisionUnknown) isResult() {}
