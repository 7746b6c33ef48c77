package gateway

import (
	"context"
	"sync"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// reachability tells for how long no turn store has answered. Its methods may be called from any goroutine.
type reachability struct {
	mu           sync.Mutex
	failingSince time.Time // of the first call without an answer after the last answer; zero: the last call was answered
}

// record takes in how a call to a turn store ended.
func (c *reachability) record(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.failingSince = time.Time{}
	case c.failingSince.IsZero():
		c.failingSince = time.Now()
	}
}

// unansweredFor is how long ago the first call failed since one was answered last; 0 where none has failed since.
func (c *reachability) unansweredFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failingSince.IsZero() {
		return 0
	}
	return time.Since(c.failingSince)
}

// track gives a dial function whose turn stores' calls are observed.
func (c *reachability) track(dial func(address string) tierv1.TurnStore) func(address string) tierv1.TurnStore {
	return func(address string) tierv1.TurnStore { return trackedTurnStore{dial(address), c} }
}

// trackedTurnStore is a turn store whose answers are observed by the calls that a gateway makes.
type trackedTurnStore struct {
	tierv1.TurnStore
	reachability *reachability
}

func (s trackedTurnStore) Begin(ctx context.Context, req *tierv1.BeginRequest) (*tierv1.BeginReply, error) {
	reply, err := s.TurnStore.Begin(ctx, req)
	s.reachability.record(err)
	return reply, err
}

func (s trackedTurnStore) Settle(ctx context.Context, req *tierv1.SettleRequest) (*tierv1.SettleReply, error) {
	reply, err := s.TurnStore.Settle(ctx, req)
	s.reachability.record(err)
	return reply, err
}

func (s trackedTurnStore) Find(ctx context.Context, req *tierv1.FindRequest) (*tierv1.FindReply, error) {
	reply, err := s.TurnStore.Find(ctx, req)
	s.reachability.record(err)
	return reply, err
}

// isolated tells whether neither the control plane nor any turn store has answered for the contact window, though both were
// asked. No turn can be served then, and the platform does better to send clients to other gateways. Each of the two alone is
// no reason: without the control plane turns are served, and a turn store that falls silent is replaced.
func (gateway *Gateway) isolated() bool {
	stands, sinceReply := gateway.session.Active()
	if stands {
		return false
	}
	return isolatedAfter(gateway.config.Settings.ContactWindow, sinceReply, gateway.storeClient.reachability.unansweredFor())
}

// isolatedAfter decides for a gateway whose session does not stand, by the times without the control plane and without turn stores.
func isolatedAfter(window, withoutControlPlane, withoutTurnStores time.Duration) bool {
	return min(withoutControlPlane, withoutTurnStores) > window
}
