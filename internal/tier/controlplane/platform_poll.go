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
	// pushIntervalDivisor is for the minimum interval of pushes within a scan: each push goes to all sessions.
	pushIntervalDivisor = 12
	// quickScanDivisor is for the longest scan whose changes are pushed together at its end.
	quickScanDivisor = 4
)

const (
	// rateHeadroom is the ratio of the platform's rate to the rate of the calls that are made. Only the primary makes calls.
	rateHeadroom = 1.5
	// maxRetries bounds the retries of failed calls within one scan. In an overloaded process a call may time out while the
	// platform is healthy. Without a retry the whole scan would fail, and a draining endpoint would be noticed a scan and its
	// backoff later.
	maxRetries = 3
	// retryDelay is the delay before the retry of a call that failed for another reason than the rate limit.
	retryDelay = 50 * time.Millisecond
	// minPollInterval is the minimum time from the begin or end of a scan to the next scan.
	minPollInterval = 50 * time.Millisecond
	// backoffFactor is the factor by which the interval grows with each consecutive failure, up to maxBackoffSteps of them.
	backoffFactor   = 1.5
	maxBackoffSteps = 3
	// maxPages bounds a scan.
	maxPages = 10_000
	// notPrimaryPollPause is how long a process that is not the primary waits, if pollNow does not wake it.
	notPrimaryPollPause = time.Hour
)

// errNoLongerPrimary is the error of a scan during which this process ceased to be the primary.
var errNoLongerPrimary = errors.New("no longer the primary")

// endlessListError reports that the pages of the platform's list do not come to an end.
type endlessListError struct{ problem string }

// Error implements error.
func (err endlessListError) Error() string { return err.problem }

// pollPlatform reads the platform's list periodically while this process is the primary, until ctx ends.
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
					plane.Log.Info().Str("event", "platform_answers").Int("failures", failures).Msg("reading the platform's list succeeded again")
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

// pollInterval returns the time from the begin of one scan to the next: a fraction of the drain time, but no shorter than the
// platform's rate allows for the number of pages, and longer after failures.
func (plane *ControlPlane) pollInterval(pages, failures int) time.Duration {
	interval := plane.Settings.DrainTimeout / pollDivisor
	if rate := plane.Settings.CloudRate; rate > 0 {
		interval = max(interval, time.Duration(float64(max(pages, 1))*rateHeadroom/rate*float64(time.Second)))
	}
	backoff := math.Pow(backoffFactor, float64(min(failures, maxBackoffSteps)))
	return time.Duration(float64(max(interval, minPollInterval)) * backoff)
}

// scanPlatform reads the whole list, and publishes the changes of each page as it arrives. It retries failed calls, maxRetries
// times in all, before it gives up. It returns the number of calls that count against the platform's rate, and
// errNoLongerPrimary, an endlessListError, an error of fetchPage, or that of ctx.
func (plane *ControlPlane) scanPlatform(ctx context.Context, epoch uint64) (calls int, err error) {
	defer plane.publishPending(epoch)
	plane.beginScan(epoch)
	token, retries := "", 0
	spacing := time.Duration(0) // between calls: none until the platform rejects one
	seen := map[string]bool{}   // tokens
	for calls < maxPages {
		if now, primary := plane.Store.Primary(); !primary || now != epoch {
			return calls, errNoLongerPrimary // only the primary makes calls
		}
		calls++
		page, err := plane.fetchPage(ctx, token)
		var limited rateLimitedError
		rejected := errors.As(err, &limited)
		if err != nil && retries < maxRetries && !(rejected && token == "") { // a rejection of the first page ends the scan
			retries++
			if rejected {
				spacing = plane.callSpacing()
				calls-- // a rejected call does not count against the rate
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
			return calls, endlessListError{fmt.Sprintf("page token %q was returned twice", token)}
		}
		seen[token] = true
		if spacing > 0 && !sleep(ctx, spacing) {
			return calls, ctx.Err()
		}
	}
	return calls, endlessListError{"the platform's list has too many pages"}
}

// callSpacing returns the time from one call to the next at the platform's rate, with headroom; 0 if no rate is known.
func (plane *ControlPlane) callSpacing() time.Duration {
	rate := plane.Settings.CloudRate
	if rate <= 0 {
		return 0
	}
	return time.Duration(rateHeadroom / rate * float64(time.Second))
}

// awaitRetry waits until a call that failed with err may be retried, and returns whether it may be retried within this scan. A
// rate-limited call is retried at the platform's rate, because otherwise a list with more pages than the platform's burst limit
// would never be read. It is not retried if no rate is known, or if Retry-After is longer than the drain time divided by
// pollDivisor.
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
