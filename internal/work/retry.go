package work

import (
	"time"
)

// Retry is the retry policy of a kind: exponential backoff with full jitter, within a retry budget.
type Retry struct {
	InitialBackoff time.Duration // upper bound of the wait after the first failure; it doubles with each
	MaxBackoff     time.Duration // up to this
	MaxFailures    int           // in a row, after which it is parked; 0: never
	Ratio          float64       // retries per success
	Credit         float64       // retries that may be saved up
}

// DefaultRetry returns the policy for work that nobody waits for.
func DefaultRetry() Retry {
	return Retry{InitialBackoff: time.Second, MaxBackoff: 10 * time.Minute, MaxFailures: 8, Ratio: 0.1, Credit: 10}
}

// backoff is how long to wait after the n-th failure in a row: anything up to the doubled first one (full jitter), by a
// random number of at least 0 and under 1.
func (r *Retry) backoff(n int, random float64) time.Duration {
	top := r.MaxBackoff
	if n < 30 {
		if d := r.InitialBackoff << (n - 1); d > 0 && d < top {
			top = d
		}
	}
	return time.Duration(random * float64(top))
}

// retryBudget keeps retries a part of successes: when everything fails at once, a few are tried and the others wait.
type retryBudget struct {
	credit float64
}

// recordSuccess earns credit for a success. A retry that succeeds also gets back what it took, so that a backlog of failures drains as
// fast as any work once its cause is gone.
func (b *retryBudget) recordSuccess(r *Retry, retry bool) {
	gain := r.Ratio
	if retry {
		gain++
	}
	b.credit = min(b.credit+gain, max(r.Credit, 1))
}

// creditInterval is how long it takes for one retry to be earned by waiting alone, so that a kind that only fails goes on trying.
const creditInterval = 10 * time.Second

// Breaker is the policy of circuit breakers, of which each resource has one.
type Breaker struct {
	FailureThreshold int           // in a row; 0: never
	OpenTime         time.Duration // after it one job is the trial (half-open)
}

// DefaultBreaker returns the policy for a disk or a peer.
func DefaultBreaker() Breaker { return Breaker{FailureThreshold: 5, OpenTime: 15 * time.Second} }

// breaker is the circuit breaker of one resource.
type breaker struct {
	failures int
	until    time.Duration // open
	open     bool
	trial    ID // half-open: the job that tries the resource; 0: none
	waiting  []*job
}

// admit reports whether a job may use the resource now; with a half-open breaker that job becomes the trial.
func (b *breaker) admit(now time.Duration, id ID) bool {
	if !b.open {
		return true
	}
	if now < b.until || b.trial != 0 && b.trial != id {
		return false
	}
	b.trial = id
	return true
}

// recordResult takes in how a slice on the resource ended, and reports whether the breaker has closed.
func (b *breaker) recordResult(now time.Duration, id ID, failed bool, c *Breaker) (closed bool) {
	if !failed {
		was := b.open
		b.failures, b.open, b.trial = 0, false, 0
		return was
	}
	b.failures++
	if b.trial == id || !b.open && c.FailureThreshold > 0 && b.failures >= c.FailureThreshold {
		b.open, b.trial, b.until = true, 0, now+c.OpenTime
	}
	return false
}
