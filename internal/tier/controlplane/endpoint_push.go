package controlplane

import (
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// beginScan begins a scan of the platform's list, if epoch is still the published one.
func (plane *ControlPlane) beginScan(epoch uint64) {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	if plane.published.epoch == epoch {
		plane.endpointList.beginScan(time.Now())
	}
}

// addPage adds a page of a scan that was begun in an epoch, and publishes its changes, at once or when the minimum interval
// since the last push has passed. A page of a scan of an earlier epoch is dropped.
func (plane *ControlPlane) addPage(epoch uint64, page []*tierv1.Endpoint, last bool) {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	if plane.published.epoch != epoch {
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

// publishPending publishes the changes that were read in an epoch and are not published yet.
func (plane *ControlPlane) publishPending(epoch uint64) {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	now := time.Now()
	if _, pending := plane.endpointList.pushDelay(now); pending && plane.published.epoch == epoch {
		plane.publishEndpoints(now)
	}
}

// publishEndpoints publishes the current list. If only remaining slow starts have decreased, the list keeps its version: it is
// not pushed to existing sessions, but new sessions get the newer values. The caller holds mu.
func (plane *ControlPlane) publishEndpoints(now time.Time) {
	plane.stopEndpointPushTimer()
	if _, pending := plane.endpointList.pushDelay(now); !pending {
		next := *plane.published
		next.setEndpoints(&tierv1.Endpoints{Version: next.endpoints.Version, List: plane.endpointList.list(now)})
		plane.published = &next
		return
	}
	list := plane.endpointList.push(now)
	plane.replacePublished(func(state *publishedState) {
		state.setEndpoints(&tierv1.Endpoints{Version: nextVersion(state.epoch, &plane.versions.endpoints), List: list})
	})
}

// stopEndpointPushTimer cancels a scheduled push, if there is one. The caller holds mu.
func (plane *ControlPlane) stopEndpointPushTimer() {
	if plane.endpointPushTimer != nil {
		plane.endpointPushTimer.Stop()
		plane.endpointPushTimer = nil
	}
}
