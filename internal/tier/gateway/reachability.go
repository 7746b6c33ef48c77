package gateway

import (
	"context"
	"sync"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// reachability records for how long no turn store has answered. It is safe for concurrent use.
type reachability struct {
	mu           sync.Mutex
	failingSince time.Time // time of the first failed call after the last answered one; zero: the last call was answered
}

// record records how a call to a turn store has ended.
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

// unansweredFor returns how long calls have been failing without one being answered; 0: the last call was answered.
func (c *reachability) unansweredFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failingSince.IsZero() {
		return 0
	}
	return time.Since(c.failingSince)
}

// track returns a dial function whose clients record their calls.
func (c *reachability) track(dial func(address string) tierv1.TurnStore) func(address string) tierv1.TurnStore {
	return func(address string) tierv1.TurnStore { return trackedTurnStore{dial(address), c} }
}

// trackedTurnStore is a client that records whether a gateway's calls were answered.
type trackedTurnStore struct {
	tierv1.TurnStore
	reachability *reachability
}

// Begin implements tierv1.TurnStore.
func (s trackedTurnStore) Begin(ctx context.Context, req *tierv1.BeginRequest) (*tierv1.BeginReply, error) {
	reply, err := s.TurnStore.Begin(ctx, req)
	s.reachability.record(err)
	return reply, err
}

// Settle implements tierv1.TurnStore.
func (s trackedTurnStore) Settle(ctx context.Context, req *tierv1.SettleRequest) (*tierv1.SettleReply, error) {
	reply, err := s.TurnStore.Settle(ctx, req)
	s.reachability.record(err)
	return reply, err
}

// Find implements tierv1.TurnStore.
func (s trackedTurnStore) Find(ctx context.Context, req *tierv1.FindRequest) (*tierv1.FindReply, error) {
	reply, err := s.TurnStore.Find(ctx, req)
	s.reachability.record(err)
	return reply, err
}
