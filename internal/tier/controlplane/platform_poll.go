package controlplane

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"
)

// Divisors of the drain time (guarantees.drain_timeout_ms).
const (
	// pollDivisor is for the interval at which the list is read, if the platform's rate allows it.
	pollDivisor = 3
	// pushIntervalDivisor is for the least interval of pushes within a scan: each push goes to all sessions.
	pushIntervalDivisor = 12
	// quickScanDivisor is for the time of a scan within which its changes are pushed at its end, all at once.
	quickScanDivisor = 4
)

const (
	// rateHeadroom is how many times the calls that are made the platform's rate allows: only the primary makes any.
	rateHeadroom = 1.5
	// maxRetries is for the pages of one scan that did not come. In a process that is overloaded a call may miss its time-out
	// while the platform is well. Without a retry the whole scan would be lost with it, and a draining endpoint be noticed
	// a scan and its backoff later.
	maxRetries = 3
	// retryDelay is before a retry after a call without an answer.
	retryDelay = 50 * time.Millisecond
	// minPollInterval is the least time from the begin or end of a scan to the next.
	minPollInterval = 50 * time.Millisecond
	// backoffFactor is by how much the interval grows with each failure in a row, up to maxBackoffSteps of them.
	backoffFactor   = 1.5
	maxBackoffSteps = 3
	// maxPages bounds a scan.
	maxPages = 10_000
	// notPrimaryPollPause is how long a process that is not the primary waits, if pollNow does not wake it.
	notPrimaryPollPause = time.Hour
)

// errNoLongerPrimary says that this process ceased to be the primary during a scan.
var errNoLongerPrimary = errors.New("no longer the primary")

// endlessListError says that the platform's list does not end.
type endlessListError struct{ problem string }

// Error implements error.
func (err endlessListError) Error() string { return err.problem }

// pollPlatform reads the platform's list again and again while this process is the primary, until ctx ends.
func (plane *ControlPlane) pollPlatform(ctx context.Context) {
	if plane.Settings.CloudAddress == "" {
		return
	}
	timer := time.NewTimer(notPrimaryPollPause)
	defer timer.Stop()
	failures := 0 // in a row
	for {
		pause := notPrimaryPollPause
		state, ok := plane.primary()
		if state.ready {
			pause = plane.pollInterval(1, 0)
		}
		if ok {
			began := time.Now()
			calls, err := plane.scanPlatform(ctx, state.epoch)
			pause = plane.pollInterval(calls, failures)
			switch {
			case errors.Is(err, errNoLongerPrimary): // nothing is wrong with the platform
			case err != nil:
				if ctx.Err() == nil && failures == 0 {
					plane.Log.Warn().Str("event", "platform_silent").Str("error", err.Error()).Msg("failed to read the platform's list")
				}
				failures++
				var limited rateLimitedError
				errors.As(err, &limited)
				pause = max(limited.retryAfter, plane.pollInterval(calls, failures))
			default:
				if failures > 0 {
					plane.Log.Info().Str("event", "platform_answers").Int("failures", failures).Msg("read the platform's list again")
				}
				failures = 0
			}
			pause = max(pause-time.Since(began), minPollInterval)
		}
		timer.Reset(pause)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-plane.pollNow:
		}
	}
}

// pollInterval returns the time from the begin of one scan to the next: by the drain time, but no shorter than the
// platform's rate allows for so many pages, and longer after failures.
func (plane *ControlPlane) pollInterval(pages, failures int) time.Duration {
	interval := plane.Settings.DrainTimeout / pollDivisor
	if rate := plane.Settings.CloudRate; rate > 0 {
		interval = max(interval, time.Duration(float64(max(pages, 1))*rateHeadroom/rate*float64(time.Second)))
	}
	backoff := math.Pow(backoffFactor, float64(min(failures, maxBackoffSteps)))
	return time.Duration(float64(max(interval, minPollInterval)) * backoff)
}

// scanPlatform reads the whole list, and publishes what its pages bring as they come. It retries pages that did not come,
// maxRetries times in all, before it gives up. It returns how many calls the platform's rate had to allow, and
// errNoLongerPrimary, an endlessListError, an error of fetchPage, or that of ctx.
func (plane *ControlPlane) scanPlatform(ctx context.Context, epoch uint64) (calls int, err error) {
	defer plane.publishPending(epoch)
	plane.beginScan(epoch)
	token, retries := "", 0
	spacing := time.Duration(0) // between calls: none until the platform rejects one
	seen := map[string]bool{}   // tokens
	for calls < maxPages {
		if now, primary := plane.Store.Primary(); !primary || now != epoch {
			return calls, errNoLongerPrimary // the calls are another's to make
		}
		calls++
		page, err := plane.fetchPage(ctx, token)
		var limited rateLimitedError
		rejected := errors.As(err, &limited)
		if err != nil && retries < maxRetries && !(rejected && token == "") { // a rejection of the first page ends the scan
			retries++
			if rejected {
				spacing = plane.callSpacing()
				calls-- // it took none of what the rate allows
			}
			if plane.awaitRetry(ctx, err) {
				continue
			}
		}
		if err != nil {
			return calls, err
		}
		plane.addPage(epoch, page.endpoints(), page.isLast())
		if page.isLast() {
			return calls, nil
		}
		token = *page.Next
		if seen[token] {
			return calls, endlessListError{fmt.Sprintf("page %q leads back to itself", token)}
		}
		seen[token] = true
		if spacing > 0 && !sleep(ctx, spacing) {
			return calls, ctx.Err()
		}
	}
	return calls, endlessListError{"the list has no end"}
}

// callSpacing returns the time from one call to the next at the platform's rate, with headroom; 0 where no rate is known.
func (plane *ControlPlane) callSpacing() time.Duration {
	rate := plane.Settings.CloudRate
	if rate <= 0 {
		return 0
	}
	return time.Duration(rateHeadroom / rate * float64(time.Second))
}

// awaitRetry waits until a call that failed with err may be retried, and tells whether it may within this scan. One that was
// rejected is retried at the platform's rate, unless the platform asks to wait for longer than a scan is worth: a list with
// more pages than calls are accepted at once would never be read otherwise.
func (plane *ControlPlane) awaitRetry(ctx context.Context, err error) bool {
	var limited rateLimitedError
	if !errors.As(err, &limited) {
		return sleep(ctx, retryDelay)
	}
	spacing := plane.callSpacing()
	if spacing == 0 || limited.retryAfter > plane.Settings.DrainTimeout/pollDivisor {
		return false
	}
	return sleep(ctx, max(limited.retryAfter, spacing))
}

// sleep waits for d, and returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
