package controlplane

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// The report of a single gateway is not announced. All gateways are notified of an endpoint that two gateways report within a
// quarter of the contact window.
func TestEjections_TwoReportersNeeded(t *testing.T) {
	const window = 4 * time.Second
	now := time.Unix(0, 0)
	e := newEjections(window)
	assert.Assert(t, !e.report(now, "e1", "i1", 2))
	assert.Assert(t, !e.report(now, "e1", "i1", 2)) // a repeated report
	assert.Assert(t, !e.report(now, "e2", "i2", 2))
	assert.Assert(t, e.report(now.Add(window/4), "e2", "i1", 2))
	assert.Assert(t, !e.report(now.Add(window/4), "e1", "i1", 2), "reports before the announcement do not count")
	assert.Assert(t, !e.report(now.Add(window/4+time.Nanosecond), "e1", "i2", 2), "the report of e2 is too old")
	assert.Assert(t, e.report(now, "e1", "i3", 1)) // the only gateway
}

// Ejections are announced for a contact window, the newest of an instance only.
func TestEjections_AnnouncedForOneWindow(t *testing.T) {
	const window = 4 * time.Second
	now := time.Unix(0, 0)
	e := newEjections(window)
	announce := func(at time.Time, instance string, version uint64) *tierv1.Ejections {
		return e.announce(at, &tierv1.Ejection{Instance: instance, Version: version})
	}
	announce(now, "i1", 1)
	announce(now.Add(time.Second), "i2", 2)
	instances := func(announced *tierv1.Ejections) (list []string) {
		for _, one := range announced.List {
			list = append(list, fmt.Sprint(one.Instance, " ", one.Version))
		}
		return list
	}
	assert.DeepEqual(t, instances(announce(now.Add(window), "i2", 3)), []string{"i1 1", "i2 3"})
	assert.DeepEqual(t, instances(announce(now.Add(window+time.Nanosecond), "i3", 4)), []string{"i2 3", "i3 4"})
}

// The numbers of reports and of announced ejections are bounded.
func TestEjections_Bounded(t *testing.T) {
	now := time.Unix(0, 0)
	e := newEjections(4 * time.Second)
	for i := range 10 * maxEjections {
		e.report(now, "e1", fmt.Sprint("i", i), 2)
		e.announce(now, &tierv1.Ejection{Instance: fmt.Sprint("i", i), Version: uint64(i)})
	}
	assert.Equal(t, len(e.reports), maxEjections)
	assert.Equal(t, len(e.announced), maxEjections)
	assert.Assert(t, !e.report(now.Add(time.Minute), "e1", "new", 2))
	assert.Equal(t, len(e.reports), 1) // the stale reports were dropped
}

// All gateways that accept ejections are notified of an ejection, the long polls of others are not answered for it, and only
// the primary accepts reports.
func TestEjections_Pushed(t *testing.T) {
	withHarness(t, func(h *harness) {
		service := h.plane.Sessions()
		var mutex sync.Mutex
		var all []*tierv1.WatchReply
		replyTo := func(i int) *tierv1.WatchReply {
			mutex.Lock()
			defer mutex.Unlock()
			return all[i]
		}
		for i, accepts := range []bool{true, true, false} {
			request := probeRequest()
			request.Node, request.Role, request.Incarnation, request.PollTimeoutMs = fmt.Sprint("e", i), roleGateway, "a", 600
			request.AcceptsEjections = accepts
			mutex.Lock()
			all = append(all, nil)
			mutex.Unlock()
			go func() {
				reply, err := service.Watch(h.ctx, request)
				assert.Check(t, err)
				mutex.Lock()
				defer mutex.Unlock()
				all[i] = reply
			}()
		}
		synctest.Wait()
		for _, node := range []string{"e0", "e1"} {
			reply, err := service.ReportEjections(h.ctx, &tierv1.EjectionReport{Node: node, Ejected: []string{"i1"}})
			assert.NilError(t, err)
			assert.Assert(t, reply.IsPrimary)
		}
		time.Sleep(100 * time.Millisecond)
		for i := range 2 {
			assert.Assert(t, replyTo(i) != nil)
			assert.Equal(t, replyTo(i).Ejections.List[0].Instance, "i1")
		}
		assert.Assert(t, replyTo(2) == nil)
		time.Sleep(time.Second)
		assert.Assert(t, replyTo(2).Ejections == nil)
		h.store.set(func() { h.store.primary = false })
		reply, err := service.ReportEjections(h.ctx, &tierv1.EjectionReport{Node: "e1", Ejected: []string{"i1"}})
		assert.NilError(t, err)
		assert.Assert(t, !reply.IsPrimary)
	})
}

// For an endpoint that all gateways have ejected, a few health checkers notify the others that it still fails, or that it has
// answered.
func TestEjections_HealthCheckersNotifyOthers(t *testing.T) {
	const window = 4 * time.Second
	now := time.Unix(0, 0)
	e := newEjections(window)
	gateways := []string{"e1", "e2", "e3", "e4", "e5"}
	first := &tierv1.Ejection{Instance: "i1", Version: 1, HealthCheckers: chooseHealthCheckers(gateways, "i1", 1)}
	assert.Equal(t, len(first.HealthCheckers), ejectionHealthCheckers)
	e.announce(now, first)
	now = now.Add(window)
	assert.Assert(t, e.report(now, first.HealthCheckers[0], "i1", 2))
	for _, node := range gateways {
		if node != first.HealthCheckers[0] && node != first.HealthCheckers[1] {
			assert.Assert(t, !e.report(now, node, "i1", 2))
			break
		}
	}
	assert.Assert(t, e.restored(now, "i1"))
	e.announce(now, &tierv1.Ejection{Instance: "i1", Version: 2, Restored: true})
	assert.Assert(t, !e.restored(now, "i1"), "already announced as restored")
	assert.Assert(t, !e.restored(now, "i2"), "never announced")
	e.reports = map[string]map[string]time.Time{}
	assert.Assert(t, !e.report(now, first.HealthCheckers[0], "i1", 2), "after the restoration a single report is not enough")
	assert.Assert(t, !e.restored(now.Add(window+1), "i1"), "the announcement is too old")
	assert.DeepEqual(t, chooseHealthCheckers([]string{"e1"}, "i1", 1), []string{"e1"})
	assert.Equal(t, len(chooseHealthCheckers(nil, "i1", 1)), 0)
	assert.Assert(t, chooseHealthCheckers(gateways, "i1", 1)[0] != chooseHealthCheckers(gateways, "i1", 2)[0])
}
