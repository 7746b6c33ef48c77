package session_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/session"
	"saffronyard.example/saffronyard/internal/tier/tiertest"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// harness is a session with control-plane processes control-1, control-2, ... of which only the first is a seed.
type harness struct {
	t         *testing.T
	controls  map[string]*tiertest.ControlPlane
	client    *session.Client
	mu        sync.Mutex
	delivered []string
	cancelRun context.CancelFunc
	ended     chan struct{}
}

func address(n int) string { return fmt.Sprintf("control-%d:9000", n) }

// newHarness returns a harness with n control-plane processes, none of which is the primary.
func newHarness(t *testing.T, n int) *harness {
	h := &harness{t: t, controls: map[string]*tiertest.ControlPlane{}}
	for i := range n {
		c := tiertest.NewControlPlane()
		c.Update(func(v *tierv1.WatchReply) { v.IsPrimary = false })
		h.controls[address(i+1)] = c
	}
	return h
}

func (h *harness) record(text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delivered = append(h.delivered, text)
}

func (h *harness) recorded() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.delivered...)
}

var errNoProcess = errors.New("no process at this address")

type absentControlPlane struct{ tierv1.ControlPlane }

func (absentControlPlane) Watch(context.Context, *tierv1.WatchRequest) (*tierv1.WatchReply, error) {
	return nil, errNoProcess
}

func (h *harness) run(change ...func(*session.Config)) {
	c := session.Config{Settings: tiertest.Settings("edge-1"), Role: "gateway", Log: tiertest.DiscardLogger(),
		Dial: func(at string) tierv1.ControlPlane {
			if one := h.controls[at]; one != nil {
				return one
			}
			return absentControlPlane{}
		},
		Configuration: func(v *tierv1.Configuration) { h.record(fmt.Sprintf("configuration %d", v.Version)) },
		Endpoints:     func(v *tierv1.Endpoints) { h.record(fmt.Sprintf("endpoints %d", v.Version)) },
		PartitionMap:  func(v *tierv1.PartitionMap) { h.record(fmt.Sprintf("turn stores %d", v.Version)) }}
	for _, f := range change {
		f(&c)
	}
	h.client = session.New(c)
	ctx, cancel := context.WithCancel(context.Background())
	h.cancelRun, h.ended = cancel, make(chan struct{})
	go func() {
		defer close(h.ended)
		h.client.Run(ctx)
	}()
	h.t.Cleanup(func() {
		cancel()
		tiertest.WaitFor(h.t, "the session ends", h.ended)
	})
}

func (h *harness) at(n int) *tiertest.ControlPlane { return h.controls[address(n)] }

func (h *harness) primary(n int) *tiertest.ControlPlane {
	c := h.at(n)
	c.Update(func(v *tierv1.WatchReply) { v.IsPrimary, v.PrimaryHint = true, "" })
	return c
}

func (h *harness) hint(n, to int) {
	h.at(n).Update(func(v *tierv1.WatchReply) { v.IsPrimary, v.PrimaryHint = false, address(to) })
}

// isLongPoll distinguishes the long polls of a session from the calls of a search.
func isLongPoll(q *tierv1.WatchRequest) bool { return q.Role != "" }

func TestSession_PrimaryFoundByHint(t *testing.T) {
	h := newHarness(t, 3)
	h.hint(1, 2)
	h.hint(2, 3)
	c := h.primary(3)
	h.run()
	first := c.Await(t, "a session", isLongPoll)
	assert.Equal(t, first.Node, "edge-1")
	assert.Equal(t, first.Role, "gateway")
	assert.Assert(t, first.Incarnation != "")
	assert.Assert(t, first.PollTimeoutMs > 0)
	c.SetConfiguration("1")
	c.AwaitAcknowledged(t)
	assert.Equal(t, h.client.Primary(), address(3))
	active, _ := h.client.Active()
	assert.Assert(t, active)
	for _, n := range []int{1, 2} {
		for _, q := range h.at(n).Calls() {
			assert.Assert(t, !isLongPoll(q), "a session with a process that is not the primary")
		}
	}
}

