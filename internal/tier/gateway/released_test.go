package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"dockshift.example/dockshift/internal/tier/settings"
	"dockshift.example/dockshift/internal/tier/turnstore"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// slowVault settles when it is let.
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
		assert.Assert(t, takes <= turnstore.ReleaseTime(contactWindow), "contact window %v", contactWindow)
		if contactWindow >= 4*time.Second { // no more than that: a 402 that is right waits for it
			assert.Equal(t, takes, turnstore.ReleaseTime(contactWindow))
		}
	}
	assert.Equal(t, turnstore.ReleaseTime(4*time.Second), turnstore.DefaultReleaseTime)
}
