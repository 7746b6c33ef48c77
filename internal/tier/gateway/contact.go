package gateway

import (
	"context"
	"sync"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// contact tells for how long no turn store has answered. Its methods may be called from any goroutine.
type contact struct {
	mu          sync.Mutex
	silentSince time.Time // of the first call without an answer after the last answer; zero: the last call was answered
}

// observe takes in how a call to a turn store ended.
func (c *contact) observe(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.silentSince = time.Time{}
	case c.silentSince.IsZero():
		c.silentSince = time.Now()
	}
}

// silence is how long ago the first call failed since one was answered last; 0 where none has failed since.
func (c *contact) silence() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silentSince.IsZero() {
		return 0
	}
	return time.Since(c.silentSince)
}

// observed gives a dial function whose turn stores' calls are observed.
func (c *contact) observed(dial func(address string) tierv1.TurnStore) func(address string) tierv1.TurnStore {
	return func(address string) tierv1.TurnStore { return observedTurnStore{dial(address), c} }
}

// observedTurnStore is a turn store whose answers are observed by the calls that a gateway makes.
type observedTurnStore struct {
	tierv1.TurnStore
	contact *contact
}

func (s observedTurnStore) Begin(ctx context.Context, req *tierv1.BeginRequest) (*tierv1.BeginReply, error) {
	reply, err := s.TurnStore.Begin(ctx, req)
	s.contact.observe(err)
	return reply, err
}

func (s observedTurnStore) Settle(ctx context.Context, req *tierv1.SettleRequest) (*tierv1.SettleReply, error) {
	reply, err := s.TurnStore.Settle(ctx, req)
	s.contact.observe(err)
	return reply, err
}

func (s observedTurnStore) Find(ctx context.Context, req *tierv1.FindRequest) (*tierv1.FindReply, error) {
	reply, err := s.TurnStore.Find(ctx, req)
	s.contact.observe(err)
	return reply, err
}

// cutOff tells whether neither the control plane nor any turn store has answered for the contact window, though both were
// asked. No turn can be served then, and the platform does better to send clients to other gateways. Each of the two alone is
// no reason: without the control plane turns are served, and a turn store that falls silent is replaced.
func (gateway *Gateway) cutOff() bool {
	stands, sinceReply := gateway.session.Stands()
	if stands {
		return false
	}
	return cutOffAfter(gateway.config.Settings.ContactWindow, sinceReply, gateway.stores.contact.silence())
}

// cutOffAfter decides for a gateway whose session does not stand, by the times without the control plane and without turn stores.
func cutOffAfter(window, withoutControlPlane, withoutTurnStores time.Duration) bool {
	return min(withoutControlPlane, withoutTurnStores) > window
}
