package work

import (
	"time"
)

// Retry is the retry policy of a kind: exponential backoff with full jitter, within a retry budget.
type Retry struct {
	InitialBackoff time.Duration // upper bound of the wait after the first failure; doubles with each further one
	MaxBackoff     time.Duration // limit of that upper bound
	MaxFailures    int           // consecutive failures after which the job is parked; 0: never
	Ratio          float64       // retries per success
	Credit         float64       // retries that may be saved up
}

// DefaultRetry returns the policy for work that nobody waits for.
func DefaultRetry() Retry {
	return Retry{InitialBackoff: time.Second, MaxBackoff: 10 * time.Minute, MaxFailures: 8, Ratio: 0.1, Credit: 10}
}

// backoff returns how long to wait after the n-th consecutive failure: random, a number from 0 to under 1, times the exponential upper
// bound (full jitter).
func (r *Retry) backoff(n int, random float64) time.Duration {
	top := r.MaxBackoff
	if n < 30 {
		if d := r.InitialBackoff << (n - 1); d > 0 && d < top {
			top = d
		}
	}
	return time.Duration(random * float64(top))
}

// retryBudget limits retries to a fraction of successes: when all jobs fail at once, a few are retried and the others wait.
type retryBudget struct {
	credit float64
}

// recordSuccess earns credit for a success. A retry that succeeds also returns the credit that it took, so that a backlog of
// failed jobs drains as fast as other work once the cause of the failures is gone.
func (b *retryBudget) recordSuccess(r *Retry, retry bool) {
	gain := r.Ratio
	if retry {
		gain++
	}
	b.credit = min(b.credit+gain, max(r.Credit, 1))
}

// creditInterval is the time in which a kind earns one retry without any success, so that a kind whose jobs all fail keeps retrying.
const creditInterval = 10 * time.Second

// Breaker is the policy of the circuit breakers. Each resource has one breaker.
type Breaker struct {
	FailureThreshold int           // consecutive failures that open the breaker; 0: never
	OpenTime         time.Duration // after which one job is admitted as the trial (half-open)
}

// DefaultBreaker returns the policy for a disk or a peer.
func DefaultBreaker() Breaker { return Breaker{FailureThreshold: 5, OpenTime: 15 * time.Second} }

// breaker is the circuit breaker of one resource.
type breaker struct {
	failures int
	until    time.Duration // end of OpenTime
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

// recordResult records how a slice that uses the resource ended, and reports whether that closed the breaker.
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
