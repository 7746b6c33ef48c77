package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

const (
	maxReleaseWait     = 200 * time.Millisecond // that an answer waits for a release: beyond its route's time-out 250 ms cost, 500 ms break a rule
	lateReleaseTimeout = 2 * time.Minute        // a turn store forgets a program by then, if nothing else is heard of it
	maxLateReleases    = 128                    // releases at once that go on beyond their usual time
)

// release ends a reservation before its client hears of it, so that its next try finds the room in its budget: tokens were
// handed out of a turn that is not kept. It waits a little for the turn store, and goes on behind the request.
func (request *clientRequest) release(program string, tokens uint64) {
	timer := time.NewTimer(min(request.gateway.config.Settings.ContactWindow/12, maxReleaseWait))
	defer timer.Stop()
	select {
	case <-request.releaseInBackground(program, tokens):
	case <-timer.C:
	}
}

// releaseInBackground releases a reservation behind the request: done is closed when it is settled, or when it is given up.
func (request *clientRequest) releaseInBackground(program string, tokens uint64) (done <-chan struct{}) {
	gateway, over := request.gateway, make(chan struct{})
	settlement := &tierv1.SettleRequest{Program: program, Attempt: request.attemptID, Tokens: tokens, FailedAt: request.failedInstance}
	gateway.registerRelease(program, over)
	gateway.settlements.Add(1)
	go func() {
		defer gateway.endRelease(program, over)
		settled := gateway.settleWithRetries(settlement)
		gateway.settlements.Done()
		if !settled {
			gateway.settleLate(settlement)
		}
	}()
	return over
}

// registerRelease notes that a reservation of a program is being released here.
func (gateway *Gateway) registerRelease(program string, over chan struct{}) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if gateway.pendingReleases[program] == nil {
		gateway.pendingReleases[program] = map[chan struct{}]bool{}
	}
	gateway.pendingReleases[program][over] = true
}

// endRelease tells those who wait that a release is over.
func (gateway *Gateway) endRelease(program string, over chan struct{}) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	delete(gateway.pendingReleases[program], over)
	if len(gateway.pendingReleases[program]) == 0 {
		delete(gateway.pendingReleases, program)
	}
	close(over)
}

// settleWithRetries tries for twice the contact window, within which a lost turn store is replaced.
func (gateway *Gateway) settleWithRetries(settlement *tierv1.SettleRequest) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*gateway.config.Settings.ContactWindow)
	defer cancel()
	return gateway.storeClient.settle(ctx, settlement)
}

// settleLate goes on at a slower pace, as the reservation takes room in the budget for as long as its program is known. It
// gives up where too many do so already.
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
		_, _, changed := gateway.storeClient.primary(settlement.Program)
		if gateway.storeClient.settleOnce(ctx, settlement) {
			return
		}
		sleepOrMapChange(ctx, gateway.storeClient.callTimeout, changed)
	}
}

// releasesOf are the reservations of a program that are being released here; each is closed when it is settled.
func (gateway *Gateway) releasesOf(program string) []chan struct{} {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return slices.Collect(maps.Keys(gateway.pendingReleases[program]))
}

// awaitReleases waits until all are settled, and reports whether there was one and it is: the room that they held is free then.
func awaitReleases(ctx context.Context, pending []chan struct{}) bool {
	for _, over := range pending {
		select {
		case <-over:
		case <-ctx.Done():
			return false
		}
	}
	return len(pending) > 0
}
