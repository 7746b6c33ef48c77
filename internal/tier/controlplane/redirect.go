package controlplane

import (
	"context"
	"math"
	"net"
	"net/http"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// primaryMissing is the time span in which operators could not be redirected to a primary.
type primaryMissing struct {
	first time.Time // when a primary was last found, or the first search of the span
	last  time.Time // when a primary was last searched for
}

// redirectToPrimary redirects the caller to the primary. During a takeover no primary is known for a while: the call is held
// until there is one, for at most redirectTimeout, because a rejected caller backs off longer with each attempt. A process that
// has found no primary for longer than a takeover takes is partitioned, and rejects callers at once.
func (plane *ControlPlane) redirectToPrimary(r *http.Request) response {
	ctx, cancel := context.WithTimeout(r.Context(), redirectTimeout)
	defer cancel()
	again := time.NewTicker(plane.windowFraction(primaryProbeDivisor))
	defer again.Stop()
	for {
		changed := plane.Store.Changed()
		if address, ok := plane.findPrimary(ctx); ok {
			redirect := errorResponse(http.StatusTemporaryRedirect, "the primary is another process")
			redirect.location = "http://" + address + r.URL.RequestURI()
			return redirect
		}
		if !plane.withinTakeover(time.Now()) {
			return unavailableResponse("no primary is known")
		}
		select {
		case <-changed:
		case <-again.C:
		case <-ctx.Done():
			return unavailableResponse("no primary is known")
		}
	}
}

// findPrimary returns the operators' address of the primary, and whether a primary was found. The primary may be this process
// by now.
func (plane *ControlPlane) findPrimary(ctx context.Context) (address string, ok bool) {
	hint := plane.Store.PrimaryHint()
	host, _, hintErr := net.SplitHostPort(hint)
	_, port, controlErr := net.SplitHostPort(plane.Settings.Control)
	switch {
	case hintErr != nil || controlErr != nil || host == "":
	case host == plane.Settings.IP:
		_, ok = plane.primary()
	default:
		ok = plane.probePrimary(ctx, hint)
	}
	plane.mu.Lock()
	defer plane.mu.Unlock()
	now := time.Now()
	if ok || now.Sub(plane.primaryMissing.last) > plane.Settings.ContactWindow { // a new span begins
		plane.primaryMissing.first = now
	}
	plane.primaryMissing.last = now
	return net.JoinHostPort(host, port), ok
}

// withinTakeover reports whether the primary has been missing for no longer than a takeover may take.
func (plane *ControlPlane) withinTakeover(now time.Time) bool {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	return now.Sub(plane.primaryMissing.first) < plane.windowFraction(takeoverDivisor)
}

// probePrimary asks the process at an internal address whether it is the primary and in contact with its backups.
func (plane *ControlPlane) probePrimary(ctx context.Context, address string) bool {
	if plane.Dial == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, primaryProbeTimeout)
	defer cancel()
	reply, err := plane.Dial(address).Watch(ctx, probeRequest())
	return err == nil && reply.IsPrimary
}

// probeRequest returns a request of Watch that only checks whether the callee is the primary: it claims the highest version of
// everything, so that the reply carries no state.
func probeRequest() *tierv1.WatchRequest {
	return &tierv1.WatchRequest{ConfigurationVersion: math.MaxUint64, EndpointsVersion: math.MaxUint64,
		PartitionMapVersion: math.MaxUint64, MembersVersion: math.MaxUint64}
}
