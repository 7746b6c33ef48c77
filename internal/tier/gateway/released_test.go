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

// slowTurnStore settles when it is let.
type slowTurnStore struct {
	tierv1.TurnStore
	asked, let chan struct{}
}

func (v slowTurnStore) Settle(ctx context.Context, _ *tierv1.SettleRequest) (*tierv1.SettleReply, error) {
	close(v.asked)
	select {
	case <-v.let:
		return &tierv1.SettleReply{Verdict: tierv1.Verdict_OK}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// A try that finds the budget spent waits for a reservation of its program that is being given up, and only for that.
func TestReleasedWaitsForTheReservation(t *testing.T) {
	v := slowTurnStore{asked: make(chan struct{}), let: make(chan struct{})}
	k := New(Config{Settings: settings.Settings{ContactWindow: time.Minute, MemoryMB: 64}, Log: &log.Logger{Level: log.PanicLevel},
		TurnStore: func(string) tierv1.TurnStore { return v }})
	k.stores.apply(&tierv1.PartitionMap{Version: 1, StoreNodes: []*tierv1.StoreNode{{Folder: "f", Address: "a"}},
		Partitions: []*tierv1.Partition{{Epoch: 1, Primary: "f"}}})
	ctx := context.Background()
	assert.Assert(t, !released(ctx, k.pending("p")))
	over := (&clientRequest{gateway: k, attempt: "t"}).releaseLater("p", 0)
	<-v.asked
	assert.Assert(t, !released(ctx, k.pending("another")))
	ended, cancel := context.WithCancel(ctx)
	cancel()
	assert.Assert(t, !released(ended, k.pending("p"))) // it is not settled yet
	before := k.pending("p")
	waited := make(chan bool)
	go func() { waited <- released(ctx, before) }()
	select {
	case <-waited:
		t.Fatal("it did not wait")
	default:
	}
	close(v.let)
	<-over
	assert.Assert(t, <-waited)
	assert.Assert(t, !released(ctx, k.pending("p")))
	assert.Equal(t, len(k.releasing), 0)
}

// The time that a turn store gives a release after a takeover covers a call of a gateway and the pause after it, whatever the
// contact window is.
func TestAReleaseComesThroughInItsTime(t *testing.T) {
	for _, contactWindow := range []time.Duration{time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, time.Minute} {
		client := newStoreClient(settings.Settings{ContactWindow: contactWindow}, nil, nil)
		takes := client.try + client.wait
		assert.Assert(t, takes <= turnstore.ReleaseGracePeriod(contactWindow), "contact window %v", contactWindow)
		if contactWindow >= 4*time.Second { // no more than that: a 402 that is right waits for it
			assert.Equal(t, takes, turnstore.ReleaseGracePeriod(contactWindow))
		}
	}
	assert.Equal(t, turnstore.ReleaseGracePeriod(4*time.Second), turnstore.DefaultReleaseGracePeriod)
}

// refusingTurnStore takes no settlement until it is let, and then tells what it took.
type refusingTurnStore struct {
	tierv1.TurnStore
	lets  *atomic.Bool
	taken chan *tierv1.SettleRequest
	begin func() (*tierv1.BeginReply, error)
}

func (v refusingTurnStore) Settle(_ context.Context, req *tierv1.SettleRequest) (*tierv1.SettleReply, error) {
	if !v.lets.Load() {
		return nil, errors.New("no answer")
	}
	v.taken <- req
	return &tierv1.SettleReply{Verdict: tierv1.Verdict_OK}, nil
}

func (v refusingTurnStore) Begin(context.Context, *tierv1.BeginRequest) (*tierv1.BeginReply, error) {
	return v.begin()
}

// gatewayOf is a gateway whose only turn store is the one given.
func gatewayOf(contactWindow time.Duration, turnStore tierv1.TurnStore) *Gateway {
	k := New(Config{Settings: settings.Settings{ContactWindow: contactWindow, MemoryMB: 64}, Log: &log.Logger{Level: log.PanicLevel},
		TurnStore: func(string) tierv1.TurnStore { return turnStore }})
	k.stores.apply(&tierv1.PartitionMap{Version: 1, StoreNodes: []*tierv1.StoreNode{{Folder: "f", Address: "a"}},
		Partitions: []*tierv1.Partition{{Epoch: 1, Primary: "f"}}})
	return k
}

// A release that no turn store takes in its usual time goes on: else its reservation would leave no room in the budget for as
// long as the program is known. Meanwhile a spent budget is not sure.
func TestAReleaseGoesOnBeyondItsUsualTime(t *testing.T) {
	v := refusingTurnStore{lets: &atomic.Bool{}, taken: make(chan *tierv1.SettleRequest, 1)}
	k := gatewayOf(20*time.Millisecond, v)
	t.Cleanup(k.end)
	over := (&clientRequest{gateway: k, attempt: "t"}).releaseLater("p", 7)
	tiertest.Until(t, "its usual time is over", func() bool { return len(k.lateReleases) > 0 || len(k.pending("p")) == 0 })
	assert.Equal(t, len(k.pending("p")), 1, "it was given up")
	v.lets.Store(true)
	tiertest.Closed(t, "it is settled", over)
	got := tiertest.Closed(t, "what is settled", v.taken)
	assert.Assert(t, got.Attempt == "t" && got.Tokens == 7 && !got.Kept)
	assert.Equal(t, len(k.pending("p")), 0)
}

// Releases beyond their usual time are bounded, and end with the gateway.
func TestLateReleasesAreBounded(t *testing.T) {
	v := refusingTurnStore{lets: &atomic.Bool{}}
	k := gatewayOf(time.Millisecond, v)
	var list []<-chan struct{}
	for range maxLateReleases + 10 {
		list = append(list, (&clientRequest{gateway: k, attempt: "t"}).releaseLater("p", 0))
	}
	tiertest.Until(t, "the usual time of all is over", func() bool { return len(k.pending("p")) == maxLateReleases })
	assert.Equal(t, len(k.lateReleases), maxLateReleases)
	k.end()
	for _, over := range list {
		tiertest.Closed(t, "it ends with the gateway", over)
	}
	assert.Equal(t, len(k.releasing), 0)
}

// Where a call for a turn had no clear answer, it may have reserved, whatever the next answer says: that is released.
func TestATurnThatIsRefusedAfterAnUnclearAnswerIsReleased(t *testing.T) {
	for _, verdict := range []tierv1.Verdict{tierv1.Verdict_SPENT, tierv1.Verdict_UNKNOWN} {
		for name, unclear := range map[string]error{"no answer": errors.New("no answer"), "busy": nil} {
			t.Run(fmt.Sprint(verdict, " after ", name), func(t *testing.T) {
				v := refusingTurnStore{lets: &atomic.Bool{}, taken: make(chan *tierv1.SettleRequest, 1)}
				v.lets.Store(true)
				calls := 0
				v.begin = func() (*tierv1.BeginReply, error) {
					if calls++; calls == 1 {
						return &tierv1.BeginReply{Verdict: tierv1.Verdict_BUSY}, unclear
					}
					return &tierv1.BeginReply{Verdict: verdict}, nil
				}
				k := gatewayOf(10*time.Second, v)
				request := &clientRequest{gateway: k, attempt: "t", x: &ingress.Exchange{}}
				begun := k.stores.beginAt(t.Context(), &tierv1.BeginRequest{Program: "p", Attempt: "t"})
				assert.Equal(t, begun.verdict, verdict)
				request.refuseTurn("p", begun)
				assert.Equal(t, tiertest.Closed(t, "it is released", v.taken).Attempt, "t")
			})
		}
	}
}

// A clear refusal has reserved nothing, and nothing is released.
func TestATurnThatIsClearlyRefusedIsNotReleased(t *testing.T) {
	for _, verdict := range []tierv1.Verdict{tierv1.Verdict_SPENT, tierv1.Verdict_UNKNOWN} {
		v := refusingTurnStore{begin: func() (*tierv1.BeginReply, error) { return &tierv1.BeginReply{Verdict: verdict}, nil }}
		k := gatewayOf(10*time.Second, v)
		begun := k.stores.beginAt(t.Context(), &tierv1.BeginRequest{Program: "p", Attempt: "t"})
		assert.Assert(t, begun.verdict == verdict && !begun.open)
		(&clientRequest{gateway: k, attempt: "t", x: &ingress.Exchange{}}).refuseTurn("p", begun)
		assert.Equal(t, len(k.pending("p")), 0)
	}
}
