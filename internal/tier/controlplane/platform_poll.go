package controlplane

import (
	"context"
	"math"
	"time"

	"github.com/joomcode/errorx"
)

const (
	pollDivisor  = 3                      // of the drain time: the list is asked for so often, if the platform's rate allows it
	rateHeadroom = 1.5                    // the platform takes so many times the calls that are made: only the primary makes any
	callTimeout  = 500 * time.Millisecond // for one page
	// In a process that is overloaded a call may miss its limit while the platform is well. Without a repeat the whole
	// reading would be lost with it, and a draining endpoint be heard of a reading and its backoff later.
	maxRetries      = 3 // calls for pages that did not come, in one reading
	retryDelay      = 50 * time.Millisecond
	backoffFactor   = 1.5 // longer after each failure in a row
	maxBackoffSteps = 3   // failures that count
	maxPageBytes    = 16 << 20
	maxPages        = 10_000
	// pushIntervalDivisor is a part of the drain time: what pages tell is pushed no more often, as a push goes to all sessions.
	pushIntervalDivisor = 12
	// quickScanDivisor is a part of the drain time: a list that is read within it is pushed when it is whole.
	quickScanDivisor = 4
)

// pollPlatform asks the platform for its list while this process is the primary.
func (plane *ControlPlane) pollPlatform(ctx context.Context) {
	if plane.Settings.CloudAddress == "" {
		return
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	failures := 0
	for {
		pause := time.Hour // until this process is the primary
		v, ok := plane.primary()
		if v.ready {
			pause = plane.pollInterval(1, 0)
		}
		if ok {
			began := time.Now()
			calls, wait, err := plane.scanPlatform(ctx, v.epoch)
			pause = plane.pollInterval(calls, failures)
			switch {
			case errorx.IsOfType(err, errNoLongerPrimary): // nothing is wrong with the platform
			case err != nil:
				if ctx.Err() == nil && failures == 0 {
					plane.Log.Warn().Str("event", "platform_silent").Str("error", err.Error()).Msg("")
				}
				failures++
				pause = max(wait, plane.pollInterval(calls, failures))
			default:
				if failures > 0 {
					plane.Log.Info().Str("event", "platform_answers").Int("failures", failures).Msg("")
				}
				failures = 0
			}
			pause = max(pause-time.Since(began), 50*time.Millisecond)
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

// pollInterval is the time from one reading of the list to the next.
func (plane *ControlPlane) pollInterval(pages, failures int) time.Duration {
	d := plane.Settings.DrainTimeout / pollDivisor
	if rate := plane.Settings.CloudRate; rate > 0 {
		d = max(d, time.Duration(float64(max(pages, 1))*rateHeadroom/rate*float64(time.Second)))
	}
	return time.Duration(float64(max(d, 50*time.Millisecond)) * math.Pow(backoffFactor, float64(min(failures, maxBackoffSteps))))
}

// scanPlatform reads the list, and publishes what its pages tell as they come. Before it gives up, it asks again for pages that
// did not come, repeatsMost times in all. It tells how many calls the platform had to answer, and how long it asks to wait
// after a refusal.
func (plane *ControlPlane) scanPlatform(ctx context.Context, epoch uint64) (calls int, wait time.Duration, err error) {
	defer plane.publishPending(epoch)
	plane.beginScan(epoch)
	token, repeats := "", 0
	spacing := time.Duration(0) // between calls: none until the platform refuses one
	seen := map[string]bool{}
	for calls < maxPages {
		if now, primary := plane.Store.Primary(); !primary || now != epoch {
			return calls, 0, errNoLongerPrimary.New("epoch %d", epoch) // the calls are another's to make
		}
		calls++
		p, wait, err := plane.fetchPage(ctx, token)
		refused := errorx.IsOfType(err, errPlatformRefuses)
		if err != nil && repeats < maxRetries && !(refused && token == "") { // a refusal of the first page ends the reading
			repeats++
			if refused {
				spacing = plane.callSpacing()
				calls-- // it took none of what the rate allows
			}
			if plane.awaitRetry(ctx, err, wait) {
				continue
			}
		}
		if err != nil {
			return calls, wait, err
		}
		last := p.Next == nil || *p.Next == ""
		plane.addPage(epoch, p.endpoints(), last)
		if last {
			return calls, 0, nil
		}
		token = *p.Next
		if seen[token] {
			return calls, 0, errorx.IllegalFormat.New("page %q leads back to itself", token)
		}
		seen[token] = true
		if spacing > 0 && !sleep(ctx, spacing) {
			return calls, 0, ctx.Err()
		}
	}
	return calls, 0, errorx.IllegalFormat.New("the list has no end")
}

// errNoLongerPrimary is the type of the error of a reading during which this process ceased to be the primary.
var errNoLongerPrimary = errorx.NewType(errorx.NewNamespace("controlplane"), "no_longer_primary")

// callSpacing is the time from one call to the next at the platform's rate, with room; 0 where no rate is known.
func (plane *ControlPlane) callSpacing() time.Duration {
	rate := plane.Settings.CloudRate
	if rate <= 0 {
		return 0
	}
	return time.Duration(rateHeadroom / rate * float64(time.Second))
}

// awaitRetry waits until a call that failed with err may be made again, and tells whether it may within this reading. One
// that was refused is made again at the platform's rate, unless the platform asks to wait for longer than a reading is worth:
// a list with more pages than calls are taken at once would never be read otherwise.
func (plane *ControlPlane) awaitRetry(ctx context.Context, err error, wait time.Duration) bool {
	if !errorx.IsOfType(err, errPlatformRefuses) {
		return sleep(ctx, retryDelay)
	}
	spacing := plane.callSpacing()
	if spacing == 0 || wait > plane.Settings.DrainTimeout/pollDivisor {
		return false
	}
	return sleep(ctx, max(wait, spacing))
}

// sleep waits for d, and tells whether ctx goes on.
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
