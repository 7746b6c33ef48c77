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
	if r.ctx.Err() != nil { // it is closing: the next process starts it
		return
	}
	rec := r.records[id]
	k := r.kinds[rec.Kind]
	if k == nil { // an operator started it, and no kind does it
		r.results <- sliceResult{id, Result{}, fmt.Errorf("nobody here does %s: %w", rec.Kind, ErrPark)}
		return
	}
	check := rec.Intended && r.persisted(id) && !k.Idempotent
	if !check && !k.Idempotent && r.persisted(id) {
		if err := r.store.Intend(id); err != nil {
			r.results <- sliceResult{id, Result{}, fmt.Errorf("what is intended can't be written down: %w", err)}
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
	if k.CheckDone == nil { // an operator has it run all the same
		return k.Slice(ctx, t)
	}
	done, res, err := k.CheckDone(ctx, t)
	if err == nil && !done {
		err = errNotDone
	}
	return res, err
}

// handleResult takes in how a slice went: first in the store, then in the scheduler.
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
		// The slice is done, and that can't be written down: where it must not be done twice, nobody may retry it.
		ended := e.event()
		ended.Failure, ended.Park = fmt.Sprintf("what was done can't be written down: %v", err), !r.kinds[rec.Kind].Idempotent
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

// event is the result as the scheduler takes it.
func (e *sliceResult) event() work.SliceEnded {
	return work.SliceEnded{ID: e.id, Used: e.res.Used, More: e.res.More, Delay: e.res.Delay}
}

// handleNotDone has a slice done that an earlier process was about to do and did not do.
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

// persistResult writes down what a slice did, with the jobs that it spawned, in one transaction.
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
	if r.ctx.Err() != nil { // cancelled as the runner closes: it is no failure, and nothing is written
		return
	}
	parked := ""
	if limit := r.maxFailures(rec.Kind); ended.Park || limit > 0 && rec.Failures >= limit {
		parked, ended.Park = ended.Failure, true
	}
	if r.persisted(e.id) {
		// A slice that failed says that it was not done: the intention is over.
		if err := r.store.RecordFailure(e.id, rec.Failures, parked); err != nil && !errors.Is(err, store.ErrNotFound) {
			r.log.Warn("a job's failure can't be stored", "job", e.id, "err", err)
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
	var ask []work.Job
	for i := range jobs {
		k := r.kinds[jobs[i].Kind]
		if k == nil {
			return nil, fmt.Errorf("%w: %w", &UnknownKindError{Kind: jobs[i].Kind}, ErrPark)
		}
		if k.Volatile != r.kinds[by.Kind].Volatile {
			return nil, fmt.Errorf("%s is kept and %s is not, or the other way round: %w", by.Kind, jobs[i].Kind, ErrPark)
		}
		rec := r.record(&jobs[i], by.Depth+1)
		recs = append(recs, rec)
		ask = append(ask, r.job(&rec))
	}
	if err := r.sched.CheckCapacity(ask...); err != nil {
		return nil, fmt.Errorf("the jobs that it makes are not taken: %w", err)
	}
	return recs, nil
}

// reportSlowSlices logs slices that overrun SlowSlice, each once, with the stacks of all goroutines: the one that hangs is among them.
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
			r.log.Error("a dropped job is still in the store and comes back with the next process", "job", id, "err", err)
		}
	}
}
