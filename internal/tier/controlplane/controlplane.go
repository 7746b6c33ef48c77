// Package controlplane is the application of the control role, on top of the replicated control state: the operator's API,
// sessions and their pushes, the turn store map, the platform's list, and orders to retire a machine.
//
// What is published to sessions is a view. It is made only of what has been written through to all backups: at the start
// of an epoch, and after a write without a clear outcome, the state is written through before anything of it is shown.
package controlplane

import (
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"saffronyard.example/saffronyard/internal/tier/settings"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Config is what a control plane is made of.
type Config struct {
	Settings settings.Settings
	Store    Store
	Cloud    *http.Client // for calls to the platform
	// Dial reaches another control-plane process by its internal address. Without it, the store's hint alone tells who is
	// the primary.
	Dial func(address string) tierv1.ControlPlane
	Log  *log.Logger
}

// ControlPlane is the application of the control-plane role: it answers operators and sessions while this process is the primary.
type ControlPlane struct {
	Config
	faultTolerance FaultTolerance
	writer         chan struct{} // held by whoever writes to the store
	reconcileNow   chan struct{} // wakes the loop that reconciles the turn store map
	pollNow        chan struct{} // wakes the one that asks for the platform's list
	barrier        readBarrier

	mu                sync.Mutex
	view              *view
	viewChanged       chan struct{} // closed at the next change of view
	sessions          sessionRegistry
	endpointList      endpointList // of the epoch of the view
	endpointPushTimer *time.Timer  // publishes what endpointList has changed; nil: none is to come
	riskTimer         riskTimer
	retireDeadlines   retireDeadlines // of the orders that came to this process
	// primaryMissing is since when, and when last, callers could not be sent to a primary; first is the last success where they could.
	primaryMissing struct{ first, last time.Time }
	versions       struct{ endpoints, members, ejections uint64 } // of versions within the epoch

	ejections            ejections         // of the epoch of the view
	unpublishedEjections *tierv1.Ejections // to be shown; nil: nothing new
	ejectionsPublishedAt time.Time         // of the last time that some were shown
	ejectionPushTimer    *time.Timer       // shows nextEjections; nil: none is to come
}

// New makes a control plane that Run begins.
func New(c Config) *ControlPlane {
	if c.Cloud == nil {
		c.Cloud = http.DefaultClient
	}
	if c.Log == nil {
		c.Log = &log.Logger{Level: log.PanicLevel}
	}
	plane := &ControlPlane{Config: c, faultTolerance: faultToleranceOf(c.Settings), writer: make(chan struct{}, 1), reconcileNow: make(chan struct{}, 1),
		pollNow: make(chan struct{}, 1), view: &view{}, viewChanged: make(chan struct{}), retireDeadlines: retireDeadlines{}}
	plane.sessions = newRegistry(c.Settings.ContactWindow)
	plane.ejections = newEjections(c.Settings.ContactWindow)
	plane.barrier.store = c.Store
	plane.barrier.limit = c.Settings.ContactWindow / writeTimeoutDivisor
	return plane
}

// Parts of the contact window.
const (
	sessionCheckDivisor      = 12 // the primary looks at lapsed sessions so often
	sessionTTLDivisor        = 10 // a session stands for so long after its call was answered, if calls are held as long as they may
	longPollDivisor          = 6  // a call is held no longer,
	turnStoreLongPollDivisor = 12 // and turn stores, which ask for less, no longer than this (internal/tier/session)
	takeoverGraceDivisor     = 4  // after a takeover, no turn store is called dead for so long
	writeTimeoutDivisor      = 3  // a write of the primary's own takes no longer
	firstMapDelayDivisor     = 10 // the first turn store map is made when no turn store has come for so long
	// A partition without a turn store for another copy waits so long after the lapse of a session before it goes on without that
	// copy. A turn store whose call was lost gives it up a twelfth of the window after the lapse, a search for the primary that
	// fails takes an eighth, and the pause until the next a thirtieth: 0.24 in all. With the detection (hold, lapse and tick:
	// 0.27) the wait ends within the window, in which a machine that had trouble is not yet called in touch again.
	lostReplicaWaitDivisor = 4
)

func (plane *ControlPlane) windowFraction(divisor int) time.Duration {
	return plane.Settings.ContactWindow / time.Duration(divisor)
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
