package coordination

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/consensus"
)

// scriptedStore is a store whose outcomes are set by the test.
type scriptedStore struct {
	mu       sync.Mutex
	records  map[string][]byte
	putErr   error         // of the next Put, which then stores nothing
	delay    time.Duration // of each Put and Confirm
	confirms int
}

func (s *scriptedStore) Put(_ context.Context, _ uint64, sets map[string][]byte) (uint64, error) {
	s.mu.Lock()
	delay, err := s.delay, s.putErr
	s.putErr = nil
	s.mu.Unlock()
	time.Sleep(delay)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, value := range sets {
		if len(value) == 0 {
			delete(s.records, key)
		} else {
			s.records[key] = value
		}
	}
	return 1, nil
}

func (s *scriptedStore) Confirm(context.Context, uint64) error {
	s.mu.Lock()
	s.confirms++
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	return nil
}

func (s *scriptedStore) Scan(string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string][]byte{}
	for key, value := range s.records {
		found[key] = value
	}
	return found
}

func (s *scriptedStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// withRuntime runs a runtime of a process that is always the primary, in virtual time.
func withRuntime(t *testing.T, f func(ctx context.Context, stop func(), r *Runtime, store *scriptedStore)) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedStore{records: map[string][]byte{}}
		start := time.Now()
		r := NewRuntime(RuntimeConfig{Config: Config{HistoryRetention: 20 * time.Second}, Store: store, Primary: func() (uint64, bool) { return 1, true },
			Now: func() time.Duration { return time.Since(start) }, WriteTimeout: 450 * time.Millisecond, Log: &log.Logger{Level: log.PanicLevel}})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { r.Run(ctx) })
		stop := func() {
			cancel()
			running.Wait()
		}
		f(t.Context(), stop, r, store)
		stop()
	})
}

// A call whose caller gives up before it is started must never be applied.
func TestRuntime_CallGivenUpBeforeItWasBegun(t *testing.T) {
	withRuntime(t, func(ctx context.Context, _ func(), r *Runtime, store *scriptedStore) {
		store.set(func() { store.delay = 300 * time.Millisecond })
		first := make(chan error, 1)
		go func() {
			_, err := r.Do(ctx, NextNumber{"n"})
			first <- err
		}()
		synctest.Wait() // the write of the first call is in flight
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := r.Do(short, NextNumber{"n"})
		assert.ErrorIs(t, err, ErrBusy)
		assert.NilError(t, <-first)
		result, err := r.Do(ctx, NextNumber{"n"})
		assert.NilError(t, err)
		assert.Equal(t, result, Number{2})
	})
}

// A call whose caller gives up while its write is in flight has an unknown outcome.
func TestRuntime_CallGivenUpWhileItIsWritten(t *testing.T) {
	withRuntime(t, func(ctx context.Context, _ func(), r *Runtime, store *scriptedStore) {
		store.set(func() { store.delay = 300 * time.Millisecond })
		short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		_, err := r.Do(short, NextNumber{"n"})
		assert.ErrorIs(t, err, ErrOutcomeUnknown)
	})
}

// The errors of the calls in a batch whose write fails, and the state afterwards.
func TestRuntime_FailedWrite(t *testing.T) {
	for _, c := range []struct {
		name     string
		failure  error
		write    error // error of a call that writes
		read     error // error of a call that only reads
		confirms int   // round trips before the records are reloaded
	}{
		{"not the primary", consensus.ErrNotPrimary, ErrNotPrimary, ErrNotPrimary, 1},
		{"the state would be too large", consensus.StateTooLarge.New("injected"), ErrTooLarge, ErrTooLarge, 1},
		{"unknown", errors.New("injected"), ErrOutcomeUnknown, ErrBusy, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			withRuntime(t, func(ctx context.Context, _ func(), r *Runtime, store *scriptedStore) {
				_, err := r.Do(ctx, NextNumber{"n"})
				assert.NilError(t, err)
				assert.Equal(t, store.confirms, 0, "no write is in flight at the start")
				store.set(func() { store.putErr, store.delay = c.failure, 10*time.Millisecond })
				blocker := make(chan error, 1)
				go func() { // while this call is confirmed, the other two queue up for one batch
					_, err := r.Do(ctx, ReadKey{"g.k"})
					blocker <- err
				}()
				synctest.Wait()
				wrote, read := make(chan error, 1), make(chan error, 1)
				go func() {
					_, err := r.Do(ctx, NextNumber{"n"})
					wrote <- err
				}()
				go func() {
					_, err := r.Do(ctx, ReadKey{"g.k"})
					read <- err
				}()
				assert.NilError(t, <-blocker)
				assert.ErrorIs(t, <-wrote, c.write)
				assert.ErrorIs(t, <-read, c.read)
				before := store.confirms
				result, err := r.Do(ctx, NextNumber{"n"})
				assert.NilError(t, err)
				assert.Equal(t, result, Number{2})
				assert.Equal(t, store.confirms-before, c.confirms)
			})
		})
	}
}

// When Run ends, waiting calls and later ones fail with ErrNotPrimary.
func TestRuntime_Stopped(t *testing.T) {
	withRuntime(t, func(ctx context.Context, stop func(), r *Runtime, _ *scriptedStore) {
		_, err := r.Do(ctx, PutKey{Name: "g.k", Value: "v"})
		assert.NilError(t, err)
		watched := make(chan error, 1)
		go func() {
			_, err := r.Do(ctx, WatchGroup{"g.", 1, time.Minute})
			watched <- err
		}()
		synctest.Wait()
		assert.Equal(t, r.Figures().Watches, 1)
		stop()
		assert.ErrorIs(t, <-watched, ErrNotPrimary)
		_, err = r.Do(ctx, ReadKey{"g.k"})
		assert.ErrorIs(t, err, ErrNotPrimary)
	})
}

// A watch whose caller gives up is removed.
func TestRuntime_WatchGivenUp(t *testing.T) {
	withRuntime(t, func(ctx context.Context, _ func(), r *Runtime, _ *scriptedStore) {
		_, err := r.Do(ctx, PutKey{Name: "g.k", Value: "v"})
		assert.NilError(t, err)
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err = r.Do(short, WatchGroup{"g.", 1, time.Minute})
		assert.ErrorIs(t, err, ErrBusy)
		synctest.Wait()
		assert.Equal(t, r.Figures().Watches, 0)
	})
}
