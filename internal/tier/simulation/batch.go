package simulation

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// GCPercent is a GC target that suits plays: a bubble allocates much and retains little.
const GCPercent = 3000 // percent of the live heap

// Batch is a range of seeds to be played.
type Batch struct {
	From, Seeds uint64
	Kinds       []FaultKind // none: all
	Jobs        int         // plays at the same time; 0: one
	Options     Options
	Failed      func(Failure)       // called by one play at a time
	Progress    func(played uint64) // called by one play at a time
}

// Total is the result of a batch.
type Total struct {
	Played, Failed          uint64
	VirtualTime, RealTime   time.Duration
	Messages, Orders, Turns int
}

// Play plays the seeds, until ctx ends.
func (b Batch) Play(ctx context.Context) Total {
	var total Total
	var mu sync.Mutex
	var next atomic.Uint64
	var jobs sync.WaitGroup
	began := time.Now()
	for range max(b.Jobs, 1) {
		jobs.Go(func() {
			for {
				n := next.Add(1) - 1
				if n >= b.Seeds || ctx.Err() != nil {
					return
				}
				script := Generate(b.From+n, b.Kinds...)
				result, trace, err := playTraced(script, b.Options)
				mu.Lock()
				total.add(result)
				if result.Violation != nil || err != nil {
					total.Failed++
					if b.Failed != nil {
						b.Failed(Failure{script, result.Violation, trace, errorText(err)})
					}
				}
				if b.Progress != nil {
					b.Progress(total.Played)
				}
				mu.Unlock()
			}
		})
	}
	jobs.Wait()
	total.RealTime = time.Since(began)
	return total
}

// add adds the result of a play.
func (t *Total) add(r Result) {
	t.Played++
	t.VirtualTime += r.VirtualTime
	t.Messages += r.Messages
	t.Orders += r.Orders
	t.Turns += r.Turns
}
