package controlplane

import (
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"saffronyard.example/saffronyard/internal/tier/coordination"
	"saffronyard.example/saffronyard/internal/tier/settings"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Durations that are a fraction of the contact window (guarantees.contact_window_ms): the window divided by these numbers.
const (
	// sessionCheckDivisor is for the interval at which the primary looks for sessions that have expired.
	sessionCheckDivisor = 12
	// sessionTTLDivisor is for the time that a session stays active after the answer to its last call, if its calls are held
	// for the longest time allowed.
	sessionTTLDivisor = 10
	// longPollDivisor is for the longest time that a call of Watch is held.
	longPollDivisor = 6
	// turnStoreLongPollDivisor is the same for turn stores, which request a shorter time (internal/tier/session).
	turnStoreLongPollDivisor = 12
	// takeoverGraceDivisor is for the time after a takeover in which no turn store counts as lost.
	takeoverGraceDivisor = 4
	// writeTimeoutDivisor is for the time-out of a write that the primary starts itself, without a caller.
	writeTimeoutDivisor = 3
	// firstMapDelayDivisor is for the time without a new turn store after which the first partition map is made.
	firstMapDelayDivisor = 10
	// lostReplicaWaitDivisor is for the time that a partition waits for a replica whose session has expired, if no turn store
	// can take another replica, before the partition goes on without it. A turn store whose call was lost notices the loss a
	// twelfth of the window after the expiry, a failed search for the primary takes an eighth, and the pause before the next
	// search a thirtieth: 0.24 of the window in all. With the detection (long poll, TTL and check: 0.27) the wait ends within
	// the window, in which a machine that had a fault does not yet count as in contact again.
	lostReplicaWaitDivisor = 4
)

// Config is what New needs.
type Config struct {
	Settings settings.Settings
	Store    Store
	Cloud    *http.Client // for calls to the platform; default: http.DefaultClient
	// Dial reaches another control plane process by its internal address. Without it, operators are redirected to the
	// address that Store.PrimaryHint gives, without a probe.
	Dial func(address string) tierv1.ControlPlane
	Log  *log.Logger // default: a logger at the panic level
}

// ControlPlane serves operators and sessions while this process is the primary of the control state. Its methods may be
// called from any goroutine; Run is called once.
type ControlPlane struct {
	Config
	faultTolerance FaultTolerance
	writer         chan struct{} // writer lock with one slot, see lockWriter
	reconcileNow   chan struct{} // wakes Run
	pollNow        chan struct{} // wakes pollPlatform
	barrier        readBarrier
	coordination   *coordination.Runtime

	mu               sync.Mutex // guards all fields below
	published        *publishedState
	publishedChanged chan struct{} // closed when published is replaced
	sessions         sessionRegistry
	riskTimer        riskTimer
	retireDeadlines  retireDeadlines // of the orders that this process received
	primaryMissing   primaryMissing
	versions         struct{ endpoints, members, ejections uint64 } // counters within the epoch, see nextVersion

	endpointList      endpointList // as read in the epoch of published
	endpointPushTimer *time.Timer  // publishes the changes of endpointList; nil: no push is scheduled

	ejections            ejections         // in the epoch of published
	unpublishedEjections *tierv1.Ejections // nil: all are published
	ejectionsPublishedAt time.Time
	ejectionPushTimer    *time.Timer // publishes unpublishedEjections; nil: no push is scheduled
}

// New returns a control plane, which does nothing until Run is called.
func New(config Config) *ControlPlane {
	if config.Cloud == nil {
		config.Cloud = http.DefaultClient
	}
	if config.Log == nil {
		config.Log = &log.Logger{Level: log.PanicLevel}
	}
	window := config.Settings.ContactWindow
	plane := &ControlPlane{
		Config:           config,
		faultTolerance:   faultToleranceOf(config.Settings),
		writer:           make(chan struct{}, 1),
		reconcileNow:     make(chan struct{}, 1),
		pollNow:          make(chan struct{}, 1),
		barrier:          readBarrier{store: config.Store, timeout: window / writeTimeoutDivisor},
		published:        &publishedState{},
		publishedChanged: make(chan struct{}),
		sessions:         newRegistry(window),
		retireDeadlines:  retireDeadlines{},
		ejections:        newEjections(window),
	}
	plane.coordination = plane.newCoordination()
	return plane
}

// newCoordination returns the runtime of locks, counters and keys on this process's control state.
func (plane *ControlPlane) newCoordination() *coordination.Runtime {
	start := time.Now()
	return coordination.NewRuntime(coordination.RuntimeConfig{
		Config: coordination.Config{HistoryRetention: plane.Settings.HistoryRetention},
		Store:  plane.Store,
		Primary: func() (uint64, bool) {
			state, ok := plane.primary()
			return state.epoch, ok
		},
		Now:          func() time.Duration { return time.Since(start) },
		WriteTimeout: operatorWriteTimeout,
		Log:          plane.Log,
	})
}

// windowFraction returns the contact window divided by one of the divisors above.
func (plane *ControlPlane) windowFraction(divisor int) time.Duration {
	return plane.Settings.ContactWindow / time.Duration(divisor)
}

// wake signals the receiver of a channel with one slot. It does not block: if a signal is already pending, the two are merged.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
