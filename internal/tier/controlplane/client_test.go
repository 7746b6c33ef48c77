package controlplane

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/client"
)

// serveClients runs a control plane on loopback, in real time, and returns its address.
func serveClients(t *testing.T) string {
	t.Helper()
	plane := New(Config{Settings: testSettings(), Store: newMemoryStore()})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { plane.Run(ctx) })
	server := httptest.NewServer(plane.Operators())
	t.Cleanup(func() {
		server.Close()
		cancel()
		running.Wait()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// The client package and the control plane agree on the wire format.
func TestClient_AgainstControlPlane(t *testing.T) {
	c, err := client.New(client.Config{Addresses: []string{serveClients(t)}})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()

	lock, err := c.Acquire(ctx, "l", "a", 10*time.Second)
	assert.NilError(t, err)
	_, err = c.Acquire(ctx, "l", "b", 10*time.Second)
	assert.ErrorIs(t, err, client.ErrLocked)
	assert.NilError(t, lock.Renew(ctx))
	assert.NilError(t, lock.Release(ctx))
	other, err := c.AcquireWait(ctx, "l", "b", 10*time.Second)
	assert.NilError(t, err)
	assert.Assert(t, other.Fence() > lock.Fence())

	for want := range uint64(3) {
		value, err := c.NextNumber(ctx, "n")
		assert.NilError(t, err)
		assert.Equal(t, value, want+1)
	}

	_, err = c.Get(ctx, "g.k")
	assert.ErrorIs(t, err, client.ErrKeyMissing)
	revision, err := c.PutIf(ctx, "g.k", "1", 0)
	assert.NilError(t, err)
	_, err = c.PutIf(ctx, "g.k", "2", 0)
	var conflict *client.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Revision, revision)
	event, err := c.Get(ctx, "g.k")
	assert.NilError(t, err)
	assert.Equal(t, event, client.Event{Name: "g.k", Value: "1", Revision: revision})

	enough := errors.New("enough")
	var events []client.Event
	watched := make(chan error, 1)
	go func() {
		watched <- c.Watch(ctx, "g.", revision, func(event client.Event) error {
			if events = append(events, event); len(events) == 2 {
				return enough
			}
			return nil
		})
	}()
	second, err := c.Put(ctx, "g.k", "2")
	assert.NilError(t, err)
	third, err := c.Put(ctx, "g.other", "3")
	assert.NilError(t, err)
	assert.ErrorIs(t, <-watched, enough)
	assert.DeepEqual(t, events, []client.Event{{Name: "g.k", Value: "2", Revision: second}, {Name: "g.other", Value: "3", Revision: third}})
}

// Leaders follow one another with rising fences, and never overlap.
func TestClient_Election(t *testing.T) {
	c, err := client.New(client.Config{Addresses: []string{serveClients(t)}})
	assert.NilError(t, err)
	var mu sync.Mutex
	leading, fences := 0, []uint64{}
	var candidates sync.WaitGroup
	for _, owner := range []string{"a", "b", "c"} {
		candidates.Go(func() {
			err := c.Lead(t.Context(), "leader", owner, 2*time.Second, func(_ context.Context, lock *client.Lock) error {
				mu.Lock()
				leading++
				overlap := leading > 1
				fences = append(fences, lock.Fence())
				mu.Unlock()
				<-time.After(20 * time.Millisecond)
				mu.Lock()
				leading--
				mu.Unlock()
				if overlap {
					return errors.New("two leaders")
				}
				return nil
			})
			if err != nil {
				t.Error(err)
			}
		})
	}
	candidates.Wait()
	assert.Equal(t, len(fences), 3)
	assert.Assert(t, fences[0] < fences[1] && fences[1] < fences[2])
}