func TestSession_FirstCallOfIncarnation(t *testing.T) {
	h := newHarness(t, 1)
	c := h.primary(1)
	c.SetConfiguration("1")
	c.SetEndpoints()
	incarnations := map[string]bool{}
	for run := range 3 {
		seen := len(c.Calls())
		h.run()
		c.Await(t, "updates are acknowledged", func(q *tierv1.WatchRequest) bool {
			return isLongPoll(q) && q.ConfigurationVersion == 1 && q.EndpointsVersion == 1 && !incarnations[q.Incarnation]
		})
		h.cancelRun()
		tiertest.WaitFor(t, "the session ends", h.ended)
		first := true
		for _, q := range c.Calls()[seen:] {
			if !isLongPoll(q) {
				assert.Equal(t, q.ConfigurationVersion, uint64(math.MaxUint64), "a search acknowledges nothing")
				continue
			}
			if first {
				assert.Equal(t, q.ConfigurationVersion+q.EndpointsVersion+q.PartitionMapVersion+q.MembersVersion, uint64(0), "run %d", run)
				first = false
			}
			incarnations[q.Incarnation] = true
		}
		assert.Equal(t, len(incarnations), run+1)
	}
}

func TestSession_VersionsAcknowledgedOnceDelivered(t *testing.T) {
	h := newHarness(t, 1)
	c := h.primary(1)
	delivering, release := make(chan struct{}), make(chan struct{})
	h.run(func(s *session.Config) {
		s.Endpoints = func(v *tierv1.Endpoints) {
			if v.Version == 1 {
				close(delivering)
				<-release
			}
			h.record("endpoints")
		}
	})
	c.SetEndpoints()
	tiertest.WaitFor(t, "the list is delivered", delivering)
	for _, q := range c.Calls() {
		assert.Assert(t, !isLongPoll(q) || q.EndpointsVersion == 0, "acknowledged before its delivery")
	}
	close(release)
	c.AwaitAcknowledged(t)
	assert.DeepEqual(t, h.recorded(), []string{"endpoints"})
}

func TestSession_OlderVersionsIgnored(t *testing.T) {
	h := newHarness(t, 1)
	c := h.primary(1)
	updateOf := func(n uint64) *tierv1.WatchReply {
		return &tierv1.WatchReply{IsPrimary: true, Configuration: &tierv1.Configuration{Version: n}, Endpoints: &tierv1.Endpoints{Version: n},
			PartitionMap: &tierv1.PartitionMap{Version: n}, Members: &tierv1.Members{Version: n}}
	}
	versions := []uint64{5, 4, 5, 7, 1, 6, 8}
	var mu sync.Mutex
	n := 0
	c.SetInterceptor(func(_ context.Context, q *tierv1.WatchRequest, serve func() (*tierv1.WatchReply, error)) (*tierv1.WatchReply, error) {
		mu.Lock()
		defer mu.Unlock()
		if !isLongPoll(q) || n == len(versions) {
			return serve()
		}
		n++
		return updateOf(versions[n-1]), nil
	})
	h.run()
	c.Await(t, "the newest is acknowledged", func(q *tierv1.WatchRequest) bool { return isLongPoll(q) && q.PartitionMapVersion == 8 })
	assert.DeepEqual(t, h.recorded(), []string{"configuration 5", "endpoints 5", "turn stores 5", "configuration 7", "endpoints 7", "turn stores 7",
		"configuration 8", "endpoints 8", "turn stores 8"})
	last := uint64(0)
	for _, q := range c.Calls() {
		if isLongPoll(q) {
			assert.Assert(t, q.ConfigurationVersion >= last && q.EndpointsVersion >= last && q.PartitionMapVersion >= last && q.MembersVersion >= last, "%v after %d", q, last)
			last = q.ConfigurationVersion
		}
	}
}

