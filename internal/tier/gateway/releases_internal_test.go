package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/ingress"
	"saffronyard.example/saffronyard/internal/tier/settings"
	"saffronyard.example/saffronyard/internal/tier/tiertest"
	"saffronyard.example/saffronyard/internal/tier/turnstore"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// slowTurnStore settles when proceed is closed.
type slowTurnStore struct {
	tierv1.TurnStore
	called, proceed chan struct{}
}

func (store slowTurnStore) Settle(ctx context.Context, _ *tierv1.SettleRequest) (*tierv1.SettleReply, error) {
	close(store.called)
	select {
	case <-store.proceed:
		return &tierv1.SettleReply{Verdict: tierv1.Verdict_OK}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// An attempt that finds the budget spent waits for the pending releases of its program, and only for these.
func TestAwaitReleases(t *testing.T) {
	store := slowTurnStore{called: make(chan struct{}), proceed: make(chan struct{})}
	gateway := New(Config{Settings: settings.Settings{ContactWindow: time.Minute, MemoryMB: 64}, Log: &log.Logger{Level: log.PanicLevel},
		TurnStore: func(string) tierv1.TurnStore { return store }})
	gateway.storeClient.apply(&tierv1.PartitionMap{Version: 1, StoreNodes: []*tierv1.StoreNode{{Folder: "f", Address: "a"}},
		Partitions: []*tierv1.Partition{{Epoch: 1, Primary: "f"}}})
	ctx := context.Background()
	assert.Assert(t, !awaitReleases(ctx, gateway.releasesOf("p")))
	done := (&clientRequest{gateway: gateway, attemptID: "t"}).releaseInBackground("p", 0)
	<-store.called
	assert.Assert(t, !awaitReleases(ctx, gateway.releasesOf("another")))
	ended, cancel := context.WithCancel(ctx)
	cancel()
	assert.Assert(t, !awaitReleases(ended, gateway.releasesOf("p"))) // the release is still pending
	pending := gateway.releasesOf("p")
	waited := make(chan bool)
	go func() { waited <- awaitReleases(ctx, pending) }()
	select {
	case <-waited:
		t.Fatal("awaitReleases did not wait")
	default:
	}
	close(store.proceed)
	<-done
	assert.Assert(t, <-waited)
	assert.Assert(t, !awaitReleases(ctx, gateway.releasesOf("p")))
	assert.Equal(t, len(gateway.pendingReleases), 0)
}

// The time that a turn store allows for a release after a failover covers a call of a gateway and the backoff after it, for any contact
// window.
func TestRelease_ArrivesWithinGracePeriod(t *testing.T) {
	for _, contactWindow := range []time.Duration{time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, time.Minute} {
		client := newStoreClient(settings.Settings{ContactWindow: contactWindow}, nil)
		takes := client.callTimeout + client.maxBackoff
		assert.Assert(t, takes <= turnstore.ReleaseGracePeriod(contactWindow), "contact window %v", contactWindow)
		if contactWindow >= 4*time.Second { // the grace period must not be longer, as it delays a correct 402
			assert.Equal(t, takes, turnstore.ReleaseGracePeriod(contactWindow))
		}
	}
	assert.Equal(t, turnstore.ReleaseGracePeriod(4*time.Second), turnstore.DefaultReleaseGracePeriod)
}

// unclearTurnStore fails settlements until accepting is set, and then accepts them and sends them to taken.
type unclearTurnStore struct {
	tierv1.TurnStore
	accepting *atomic.Bool
	taken     chan *tierv1.SettleRequest
	begin     func() (*tierv1.BeginReply, error)
}

func (store unclearTurnStore) Settle(_ context.Context, req *tierv1.SettleRequest) (*tierv1.SettleReply, error) {
	if !store.accepting.Load() {
		return nil, errors.New("no answer")
	}
	store.taken <- req
	return &tierv1.SettleReply{Verdict: tierv1.Verdict_OK}, nil
}

func (store unclearTurnStore) Begin(context.Context, *tierv1.BeginRequest) (*tierv1.BeginReply, error) {
	return store.begin()
}

// newGatewayWith returns a gateway whose only turn store is the given one.
func newGatewayWith(contactWindow time.Duration, turnStore tierv1.TurnStore) *Gateway {
	gateway := New(Config{Settings: settings.Settings{ContactWindow: contactWindow, MemoryMB: 64}, Log: &log.Logger{Level: log.PanicLevel},
		TurnStore: func(string) tierv1.TurnStore { return turnStore }})
	gateway.storeClient.apply(&tierv1.PartitionMap{Version: 1, StoreNodes: []*tierv1.StoreNode{{Folder: "f", Address: "a"}},
		Partitions: []*tierv1.Partition{{Epoch: 1, Primary: "f"}}})
	return gateway
}

// A release that no turn store confirms within settleWithRetries continues late: otherwise its reservation would be charged for as long
// as the turn store keeps the program. Meanwhile it stays pending, so that a spent budget is not final.
func TestRelease_ContinuesLate(t *testing.T) {
	store := unclearTurnStore{accepting: &atomic.Bool{}, taken: make(chan *tierv1.SettleRequest, 1)}
	gateway := newGatewayWith(20*time.Millisecond, store)
	t.Cleanup(gateway.cancelRun)
	done := (&clientRequest{gateway: gateway, attemptID: "t"}).releaseInBackground("p", 7)
	tiertest.WaitUntil(t, "settleWithRetries is over", func() bool { return len(gateway.lateReleaseSlots) > 0 || len(gateway.releasesOf("p")) == 0 })
	assert.Equal(t, len(gateway.releasesOf("p")), 1, "the release was given up")
	store.accepting.Store(true)
	tiertest.WaitFor(t, "the release is settled", done)
	got := tiertest.WaitFor(t, "the settlement", store.taken)
	assert.Assert(t, got.Attempt == "t" && got.Tokens == 7 && !got.Stored)
	assert.Equal(t, len(gateway.releasesOf("p")), 0)
}

// The number of late releases is bounded, and they end with the gateway.
func TestRelease_LateOnesAreBounded(t *testing.T) {
	store := unclearTurnStore{accepting: &atomic.Bool{}}
	gateway := newGatewayWith(time.Millisecond, store)
	var list []<-chan struct{}
	for range maxLateReleases + 10 {
		list = append(list, (&clientRequest{gateway: gateway, attemptID: "t"}).releaseInBackground("p", 0))
	}
	tiertest.WaitUntil(t, "settleWithRetries is over for all", func() bool { return len(gateway.releasesOf("p")) == maxLateReleases })
	assert.Equal(t, len(gateway.lateReleaseSlots), maxLateReleases)
	gateway.cancelRun()
	for _, done := range list {
		tiertest.WaitFor(t, "the release ends with the gateway", done)
	}
	assert.Equal(t, len(gateway.pendingReleases), 0)
}

// If a Begin call had no definite reply, it may have made a reservation, whatever the next reply says. The reservation is released.
func TestRelease_AfterRejectionWithUnclearAnswer(t *testing.T) {
	for _, verdict := range []tierv1.Verdict{tierv1.Verdict_SPENT, tierv1.Verdict_UNKNOWN} {
		for name, unclear := range map[string]error{"no answer": errors.New("no answer"), "busy": nil} {
			t.Run(fmt.Sprint(verdict, " after ", name), func(t *testing.T) {
				store := unclearTurnStore{accepting: &atomic.Bool{}, taken: make(chan *tierv1.SettleRequest, 1)}
				store.accepting.Store(true)
				calls := 0
				store.begin = func() (*tierv1.BeginReply, error) {
					if calls++; calls == 1 {
						return &tierv1.BeginReply{Verdict: tierv1.Verdict_BUSY}, unclear
					}
					return &tierv1.BeginReply{Verdict: verdict}, nil
				}
				gateway := newGatewayWith(10*time.Second, store)
				request := &clientRequest{gateway: gateway, attemptID: "t", exchange: &ingress.Exchange{}}
				begun := gateway.storeClient.beginAt(t.Context(), &tierv1.BeginRequest{Program: "p", Attempt: "t"})
				assert.Equal(t, begun.verdict, verdict)
				request.rejectTurn("p", begun)
				assert.Equal(t, tiertest.WaitFor(t, "the reservation is released", store.taken).Attempt, "t")
			})
		}
	}
}

// After a definite rejection there is no reservation, and nothing is released.
func TestRelease_NoneAfterClearRejection(t *testing.T) {
	for _, verdict := range []tierv1.Verdict{tierv1.Verdict_SPENT, tierv1.Verdict_UNKNOWN} {
		store := unclearTurnStore{begin: func() (*tierv1.BeginReply, error) { return &tierv1.BeginReply{Verdict: verdict}, nil }}
		gateway := newGatewayWith(10*time.Second, store)
		begun := gateway.storeClient.beginAt(t.Context(), &tierv1.BeginRequest{Program: "p", Attempt: "t"})
		assert.Assert(t, begun.verdict == verdict && !begun.maybeReserved)
		(&clientRequest{gateway: gateway, attemptID: "t", exchange: &ingress.Exchange{}}).rejectTurn("p", begun)
		assert.Equal(t, len(gateway.releasesOf("p")), 0)
	}
}
