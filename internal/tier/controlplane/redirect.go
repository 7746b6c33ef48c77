package controlplane

import (
	"context"
	"net"
	"net/http"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// redirectToPrimary sends the caller to the primary. Around a takeover none is known for a while: the call is held until there is
// one, for up to redirectLimit, as a caller that is turned away takes longer from try to try. A process without a primary
// for longer than a takeover takes is cut off, and turns callers away at once.
func (plane *ControlPlane) redirectToPrimary(r *http.Request) response {
	ctx, cancel := context.WithTimeout(r.Context(), redirectTimeout)
	defer cancel()
	again := time.NewTicker(plane.windowFraction(primaryProbeDivisor))
	defer again.Stop()
	for {
		changed := plane.Store.Changed()
		if address, ok := plane.findPrimary(ctx); ok {
			a := errorResponse(http.StatusTemporaryRedirect, "the primary is another process")
			a.location = "http://" + address + r.URL.RequestURI()
			return a
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

// findPrimary gives the operators' address of the primary, if it is known at this moment. It may be this process by now.
func (plane *ControlPlane) findPrimary(ctx context.Context) (address string, ok bool) {
	hint := plane.Store.PrimaryHint()
	host, _, err := net.SplitHostPort(hint)
	_, port, err2 := net.SplitHostPort(plane.Settings.Control)
	switch {
	case err != nil || err2 != nil || host == "":
	case host == plane.Settings.IP:
		_, ok = plane.primary()
	default:
		ok = plane.probePrimary(ctx, hint)
	}
	plane.mu.Lock()
	defer plane.mu.Unlock()
	now := time.Now()
	if ok || now.Sub(plane.primaryMissing.last) > plane.Settings.ContactWindow { // what was missed before is another story
		plane.primaryMissing.first = now
	}
	plane.primaryMissing.last = now
	return net.JoinHostPort(host, port), ok
}

// withinTakeover tells whether the primary has been missed for no longer than a takeover may take.
func (plane *ControlPlane) withinTakeover(now time.Time) bool {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	return now.Sub(plane.primaryMissing.first) < plane.windowFraction(takeoverDivisor)
}

// probePrimary asks the process at an internal address whether it is the primary and in touch.
func (plane *ControlPlane) probePrimary(ctx context.Context, address string) bool {
	if plane.Dial == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, primaryProbeTimeout)
	defer cancel()
	reply, err := plane.Dial(address).Watch(ctx, probeRequest())
	return err == nil && reply.IsPrimary
}

// probeRequest is of one that only asks who is the primary: it claims to have all that there is, and so is brought nothing.
func probeRequest() *tierv1.WatchRequest {
	const all = 1<<64 - 1
	return &tierv1.WatchRequest{ConfigurationVersion: all, EndpointsVersion: all, PartitionMapVersion: all, MembersVersion: all}
}
