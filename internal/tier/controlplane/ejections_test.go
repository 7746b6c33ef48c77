package controlplane

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// One gateway's report is its own matter; all hear of what two report within a quarter of the contact window.
func TestEjectionsNeedTwoReporters(t *testing.T) {
	const window = 4 * time.Second
	now := time.Unix(0, 0)
	e := newEjections(window)
	assert.Assert(t, !e.report(now, "e1", "i1", 2))
	assert.Assert(t, !e.report(now, "e1", "i1", 2)) // the same again
	assert.Assert(t, !e.report(now, "e2", "i2", 2))
	assert.Assert(t, e.report(now.Add(window/4), "e2", "i1", 2))
	assert.Assert(t, !e.report(now.Add(window/4), "e1", "i1", 2), "counted anew")
	assert.Assert(t, !e.report(now.Add(window/4+time.Nanosecond), "e1", "i2", 2), "e2's is too old")
	assert.Assert(t, e.report(now, "e1", "i3", 1)) // the only gateway
}

// Ejections are told for half of a contact window, the newest of an instance only.
func TestEjectionsAreToldForAWhile(t *testing.T) {
	const window = 4 * time.Second
	now := time.Unix(0, 0)
	e := newEjections(window)
	e.tell(now, "i1", 1)
	e.tell(now.Add(time.Second), "i2", 2)
	instances := func(told *tierv1.Ejections) (list []string) {
		for _, one := range told.List {
			list = append(list, fmt.Sprint(one.Instance, " ", one.Version))
		}
		return list
	}
	assert.DeepEqual(t, instances(e.tell(now.Add(window/2), "i2", 3)), []string{"i1 1", "i2 3"})
	assert.DeepEqual(t, instances(e.tell(now.Add(window/2+time.Nanosecond), "i3", 4)), []string{"i2 3", "i3 4"})
}

// What is held of reports and told is bounded, whatever comes.
func TestEjectionsAreBounded(t *testing.T) {
	now := time.Unix(0, 0)
	e := newEjections(4 * time.Second)
	for i := range 10 * maxEjections {
		e.report(now, "e1", fmt.Sprint("i", i), 2)
		e.tell(now, fmt.Sprint("i", i), uint64(i))
	}
	assert.Equal(t, len(e.reports), maxEjections)
	assert.Equal(t, len(e.told), maxEjections)
	assert.Assert(t, !e.report(now.Add(time.Minute), "e1", "new", 2))
	assert.Equal(t, len(e.reports), 1) // the old ones made room
}

// All gateways that take ejections hear of one, others are not woken by it, and only the primary takes reports.
func TestEjectionsArePushed(t *testing.T) {
	within(t, func(r *rig) {
		service := r.k.Sessions()
		var all []*tierv1.WatchReply
		for i, takes := range []bool{true, true, false} {
			request := lookRequest()
			request.Node, request.Role, request.Life, request.HoldMs = fmt.Sprint("e", i), roleGateway, "a", 600
			request.TakesEjections = takes
			all = append(all, nil)
			go func() {
				reply, err := service.Watch(r.ctx, request)
				assert.Check(t, err)
				all[i] = reply
			}()
		}
		synctest.Wait()
		for _, node := range []string{"e0", "e1"} {
			reply, err := service.ReportEjections(r.ctx, &tierv1.EjectionReport{Node: node, Instances: []string{"i1"}})
			assert.NilError(t, err)
			assert.Assert(t, reply.Primary)
		}
		time.Sleep(100 * time.Millisecond)
		for _, reply := range all[:2] {
			assert.Assert(t, reply != nil)
			assert.Equal(t, reply.Ejections.List[0].Instance, "i1")
		}
		assert.Assert(t, all[2] == nil)
		time.Sleep(time.Second)
		assert.Assert(t, all[2].Ejections == nil)
		r.s.set(func() { r.s.ok = false })
		reply, err := service.ReportEjections(r.ctx, &tierv1.EjectionReport{Node: "e1", Instances: []string{"i1"}})
		assert.NilError(t, err)
		assert.Assert(t, !reply.Primary)
	})
}
