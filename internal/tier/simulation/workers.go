package simulation

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"os/exec"
	"sync"
	"time"
)

// A play has one runnable goroutine most of the time: it is fastest on one processor, and plays in one process wait for each
// other. Concurrent plays therefore run in separate processes of one processor each, which report their progress on standard output.

// workerEvent is one line of a worker's output, in JSON.
type workerEvent struct {
	Failure *Failure `json:"failure,omitempty"`
	Played  uint64   `json:"played,omitempty"`
	Total   *Total   `json:"total,omitempty"` // the last line
}

// errWorkerEnded is returned if a worker ends without having reported its total.
var errWorkerEnded = errors.New("simulation: a worker ended before it reported its total")

// progressInterval is the number of seeds after which a worker reports its progress.
const progressInterval = 5

// PlayAsWorker plays a batch in a worker process, and writes its failures, progress and total to out.
func (b Batch) PlayAsWorker(ctx context.Context, out io.Writer) error {
	lines := json.NewEncoder(out)
	var failed error
	emit := func(e workerEvent) {
		if err := lines.Encode(e); err != nil && failed == nil {
			failed = err
		}
	}
	b.Failed = func(f Failure) { emit(workerEvent{Failure: &f}) }
	b.Progress = func(played uint64) {
		if played%progressInterval == 0 {
			emit(workerEvent{Played: played})
		}
	}
	b.Jobs = 1
	total := b.Play(ctx)
	emit(workerEvent{Total: &total})
	return failed
}

// PlayInWorkers plays a batch in worker processes, one for each job. command returns the command of a worker, which plays the
// given part of the seeds with PlayAsWorker.
func (b Batch) PlayInWorkers(ctx context.Context, command func(ctx context.Context, from, seeds uint64) *exec.Cmd) (Total, error) {
	began := time.Now()
	jobs := uint64(max(b.Jobs, 1))
	var total Total
	var mu sync.Mutex
	played := make([]uint64, jobs)
	errs := make([]error, jobs)
	var workers sync.WaitGroup
	for job := range jobs {
		first, end := job*b.Seeds/jobs, (job+1)*b.Seeds/jobs
		if first == end {
			continue
		}
		workers.Go(func() {
			errs[job] = runWorker(command(ctx, b.From+first, end-first), func(e workerEvent) {
				mu.Lock()
				defer mu.Unlock()
				switch {
				case e.Failure != nil:
					if b.Failed != nil {
						b.Failed(*e.Failure)
					}
				case e.Total != nil:
					total.merge(*e.Total)
				case b.Progress != nil:
					played[job] = e.Played
					b.Progress(sum(played))
				}
			})
		})
	}
	workers.Wait()
	total.RealTime = time.Since(began)
	for _, err := range errs {
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// runWorker runs a worker process, and passes its events to tell.
func runWorker(c *exec.Cmd, handle func(workerEvent)) error {
	c.Env = append(c.Environ(), "GOMAXPROCS=1")
	c.Stderr = os.Stderr
	out, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	lines := json.NewDecoder(out)
	ended := false
	for {
		var e workerEvent
		if err := lines.Decode(&e); err != nil {
			break
		}
		ended = ended || e.Total != nil
		handle(e)
	}
	err = c.Wait()
	if err == nil && !ended {
		err = errWorkerEnded
	}
	return err
}

// sum returns the sum of a list.
func sum(list []uint64) (n uint64) {
	for _, one := range list {
		n += one
	}
	return n
}

// merge adds the total of a part of the batch.
func (t *Total) merge(o Total) {
	t.Played += o.Played
	t.Failed += o.Failed
	t.VirtualTime += o.VirtualTime
	t.Messages += o.Messages
	t.Orders += o.Orders
	t.Turns += o.Turns
}
