// Package controlplane is the application of the control role, on top of the replicated control state: the operator's API,
// sessions and their pushes, the turn store map, the platform's list, and orders to retire a machine.
//
// What is published to sessions is a view. It is made only of what has been written through to all backups: at the start
// of an epoch, and after a write without a clear outcome, the state is written through before anything of it is shown.
package controlplane

import (
	"context"
	"encoding/binary"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"saffronyard.example/saffronyard/internal/tier/consensus"
	"saffronyard.example/saffronyard/internal/tier/routing"
	"saffronyard.example/saffronyard/internal/tier/settings"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

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

// writeRetryBackoff is from a failed write of the primary's own to the next.
const writeRetryBackoff = 100 * time.Millisecond

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

// view is what sessions are shown. It is never changed, only replaced.
type view struct {
	epoch                   uint64
	ready                   bool // this process is the primary, and the state is written through
	since                   time.Time
	configuration           *tierv1.Configuration
	compressedConfiguration *tierv1.Configuration // the same as sessions get it, made once for all
	changes                 changeHistory         // the newest orders that were taken, the one in force last
	partitionMap            *tierv1.PartitionMap
	endpoints               *tierv1.Endpoints
	compressedEndpoints     *compressedEndpoints // of endpoints, as sessions get them
	members                 *tierv1.Members
	ejections               *tierv1.Ejections
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

func (plane *ControlPlane) windowFraction(divisor int) time.Duration {
	return plane.Settings.ContactWindow / time.Duration(divisor)
}

// currentView gives the view and a channel that is closed when it has changed.
func (plane *ControlPlane) currentView() (*view, <-chan struct{}) {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	return plane.view, plane.viewChanged
}

// updateView replaces the view of an epoch by a changed copy, and wakes all who wait for it. It does nothing in another epoch.
func (plane *ControlPlane) updateView(epoch uint64, f func(*view)) bool {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	if plane.view.epoch != epoch {
		return false
	}
	plane.replaceView(f)
	return true
}

func (plane *ControlPlane) replaceView(f func(*view)) {
	next := *plane.view
	f(&next)
	plane.view = &next
	close(plane.viewChanged)
	plane.viewChanged = make(chan struct{})
}

// primary gives the view if this process may show it now.
func (plane *ControlPlane) primary() (*view, bool) {
	epoch, ok := plane.Store.Primary()
	v, _ := plane.currentView()
	return v, ok && v.ready && v.epoch == epoch
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// lockWriter takes the right to write to the store, or fails with ctx.
func (plane *ControlPlane) lockWriter(ctx context.Context) error {
	select {
	case plane.writer <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (plane *ControlPlane) unlockWriter() { <-plane.writer }

// write writes under the writer's right. When the outcome is unknown, nothing more is shown until all is written through. It
// fails with errStateTooLarge where nothing was written, as the control state would be too large.
func (plane *ControlPlane) write(ctx context.Context, epoch uint64, sets map[string][]byte) (uint64, error) {
	sequence, err := plane.Store.Put(ctx, epoch, sets)
	if errorx.IsOfType(err, consensus.StateTooLarge) {
		plane.Log.Warn().Str("event", "write_refused").Uint64("epoch", epoch).Str("error", err.Error()).Msg("")
		return 0, errStateTooLarge
	}
	if err != nil {
		plane.updateView(epoch, func(v *view) { v.ready = false })
		wake(plane.reconcileNow)
		plane.Log.Warn().Str("event", "write_unclear").Uint64("epoch", epoch).Str("error", err.Error()).Msg("")
	}
	return sequence, err
}

// Run does the primary's work, in each epoch in which this process is it, until ctx ends.
func (plane *ControlPlane) Run(ctx context.Context) {
	var polling sync.WaitGroup
	polling.Go(func() { plane.pollPlatform(ctx) })
	defer polling.Wait()
	var reconciler reconciler
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := plane.Store.Changed()
		pause := plane.windowFraction(sessionCheckDivisor)
		reconcileNow := plane.reconcileNow
		if epoch, ok := plane.Store.Primary(); ok {
			if !plane.servePrimary(ctx, epoch, &reconciler) { // a failed write is a change, too: it must not wake the next at once
				changed, reconcileNow, pause = nil, nil, writeRetryBackoff
			}
		} else {
			plane.stepDown()
			pause = plane.windowFraction(writeTimeoutDivisor)
		}
		timer.Reset(max(pause, writeRetryBackoff))
		select {
		case <-ctx.Done():
			plane.stepDown()
			return
		case <-changed:
		case <-reconcileNow:
		case <-timer.C:
		}
	}
}

// stepDown ends what sessions are shown: this process is not the primary, or out of touch.
func (plane *ControlPlane) stepDown() {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	if plane.view.ready {
		plane.replaceView(func(v *view) { v.ready = false })
		plane.Log.Info().Str("event", "stood_down").Uint64("epoch", plane.view.epoch).Msg("")
	}
}

// servePrimary brings view and turn store map up to date, and tells whether that went well.
func (plane *ControlPlane) servePrimary(ctx context.Context, epoch uint64, rec *reconciler) bool {
	v, _ := plane.currentView()
	if v.epoch != epoch || !v.ready {
		if err := plane.startEpoch(ctx, epoch); err != nil {
			plane.Log.Warn().Str("event", "settle_failed").Uint64("epoch", epoch).Str("error", err.Error()).Msg("")
			return false
		}
		*rec = reconciler{}
		wake(plane.pollNow)
	}
	plane.publishMembers(epoch)
	return plane.reconcile(ctx, epoch, rec)
}

// startEpoch writes the whole state through to all backups and shows it.
func (plane *ControlPlane) startEpoch(ctx context.Context, epoch uint64) error {
	ctx, cancel := context.WithTimeout(ctx, plane.windowFraction(writeTimeoutDivisor))
	defer cancel()
	if err := plane.lockWriter(ctx); err != nil {
		return err
	}
	defer plane.unlockWriter()
	mark := binary.BigEndian.AppendUint64(nil, epoch)
	if _, err := plane.Store.Put(ctx, epoch, map[string][]byte{keyEpochMarker: mark}); err != nil {
		return err
	}
	next := view{epoch: epoch, ready: true, since: time.Now()}
	body, sequence := plane.Store.Get(keyConfiguration)
	if body != nil {
		c, err := routing.Parse(body)
		if err != nil {
			return errorx.Decorate(err, "configuration in the control state")
		}
		if next.changes, err = loadChangeHistory(c.Revision, body, plane.Store.Get); err != nil {
			return errorx.Decorate(err, "orders in the control state")
		}
		next.configuration = &tierv1.Configuration{Version: sequence, Body: body}
		next.compressedConfiguration = compressConfiguration(next.configuration)
	}
	if b, sequence := plane.Store.Get(keyPartitionMap); b != nil {
		m := &tierv1.PartitionMap{}
		if err := proto.Unmarshal(b, m); err != nil {
			return errorx.Decorate(err, "turn store map in the control state")
		}
		m.Version = sequence
		next.partitionMap = m
	}
	plane.mu.Lock()
	defer plane.mu.Unlock()
	if plane.view.epoch == epoch { // back in touch in the same epoch
		next.endpoints, next.compressedEndpoints, next.members = plane.view.endpoints, plane.view.compressedEndpoints, plane.view.members
		next.ejections = plane.view.ejections
	} else {
		plane.versions.endpoints, plane.versions.members, plane.versions.ejections = 0, 0, 0
		plane.ejections, plane.unpublishedEjections = newEjections(plane.Settings.ContactWindow), nil
		plane.stopEndpointPushTimer()
		plane.endpointList = newEndpointList(plane.Settings.DrainTimeout/pushIntervalDivisor, plane.Settings.DrainTimeout/quickScanDivisor)
		plane.riskTimer = riskTimer{}
	}
	plane.replaceView(func(v *view) { *v = next })
	plane.Log.Info().Str("event", "primary").Uint64("epoch", epoch).Int64("revision", next.changes.current).Int("orders", len(next.changes.records)).Msg("")
	return nil
}

// nextVersion numbers what is not part of the state: it rises within an epoch and from one to the next.
func nextVersion(epoch uint64, counter *uint64) uint64 {
	*counter++
	return epoch<<24 | *counter
}

// publishMembers shows the members of the core where they have changed.
func (plane *ControlPlane) publishMembers(epoch uint64) {
	list := plane.Store.Members()
	plane.mu.Lock()
	defer plane.mu.Unlock()
	if plane.view.epoch != epoch || len(list) == 0 {
		return
	}
	if m := plane.view.members; m != nil && len(m.List) == len(list) {
		same := true
		for i := range list {
			same = same && proto.Equal(list[i], m.List[i])
		}
		if same {
			return
		}
	}
	plane.replaceView(func(v *view) {
		v.members = &tierv1.Members{Version: nextVersion(epoch, &plane.versions.members), List: list}
	})
}
