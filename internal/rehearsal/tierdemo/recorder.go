package tierdemo

import (
	"sync"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"
)

// Second is one second of a rehearsal.
type Second struct {
	Served   int           // turns that ended whole
	Late     int           // of them, those whose first event came after the aim
	Failed   int           // turns given up
	P50, P99 time.Duration // from a turn's first try to its first event; 0 without turns
}

// Counts are figures of a whole rehearsal, or of it so far.
type Counts struct {
	Asked, Whole, Spent, Failed, Ended int // programs
	Turns, Late                        int
	FirstP50, FirstP99, FirstMost      time.Duration
}

// recorder counts by second.
type recorder struct {
	mu      sync.Mutex
	begun   time.Time
	counts  Counts
	all     *hdrhistogram.Histogram
	current *hdrhistogram.Histogram // of the last second
	seconds []Second
	reasons []string
}

// Histograms hold microseconds up to a minute, to two digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 2)
}

func newRecorder(begun time.Time) *recorder {
	return &recorder{begun: begun, all: newHistogram(), current: newHistogram()}
}

// second gives the one that now is in. The caller holds mu.
func (r *recorder) second() *Second {
	n := int(time.Since(r.begun) / time.Second)
	for len(r.seconds) <= n {
		r.close()
		r.seconds = append(r.seconds, Second{})
	}
	return &r.seconds[len(r.seconds)-1]
}

// close reckons the last second's percentiles.
func (r *recorder) close() {
	if n := len(r.seconds); n > 0 && r.current.TotalCount() > 0 {
		s := &r.seconds[n-1]
		s.P50, s.P99 = quantile(r.current, 50), quantile(r.current, 99)
		r.current.Reset()
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// turn counts one that ended whole; its first event came after first.
func (r *recorder) turn(first time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.second()
	s.Served++
	r.counts.Turns++
	if first > aimTime {
		s.Late++
		r.counts.Late++
	}
	us := min(max(first.Microseconds(), 1), time.Minute.Microseconds())
	_ = r.all.RecordValue(us) // it is within its bounds
	_ = r.current.RecordValue(us)
}

func (r *recorder) turnFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.second().Failed++
}

func (r *recorder) asked() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Asked++
}

func (r *recorder) ended(o Outcome, why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch o {
	case Whole:
		r.counts.Whole++
	case Spent:
		r.counts.Spent++
	case Failed:
		r.counts.Failed++
		if len(r.reasons) < howMost {
			r.reasons = append(r.reasons, why)
		}
	case Ended:
		r.counts.Ended++
	}
}

func (r *recorder) counted() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts
	if r.all.TotalCount() > 0 {
		c.FirstP50, c.FirstP99, c.FirstMost = quantile(r.all, 50), quantile(r.all, 99), time.Duration(r.all.Max())*time.Microsecond
	}
	return c
}

// series gives all seconds.
func (r *recorder) series() (seconds []Second, reasons []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.second()
	r.close()
	return append([]Second(nil), r.seconds...), append([]string(nil), r.reasons...)
}
