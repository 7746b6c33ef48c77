package tierdemo

import (
	"sync"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"
)

// Second has the counts and latencies of one second.
type Second struct {
	Served   int           // turns that were completed
	Late     int           // completed turns whose first event came after the latency target
	Failed   int           // turns that failed
	P50, P99 time.Duration // from a turn's first attempt to its first event; 0 without completed turns
}

// Counts has the totals so far.
type Counts struct {
	Started, Completed, BudgetExhausted, Failed, Interrupted int // programs
	Turns, Late                                              int
	FirstP50, FirstP99, FirstMax                             time.Duration
}

// recorder counts programs and turns by second.
type recorder struct {
	mu      sync.Mutex
	begun   time.Time
	counts  Counts
	all     *hdrhistogram.Histogram
	current *hdrhistogram.Histogram // of the last second in seconds
	seconds []Second
	reasons []string
}

// newHistogram returns a histogram of microseconds up to a minute, with two significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 2)
}

// newRecorder returns a recorder whose first second begins at begun.
func newRecorder(begun time.Time) *recorder {
	return &recorder{begun: begun, all: newHistogram(), current: newHistogram()}
}

// second returns the current second. The caller holds mu.
func (recorder *recorder) second() *Second {
	n := int(time.Since(recorder.begun) / time.Second)
	for len(recorder.seconds) <= n {
		recorder.finishSecond()
		recorder.seconds = append(recorder.seconds, Second{})
	}
	return &recorder.seconds[len(recorder.seconds)-1]
}

// finishSecond computes the percentiles of the last second.
func (recorder *recorder) finishSecond() {
	if n := len(recorder.seconds); n > 0 && recorder.current.TotalCount() > 0 {
		second := &recorder.seconds[n-1]
		second.P50, second.P99 = quantile(recorder.current, 50), quantile(recorder.current, 99)
		recorder.current.Reset()
	}
}

// quantile returns a percentile of a histogram.
func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// turn counts a completed turn; first is the latency of its first event.
func (recorder *recorder) turn(first time.Duration) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	second := recorder.second()
	second.Served++
	recorder.counts.Turns++
	if first > latencyTarget {
		second.Late++
		recorder.counts.Late++
	}
	us := min(max(first.Microseconds(), 1), time.Minute.Microseconds())
	_ = recorder.all.RecordValue(us) // cannot fail: us is within the histogram's range
	_ = recorder.current.RecordValue(us)
}

// turnFailed counts a turn that failed.
func (recorder *recorder) turnFailed() {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.second().Failed++
}

// programStarted counts a program that was started.
func (recorder *recorder) programStarted() {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.counts.Started++
}

// programEnded counts a program that has ended.
func (recorder *recorder) programEnded(outcome Outcome, why string) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	switch outcome {
	case Completed:
		recorder.counts.Completed++
	case BudgetExhausted:
		recorder.counts.BudgetExhausted++
	case Failed:
		recorder.counts.Failed++
		if len(recorder.reasons) < maxExamples {
			recorder.reasons = append(recorder.reasons, why)
		}
	case Interrupted:
		recorder.counts.Interrupted++
	}
}

// totals returns the totals so far.
func (recorder *recorder) totals() Counts {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	c := recorder.counts
	if recorder.all.TotalCount() > 0 {
		c.FirstP50, c.FirstP99, c.FirstMax = quantile(recorder.all, 50), quantile(recorder.all, 99), time.Duration(recorder.all.Max())*time.Microsecond
	}
	return c
}

// series returns all seconds, and the reasons why the first programs failed.
func (recorder *recorder) series() (seconds []Second, reasons []string) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.second()
	recorder.finishSecond()
	return append([]Second(nil), recorder.seconds...), append([]string(nil), recorder.reasons...)
}