// makeUnresponsive leaves calls from now on without an answer.
func makeUnresponsive(c *tiertest.ControlPlane) {
	c.SetInterceptor(func(ctx context.Context, _ *tierv1.WatchRequest, _ func() (*tierv1.WatchReply, error)) (*tierv1.WatchReply, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
}

func TestSession_MovesToNextPrimary(t *testing.T) {
	for name, endPrimary := range map[string]func(h *harness){
		"silent": func(h *harness) { makeUnresponsive(h.at(1)) },
		"dead": func(h *harness) {
			h.at(1).SetInterceptor(func(context.Context, *tierv1.WatchRequest, func() (*tierv1.WatchReply, error)) (*tierv1.WatchReply, error) {
				return nil, errNoProcess
			})
		},
		"deposed, with hint":    func(h *harness) { h.hint(1, 2) },
		"deposed, without hint": func(h *harness) { h.at(1).Update(func(v *tierv1.WatchReply) { v.IsPrimary = false }) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 2)
			c := h.primary(1)
			c.Update(func(v *tierv1.WatchReply) {
				v.Members = &tierv1.Members{Version: 1, List: []*tierv1.Member{{Address: address(1)}, {Address: address(2)}}}
			})
			c.SetEndpoints()
			c.SetEndpoints()
			h.run()
			c.AwaitAcknowledged(t)
			next := h.primary(2) // its address is only in the members
			endPrimary(h)
			got := next.Await(t, "a session with the next primary", isLongPoll)
			assert.Equal(t, got.EndpointsVersion, uint64(2), "delivered versions stay acknowledged")
			next.Update(func(v *tierv1.WatchReply) { v.Endpoints = &tierv1.Endpoints{Version: 3} })
			next.AwaitAcknowledged(t)
			assert.DeepEqual(t, h.recorded(), []string{"endpoints 2", "endpoints 3"})
			assert.Equal(t, h.client.Primary(), address(2))
		})
	}
}

// An answer that was delayed, for example by a paused process, must be ignored: its sender may no longer be the primary.
func TestSession_LateAnswerIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		c := h.primary(1)
		c.SetConfiguration("1")
		var delayed atomic.Bool
		c.SetInterceptor(func(_ context.Context, q *tierv1.WatchRequest, serve func() (*tierv1.WatchReply, error)) (*tierv1.WatchReply, error) {
			if !isLongPoll(q) || delayed.Swap(true) {
				return serve()
			}
			<-time.After(10 * time.Second)
			return &tierv1.WatchReply{IsPrimary: true, Epoch: 1, Configuration: &tierv1.Configuration{Version: 5, Body: []byte("old")}}, nil
		})
		h.run()
		c.AwaitAcknowledged(t)
		synctest.Wait()
		assert.DeepEqual(t, h.recorded(), []string{"configuration 1"})
	})
}

func TestSession_NoPrimaryAtFirst(t *testing.T) {
	h := newHarness(t, 1)
	c := h.at(1)
	h.run()
	c.Await(t, "a search", func(*tierv1.WatchRequest) bool { return len(c.Calls()) > 2 })
	active, _ := h.client.Active()
	assert.Assert(t, !active)
	h.primary(1)
	c.Await(t, "a session", isLongPoll)
}

// Among several candidates that do not answer, the one that answers is found, because all are queried concurrently.
func TestSession_OneOfManyCandidatesAnswers(t *testing.T) {
	h := newHarness(t, 5)
	for n := 1; n <= 4; n++ {
		makeUnresponsive(h.at(n))
	}
	c := h.primary(5)
	h.run(func(s *session.Config) {
		s.Settings.Seeds = nil
		for n := range 5 {
			s.Settings.Seeds = append(s.Settings.Seeds, fmt.Sprintf("control-%d:80", n+1))
		}
	})
	c.Await(t, "a session", isLongPoll)
}

func TestSession_SyncedReplicaReportedAtOnce(t *testing.T) {
	h := newHarness(t, 1)
	c := h.primary(1)
	var mu sync.Mutex
	var reports []*tierv1.SyncedReplica
	changed := make(chan struct{})
	h.run(func(s *session.Config) {
		s.Role, s.Folder, s.Address, s.EmptyFolder = "turnstore", "f-1", "10.0.0.1:9001", true
		s.Settings.ContactWindow *= 100 // the poll time-out is longer than the time-out of the test
		s.Synced = func() ([]*tierv1.SyncedReplica, <-chan struct{}) {
			mu.Lock()
			defer mu.Unlock()
			return append([]*tierv1.SyncedReplica(nil), reports...), changed
		}
	})
	first := c.Await(t, "a session", isLongPoll)
	assert.Equal(t, first.Folder, "f-1")
	assert.Equal(t, first.Address, "10.0.0.1:9001")
	assert.Equal(t, first.EmptyDisk, true)
	assert.Equal(t, len(first.Synced), 0)
	for n := range 3 {
		mu.Lock()
		reports = append(reports, &tierv1.SyncedReplica{Partition: uint32(n), Epoch: 1, Folder: "f-2"})
		close(changed)
		changed = make(chan struct{})
		mu.Unlock()
		got := c.Await(t, "the report", func(q *tierv1.WatchRequest) bool { return isLongPoll(q) && len(q.Synced) == n+1 })
		assert.Equal(t, got.Synced[n].Partition, uint32(n))
	}
}

