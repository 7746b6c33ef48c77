package run

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"runtime/debug"
	"time"

	"saffronyard.example/saffronyard/internal/work"
	"saffronyard.example/saffronyard/internal/work/store"
)

// startSlice starts a slice in a worker goroutine.
func (r *Runner) startSlice(id work.ID) {
	if r.ctx.Err() != nil { // the runner is closing: the next process starts the slice
		return
	}
	rec := r.records[id]
	k := r.kinds[rec.Kind]
	if k == nil { // an operator ran a job of a kind that the runner does not have
		r.results <- sliceResult{id, Result{}, fmt.Errorf("nobody here does %s: %w", rec.Kind, ErrPark)}
		return
	}
	check := rec.Intended && r.persisted(id) && !k.Idempotent
	if !check && !k.Idempotent && r.persisted(id) {
		if err := r.store.Intend(id); err != nil {
			r.results <- sliceResult{id, Result{}, fmt.Errorf("the intent to run the slice can't be stored: %w", err)}
			return
		}
		rec.Intended = true
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.running[id] = &runningSlice{cancel: cancel, startedAt: time.Now(), kind: k}
	t := Task{ID: id, Owner: rec.Owner, State: rec.State, Failures: rec.Failures}
	r.workers.Add(1)
	go func() {
		defer r.workers.Done()
		e := sliceResult{id: id}
		e.res, e.err = runSlice(ctx, k, t, check)
		r.results <- e
	}()
}

// runSlice does a slice, or checks whether it was done. A panic is a *PanicError.
func runSlice(ctx context.Context, k *Kind, t Task, check bool) (res Result, err error) {
	defer func() {
		if p := recover(); p != nil {
			res, err = Result{}, &PanicError{Value: p, Stack: debug.Stack()}
		}
	}()
	if !check {
		return k.Slice(ctx, t)
	}
	if k.CheckDone == nil { // the job was parked, and an operator ran it
		return k.Slice(ctx, t)
	}
	done, res, err := k.CheckDone(ctx, t)
	if err == nil && !done {
		err = errNotDone
	}
	return res, err
}

// handleResult records the result of a slice, first in the store, then in the scheduler.
func (r *Runner) handleResult(e sliceResult) {
	rec := r.records[e.id]
	if s := r.running[e.id]; s != nil {
		s.cancel()
		delete(r.running, e.id)
	}
	if rec == nil {
		return
	}
	if errors.Is(e.err, errNotDone) {
		r.handleNotDone(rec, e)
		return
	}
	var spawned []store.Record
	if e.err == nil {
		spawned, e.err = r.spawnedRecords(rec, e.res.Jobs)
	}
	if e.err != nil {
		r.handleFailure(rec, e)
		return
	}
	if err := r.persistResult(e, spawned); err != nil {
		// The slice is done, but its result can't be stored. A job that is not idempotent must not be retried, and is parked.
		ended := e.event()
		ended.Failure, ended.Park = fmt.Sprintf("the result of the slice can't be stored: %v", err), !r.kinds[rec.Kind].Idempotent
		r.step(ended)
		return
	}
	rec.State, rec.Intended, rec.Failures = e.res.State, false, 0
	var accepted []*store.Record
	for i := range spawned {
		if k := r.kinds[spawned[i].Kind]; k.Volatile {
			r.nextVolatileID--
			spawned[i].ID = r.nextVolatileID
		}
		accepted = append(accepted, &spawned[i])
	}
	r.step(e.event())
	r.accept(accepted)
}

// event converts the result to the scheduler's event.
func (e *sliceResult) event() work.SliceEnded {
	return work.SliceEnded{ID: e.id, Used: e.res.Used, More: e.res.More, Delay: e.res.Delay}
}

// handleNotDone clears the intent of a slice that an earlier process did not do, and schedules the slice.
func (r *Runner) handleNotDone(rec *store.Record, e sliceResult) {
	ended := e.event()
	rec.Intended = false
	if err := r.store.ClearIntent(e.id); err != nil {
		rec.Intended = true
		ended.Failure = err.Error()
	} else {
		ended.More = true
	}
	r.step(ended)
}

// persistResult stores the result of a slice, with the jobs that it spawned, in one transaction.
func (r *Runner) persistResult(e sliceResult, spawned []store.Record) error {
	if !r.persisted(e.id) {
		return nil
	}
	if !e.res.More {
		return r.store.Complete(e.id, spawned)
	}
	earliest := int64(0)
	if e.res.Delay > 0 {
		earliest = r.config.Wall().UnixNano() + int64(e.res.Delay)
	}
	return r.store.Checkpoint(e.id, e.res.State, earliest, spawned)
}

// handleFailure records a failed slice, and parks the job if it has failed too often.
func (r *Runner) handleFailure(rec *store.Record, e sliceResult) {
	ended := e.event()
	ended.Failure, ended.Park = e.err.Error(), errors.Is(e.err, ErrPark)
	rec.Failures++
	if r.ctx.Err() != nil { // cancelled because the runner closes: that is no failure, and nothing is stored
		return
	}
	parked := ""
	if limit := r.maxFailures(rec.Kind); ended.Park || limit > 0 && rec.Failures >= limit {
		parked, ended.Park = ended.Failure, true
	}
	if r.persisted(e.id) {
		// A failure means that the slice was not done, so the intent is cleared.
		if err := r.store.RecordFailure(e.id, rec.Failures, parked); err != nil && !errors.Is(err, store.ErrNotFound) {
			r.log.Warn("failed to store a job's failure", "job", e.id, "err", err)
		} else {
			rec.Intended = false
		}
	}
	r.step(ended)
}

func (r *Runner) maxFailures(kind string) int {
	if k, ok := r.config.Settings.Kinds[kind]; ok && k.Retry != (work.Retry{}) {
		return k.Retry.MaxFailures
	}
	return work.DefaultRetry().MaxFailures
}

// spawnedRecords returns the records of the jobs that a slice spawned, if they can be accepted.
func (r *Runner) spawnedRecords(by *store.Record, jobs []JobSpec) ([]store.Record, error) {
	var recs []store.Record
	var candidates []work.Job
	for i := range jobs {
		k := r.kinds[jobs[i].Kind]
		if k == nil {
			return nil, fmt.Errorf("%w: %w", &UnknownKindError{Kind: jobs[i].Kind}, ErrPark)
		}
		if k.Volatile != r.kinds[by.Kind].Volatile {
			return nil, fmt.Errorf("kinds %s and %s are not both volatile or both stored: %w", by.Kind, jobs[i].Kind, ErrPark)
		}
		rec := r.record(&jobs[i], by.Depth+1)
		recs = append(recs, rec)
		candidates = append(candidates, r.job(&rec))
	}
	if err := r.sched.CheckCapacity(candidates...); err != nil {
		return nil, fmt.Errorf("the jobs that the slice spawned are not accepted: %w", err)
	}
	return recs, nil
}

// reportSlowSlices logs slices that overrun SlowSlice, each once, with the stacks of all goroutines, which include the slice's.
func (r *Runner) reportSlowSlices() {
	for id, s := range r.running {
		if s.reported || time.Since(s.startedAt) < r.config.SlowSlice {
			continue
		}
		s.reported = true
		stack := make([]byte, maxStackBytes)
		stack = stack[:runtime.Stack(stack, true)]
		r.log.Error("a slice takes long", "job", id, "kind", s.kind.Name, "owner", r.records[id].Owner, "for", time.Since(s.startedAt).Round(time.Millisecond), "stack", string(stack))
	}
}

func (r *Runner) deleteDropped(id work.ID) {
	if r.persisted(id) {
		if err := r.store.Complete(id, nil); err != nil && !errors.Is(err, store.ErrNotFound) {
			r.log.Error("failed to delete a dropped job from the store; the next process resumes it", "job", id, "err", err)
		}
	}
}
