package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

const (
	maxReleaseWait     = 200 * time.Millisecond // longest wait of an answer for a release; 250 ms past a route's time-out count as late, 500 ms as a fault
	lateReleaseTimeout = 2 * time.Minute        // by then a turn store has discarded a program that is not used
	maxLateReleases    = 128                    // concurrent late releases
)

// release releases a reservation of the request, charging the given tokens, before the client is answered, so that the budget is
// available to the client's next attempt. If the turn store does not answer soon, the release continues in the background.
func (request *clientRequest) release(program string, tokens uint64) {
	timer := time.NewTimer(min(request.gateway.config.Settings.ContactWindow/12, maxReleaseWait))
	defer timer.Stop()
	select {
	case <-request.releaseInBackground(program, tokens):
	case <-timer.C:
	}
}

// releaseInBackground releases a reservation without waiting. done is closed when it is released or given up.
func (request *clientRequest) releaseInBackground(program string, tokens uint64) (done <-chan struct{}) {
	gateway, released := request.gateway, make(chan struct{})
	settlement := &tierv1.SettleRequest{Program: program, Attempt: request.attemptID, Tokens: tokens, FailedEndpoint: request.failedInstance}
	gateway.registerRelease(program, released)
	gateway.settlements.Add(1)
	go func() {
		defer gateway.endRelease(program, released)
		settled := gateway.settleWithRetries(settlement)
		gateway.settlements.Done()
		if !settled {
			gateway.settleLate(settlement)
		}
	}()
	return released
}

// registerRelease adds a release to the pending ones of its program.
func (gateway *Gateway) registerRelease(program string, released chan struct{}) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if gateway.pendingReleases[program] == nil {
		gateway.pendingReleases[program] = map[chan struct{}]bool{}
	}
	gateway.pendingReleases[program][released] = true
}

// endRelease removes a release from the pending ones and closes its channel.
func (gateway *Gateway) endRelease(program string, released chan struct{}) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	delete(gateway.pendingReleases[program], released)
	if len(gateway.pendingReleases[program]) == 0 {
		delete(gateway.pendingReleases, program)
	}
	close(released)
}

// settleWithRetries settles within twice the contact window, in which a partition fails over even if its map is late. It reports whether
// the settlement is known to be durable.
func (gateway *Gateway) settleWithRetries(settlement *tierv1.SettleRequest) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*gateway.config.Settings.ContactWindow)
	defer cancel()
	return gateway.storeClient.settle(ctx, settlement)
}

// settleLate continues to retry a settlement at a lower rate, because the reservation is charged for as long as the turn store keeps the
// program. It gives up after lateReleaseTimeout, and at once if there are maxLateReleases already.
func (gateway *Gateway) settleLate(settlement *tierv1.SettleRequest) {
	select {
	case gateway.lateReleaseSlots <- struct{}{}:
		defer func() { <-gateway.lateReleaseSlots }()
	default:
		return
	}
	ctx, cancel := context.WithTimeout(gateway.runContext, lateReleaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		changed := gateway.storeClient.route(settlement.Program).changed
		if gateway.storeClient.settleOnce(ctx, settlement) {
			return
		}
		sleepOrMapChange(ctx, gateway.storeClient.callTimeout, changed)
	}
}

// releasesOf returns the pending releases of a program; each channel is closed when its release ends.
func (gateway *Gateway) releasesOf(program string) []chan struct{} {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return slices.Collect(maps.Keys(gateway.pendingReleases[program]))
}

// awaitReleases waits until all given releases have ended. It returns false if there are none, or if ctx ends before.
func awaitReleases(ctx context.Context, pending []chan struct{}) bool {
	for _, released := range pending {
		select {
		case <-released:
		case <-ctx.Done():
			return false
		}
	}
	return len(pending) > 0
}