// A change of the disk's state is reported at once, because it closes the channel of Synced.
func TestSession_DiskStateReportedAtOnce(t *testing.T) {
	h := newHarness(t, 1)
	c := h.primary(1)
	var mu sync.Mutex
	state := tierv1.DiskState_DISK_SOUND
	changed := make(chan struct{})
	h.run(func(s *session.Config) {
		s.Role, s.Folder = "turnstore", "f-1"
		s.Settings.ContactWindow *= 100 // the poll time-out is longer than the time-out of the test
		s.Synced = func() ([]*tierv1.SyncedReplica, <-chan struct{}) {
			mu.Lock()
			defer mu.Unlock()
			return nil, changed
		}
		s.Disk = func() tierv1.DiskState {
			mu.Lock()
			defer mu.Unlock()
			return state
		}
	})
	first := c.Await(t, "a session", isLongPoll)
	assert.Equal(t, first.Disk, tierv1.DiskState_DISK_SOUND)
	for _, next := range []tierv1.DiskState{tierv1.DiskState_DISK_STUCK, tierv1.DiskState_DISK_FULL, tierv1.DiskState_DISK_SOUND} {
		mu.Lock()
		state = next
		close(changed)
		changed = make(chan struct{})
		mu.Unlock()
		c.Await(t, next.String(), func(q *tierv1.WatchRequest) bool { return isLongPoll(q) && q.Disk == next })
	}
}

func TestSession_DrainingReported(t *testing.T) {
	h := newHarness(t, 1)
	c := h.primary(1)
	h.run()
	first := c.Await(t, "a session", isLongPoll)
	assert.Equal(t, first.Draining, false)
	h.client.Drain()
	c.Await(t, "draining is reported", func(q *tierv1.WatchRequest) bool { return isLongPoll(q) && q.Draining })
}

// The remaining time of a session decreases from the last answer on, and is 0 once the session is lost.
func TestRemaining_AfterLastAnswer(t *testing.T) {
	for role, timeout := range map[string]time.Duration{
		"gateway":   4*time.Second/6 + 4*time.Second/10, // the poll time-out, and the grace for the answer
		"turnstore": 4*time.Second/12 + 4*time.Second/10,
	} {
		t.Run(role, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 1)
				c := h.primary(1)
				c.SetConfiguration("1")
				h.run(func(s *session.Config) {
					if s.Role = role; role == "turnstore" {
						s.Folder = "f-1"
					}
				})
				c.AwaitAcknowledged(t)
				synctest.Wait()
				assert.Equal(t, h.client.Remaining(), timeout)
				<-time.After(100 * time.Millisecond)
				assert.Equal(t, h.client.Remaining(), timeout-100*time.Millisecond)
				h.hint(1, 2) // there is no primary any more
				<-time.After(timeout)
				assert.Equal(t, h.client.Remaining(), time.Duration(0))
			})
		})
	}
}

// A session that was never active has no remaining time.
func TestRemaining_NeverActive(t *testing.T) {
	client := session.New(session.Config{Settings: tiertest.Settings("edge-1"), Role: "gateway", Log: tiertest.DiscardLogger()})
	assert.Equal(t, client.Remaining(), time.Duration(0))
}

// The primary is found even if a new connection and a call together take longer than the first search.
func TestSession_DistantPrimaryFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const roundTrips = 520 * time.Millisecond // of a connection and a call; the time-out of the first search is 500 ms, of the next one 1 s
		h := newHarness(t, 1)
		c := h.primary(1)
		c.SetConfiguration("1")
		c.SetInterceptor(func(ctx context.Context, q *tierv1.WatchRequest, serve func() (*tierv1.WatchReply, error)) (*tierv1.WatchReply, error) {
			if isLongPoll(q) { // on the connection that the search has established
				return serve()
			}
			select {
			case <-time.After(roundTrips):
				return serve()
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		})
		h.run()
		<-time.After(4 * time.Second)
		active, _ := h.client.Active()
		assert.Assert(t, active)
	})
}
