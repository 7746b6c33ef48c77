package controlplane

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/tier/routing"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// writeRetryBackoff is from a failed write of the primary's own to the next.
const writeRetryBackoff = 100 * time.Millisecond

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

// stepDown ends what sessions are shown: this process is not the primary, or out of touch.
func (plane *ControlPlane) stepDown() {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	if plane.view.ready {
		plane.replaceView(func(v *view) { v.ready = false })
		plane.Log.Info().Str("event", "stood_down").Uint64("epoch", plane.view.epoch).Msg("")
	}
}
