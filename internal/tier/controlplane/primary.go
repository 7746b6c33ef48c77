package controlplane

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/tier/routing"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// writeRetryBackoff is the pause after a failed write of Run, and the minimum pause between two iterations of Run.
const writeRetryBackoff = 100 * time.Millisecond

// Run does the primary's work in each epoch in which this process is the primary. It returns once ctx has ended and
// pollPlatform and the runtime of locks, counters and keys have returned. A read barrier's round trip may end later, within its
// time-out.
func (plane *ControlPlane) Run(ctx context.Context) {
	var background sync.WaitGroup
	background.Go(func() { plane.pollPlatform(ctx) })
	background.Go(func() { plane.coordination.Run(ctx) })
	defer background.Wait()
	var loop reconciler
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := plane.Store.Changed()
		pause := plane.windowFraction(sessionCheckDivisor)
		reconcileNow := plane.reconcileNow
		if epoch, ok := plane.Store.Primary(); ok {
			if !plane.servePrimary(ctx, epoch, &loop) { // a failed write signals a change, too, which must not start the next attempt at once
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

// servePrimary brings the published state and the partition map up to date. It returns false if a write has failed; the next
// attempt must then wait for writeRetryBackoff.
func (plane *ControlPlane) servePrimary(ctx context.Context, epoch uint64, loop *reconciler) bool {
	state, _ := plane.currentState()
	if state.epoch != epoch || !state.ready {
		if err := plane.startEpoch(ctx, epoch); err != nil {
			plane.Log.Warn().Str("event", "settle_failed").Uint64("epoch", epoch).Str("error", err.Error()).
				Msg("failed to replicate the control state at the start of an epoch")
			return false
		}
		*loop = reconciler{}
		wake(plane.pollNow)
		plane.coordination.Wake()
	}
	plane.publishMembers(epoch)
	return plane.reconcile(ctx, epoch, loop)
}

// startEpoch writes an epoch marker, and publishes the control state once all backups have it. The marker's write replicates
// all earlier writes, too. From then on, a write that an earlier primary left with an unknown outcome either is in force or
// never takes effect. (Raft does the same with an empty entry at the start of a term, section 8 of the paper.)
func (plane *ControlPlane) startEpoch(ctx context.Context, epoch uint64) error {
	ctx, cancel := context.WithTimeout(ctx, plane.windowFraction(writeTimeoutDivisor))
	defer cancel()
	if err := plane.lockWriter(ctx); err != nil {
		return err
	}
	defer plane.unlockWriter()
	marker := binary.BigEndian.AppendUint64(nil, epoch)
	if _, err := plane.Store.Put(ctx, epoch, map[string][]byte{keyEpochMarker: marker}); err != nil {
		return err
	}
	next, err := plane.loadState(epoch)
	if err != nil {
		return err
	}
	plane.publishEpoch(next)
	return nil
}

// loadState reads the control state. The caller holds the writer lock.
func (plane *ControlPlane) loadState(epoch uint64) (*publishedState, error) {
	next := &publishedState{epoch: epoch, ready: true, since: time.Now()}
	if body, sequence := plane.Store.Get(keyConfiguration); body != nil {
		table, err := routing.Parse(body)
		if err != nil {
			return nil, fmt.Errorf("configuration in the control state: %w", err)
		}
		if next.changes, err = loadChangeHistory(table.Revision, body, plane.Store.Get); err != nil {
			return nil, fmt.Errorf("change records in the control state: %w", err)
		}
		next.configuration = &tierv1.Configuration{Version: sequence, Body: body}
		next.compressedConfiguration = compressConfiguration(next.configuration)
	}
	if body, sequence := plane.Store.Get(keyPartitionMap); body != nil {
		next.partitionMap = &tierv1.PartitionMap{}
		if err := proto.Unmarshal(body, next.partitionMap); err != nil {
			return nil, fmt.Errorf("partition map in the control state: %w", err)
		}
		next.partitionMap.Version = sequence
	}
	return next, nil
}

// publishEpoch publishes the state that was read at the start of an epoch. State that is not replicated is kept if this process
// is ready again in the same epoch, and reset in another epoch.
func (plane *ControlPlane) publishEpoch(next *publishedState) {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	if before := plane.published; before.epoch == next.epoch {
		next.endpoints, next.compressedEndpoints = before.endpoints, before.compressedEndpoints
		next.members, next.ejections = before.members, before.ejections
	} else {
		plane.versions.endpoints, plane.versions.members, plane.versions.ejections = 0, 0, 0
		plane.ejections, plane.unpublishedEjections = newEjections(plane.Settings.ContactWindow), nil
		plane.stopEndpointPushTimer()
		plane.endpointList = newEndpointList(plane.Settings.DrainTimeout/pushIntervalDivisor, plane.Settings.DrainTimeout/quickScanDivisor)
		plane.riskTimer = riskTimer{}
	}
	plane.replacePublished(func(state *publishedState) { *state = *next })
	plane.Log.Info().Str("event", "primary").Uint64("epoch", next.epoch).Int64("revision", next.changes.current).
		Int("orders", len(next.changes.records)).Msg("serving as the primary of the epoch")
}

// stepDown stops serving the published state: this process is not the primary, or has lost contact with its backups.
func (plane *ControlPlane) stepDown() {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	if plane.published.ready {
		plane.replacePublished(func(state *publishedState) { state.ready = false })
		plane.Log.Info().Str("event", "stood_down").Uint64("epoch", plane.published.epoch).
			Msg("stopped serving: not the primary, or no contact with the backups")
	}
}
