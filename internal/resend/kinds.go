package resend

import (
	"context"
	"time"

	"saffronyard.example/saffronyard/internal/undelivered"
	"saffronyard.example/saffronyard/internal/work"
	"saffronyard.example/saffronyard/internal/work/run"
)

// Kinds of background work.
const (
	FindMembersKind = "resend.look"        // finds members with entries
	ResendKind      = "resend"             // resends one member's messages
	ExpireKind      = "undelivered.expire" // drops old entries
)

// Kinds returns the kinds of background work that the engine does.
func (e *Engine) Kinds() []*run.Kind {
	e.pacers, e.scheduled, e.positions = map[uint32]*undelivered.Pacer{}, map[string]bool{}, map[string]position{}
	return []*run.Kind{
		// Volatile: what is to be done is found in the store. Idempotent: entries that are marked as resending are not marked again.
		{Name: FindMembersKind, Volatile: true, Idempotent: true, Slice: e.findMembers, Timer: &run.Timer{Schedule: work.Schedule{Every: time.Second, Missed: work.MissedOnce},
			Job: run.JobSpec{Kind: FindMembersKind, Owner: "resends", Priority: work.Normal, Lock: FindMembersKind}}},
		{Name: ResendKind, Volatile: true, Idempotent: true, Slice: e.resendMember},
		{Name: ExpireKind, Volatile: true, Idempotent: true, Slice: e.expire, Timer: &run.Timer{Schedule: work.Schedule{Every: time.Minute, Missed: work.MissedOnce},
			Job: run.JobSpec{Kind: ExpireKind, Owner: "undelivered", Priority: work.Low, Lock: ExpireKind, Resource: "undelivered store"}}},
	}
}

// findMembers spawns a job for each member that has entries and no job yet. Its first run reconciles the store with the journal.
func (e *Engine) findMembers(ctx context.Context, t run.Task) (res run.Result, err error) {
	if t.Failures > 0 { // the jobs that it spawned last were not accepted
		e.mu.Lock()
		for _, m := range e.requested {
			delete(e.scheduled, m)
		}
		e.mu.Unlock()
	}
	s, err := e.Store()
	if err != nil {
		return res, err
	}
	if !e.isReconciled() {
		inFlight, err := e.Sender.InFlight(ctx)
		if err != nil {
			return res, err
		}
		n, err := s.Reconcile(inFlight)
		if err != nil {
			return res, err
		}
		if n > 0 {
			e.Log.Info("interrupted resends of an earlier process are returned to the store", "messages", n)
		}
		e.mu.Lock()
		e.reconciled = true
		e.mu.Unlock()
	}
	members, err := s.Members()
	if err != nil {
		return res, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requested = nil
	for _, m := range members {
		if !e.scheduled[m] {
			e.scheduled[m] = true
			e.requested = append(e.requested, m)
			res.Jobs = append(res.Jobs, run.JobSpec{Kind: ResendKind, Owner: m, Priority: work.Normal, SliceCost: work.Cost{work.Calls: 1}, Resource: "undelivered store"})
		}
	}
	return res, nil
}

func (e *Engine) isReconciled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reconciled
}

// expire drops old entries, one batch in a slice.
func (e *Engine) expire(context.Context, run.Task) (run.Result, error) {
	s, err := e.Store()
	if err != nil {
		return run.Result{}, err
	}
	n, more, err := s.Expire(e.Wall().UnixNano(), expireBatch)
	if n > 0 {
		e.Log.Info("old undelivered messages are dropped", "messages", n)
	}
	return run.Result{More: more, Used: work.Cost{work.Syncs: 1}}, err
}
