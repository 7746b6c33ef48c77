package controlplane

import (
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// beginScan starts a reading of the platform's list, if the epoch goes on.
func (plane *ControlPlane) beginScan(epoch uint64) {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	if plane.view.epoch == epoch {
		plane.endpointList.beginScan(time.Now())
	}
}

// addPage takes a page of a reading that was begun in an epoch, and publishes what it tells, at once or as soon as the last
// push is long enough ago. What a reading of an older epoch tells is dropped.
func (plane *ControlPlane) addPage(epoch uint64, page []*tierv1.Endpoint, last bool) {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	if plane.view.epoch != epoch {
		return
	}
	now := time.Now()
	plane.endpointList.addPage(now, page)
	if last {
		plane.endpointList.endScan(now)
		plane.publishEndpoints(now)
		return
	}
	delay, pending := plane.endpointList.pushDelay(now)
	switch {
	case !pending:
	case delay == 0:
		plane.publishEndpoints(now)
	case plane.endpointPushTimer == nil:
		plane.endpointPushTimer = time.AfterFunc(delay, func() { plane.publishPending(epoch) })
	}
}

// publishPending publishes what has been read in an epoch and not been published.
func (plane *ControlPlane) publishPending(epoch uint64) {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	now := time.Now()
	if _, pending := plane.endpointList.pushDelay(now); pending && plane.view.epoch == epoch {
		plane.publishEndpoints(now)
	}
}

// publishEndpoints shows the list as it is known now. One that has only grown warmer keeps its version: nobody has to hear
// of it, but who comes next gets the newer figures. The caller holds mu.
func (plane *ControlPlane) publishEndpoints(now time.Time) {
	plane.stopEndpointPushTimer()
	if _, pending := plane.endpointList.pushDelay(now); !pending {
		next := *plane.view
		next.setEndpoints(&tierv1.Endpoints{Version: next.endpoints.Version, List: plane.endpointList.list(now)})
		plane.view = &next
		return
	}
	list := plane.endpointList.push(now)
	plane.replaceView(func(v *view) {
		v.setEndpoints(&tierv1.Endpoints{Version: nextVersion(v.epoch, &plane.versions.endpoints), List: list})
	})
}

// stopEndpointPushTimer ends the wait for a later push, if there is one. The caller holds mu.
func (plane *ControlPlane) stopEndpointPushTimer() {
	if plane.endpointPushTimer != nil {
		plane.endpointPushTimer.Stop()
		plane.endpointPushTimer = nil
	}
}
