package work

import (
	"time"
)

// Retry is how a failing job is tried again.
type Retry struct {
	First  time.Duration // the most that is waited after the first failure; it doubles
	Most   time.Duration // up to this
	Fails  int           // in a row, after which it is parked; 0: never
	Ratio  float64       // retries may be this part of successes
	Credit float64       // and so many more
}

// DefaultRetry suits work that nobody waits for.
func DefaultRetry() Retry {
	return Retry{First: time.Second, Most: 10 * time.Minute, Fails: 8, Ratio: 0.1, Credit: 10}
}

// pause is how long to wait after the n-th failure in a row: anything up to the doubled first one (full jitter), by a
// random number of at least 0 and under 1.
func (r *Retry) pause(n int, random float64) time.Duration {
	top := r.Most
	if n < 30 {
		if d := r.First << (n - 1); d > 0 && d < top {
			top = d
		}
	}
	return time.Duration(random * float64(top))
}

// retryBudget keeps retries a part of successes: when everything fails at once, a few are tried and the others wait.
type retryBudget struct {
	credit float64
}

// succeeded books a success; a retry that succeeds gives back what it took, so that a backlog of failures goes as fast as any
// work once its cause is gone.
func (b *retryBudget) succeeded(r *Retry, retry bool) {
	gain := r.Ratio
	if retry {
		gain++
	}
	b.credit = min(b.credit+gain, max(r.Credit, 1))
}

// earnBack is how long it takes for one retry to be earned by waiting alone, so that a kind that only fails goes on trying.
const earnBack = 10 * time.Second

// Breaker is when a resource counts as broken.
type Breaker struct {
	Fails int           // in a row; 0: never
	Pause time.Duration // it is left alone so long; then one job tries it
}

// DefaultBreaker suits a disk or a peer.
func DefaultBreaker() Breaker { return Breaker{Fails: 5, Pause: 15 * time.Second} }

// breaker is one resource's state.
type breaker struct {
	fails   int
	until   time.Duration // open
	open    bool
	trying  ID // half-open: this job tries
	waiting []*job
}

// passes reports whether a job may lean on the resource now; with a breaker that is half-open it becomes the one that tries.
func (b *breaker) passes(now time.Duration, id ID) bool {
	if !b.open {
		return true
	}
	if now < b.until || b.trying != 0 && b.trying != id {
		return false
	}
	b.trying = id
	return true
}

// ended books how a slice on the resource ended, and reports whether the breaker has closed.
func (b *breaker) ended(now time.Duration, id ID, failed bool, c *Breaker) (closed bool) {
	if !failed {
		was := b.open
		b.fails, b.open, b.trying = 0, false, 0
		return was
	}
	b.fails++
	if b.trying == id || !b.open && c.Fails > 0 && b.fails >= c.Fails {
		b.open, b.trying, b.until = true, 0, now+c.Pause
	}
	return false
}
