package quota

import (
	"time"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// demand returns the demand to send for one limit and gives up units that are not needed. granted is the number of units that the owner
// granted last. idle reports that no units are wanted, held or in use, so that no request is needed.
func (e *allowanceEntry) demand(key string, granted int64, now time.Duration) (d *pb.QuotaDemand, idle bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d = &pb.QuotaDemand{Key: key, MinUseful: 1}
	held, inUse, _ := e.allowance.Status(now)
	waiting := max(e.waiting.Load(), e.missing)
	e.missing = 0
	if e.limit.Kind == Bytes {
		d.MinUseful, e.largestUse = e.largestUse, max(1, e.largestUse*9/10)
	}
	d.Wanted = e.wanted(d.MinUseful, held, inUse, waiting, now)
	keep := granted
	if e.rotating {
		keep = max(0, held-inUse) // used units rotate to the next client
	} else if d.Wanted == 0 && waiting == 0 {
		keep = 0
	}
	var coolingTime time.Duration
	d.Held, d.Cooling, coolingTime = e.allowance.Relinquish(keep, now)
	d.CoolingUs = coolingTime.Microseconds() + 1 // rounded up
	d.Spent = e.allowance.Spent()
	if e.observedLimit > 0 {
		d.ObservedLimit, d.ObservedAgeUs = e.observedLimit, (now - e.observedAt).Microseconds()
	}
	return d, d.Wanted == 0 && held == 0 && inUse == 0 && waiting == 0
}

// wanted returns the number of units that this sender could use within a cool-down.
func (e *allowanceEntry) wanted(minUseful, held, inUse, waiting int64, now time.Duration) int64 {
	// Recent usage counts as demand, so that demand does not oscillate.
	wanted := min(e.limit.maxGrantable(), waiting+e.allowance.RecentUsage(now))
	if e.limit.Kind == Daily {
		wanted = min(e.limit.Grantable(), waiting)
	}
	// A sender that uses less than half of its units despite a backlog can't use them: its calls fail or are limited by something else.
	switch {
	case waiting == 0 || held > 0 && inUse*2 >= held:
		e.underusedSince = 0
	case e.limit.Kind == Daily: // inUse does not measure the use of a daily quota, as its used units are not held any more
	case held > minUseful && e.underusedSince == 0:
		e.underusedSince = now
	}
	if e.underusedSince > 0 && now-e.underusedSince > 2*e.limit.CoolDown(0) {
		wanted = min(wanted, max(2*inUse, minUseful))
	}
	if e.rotating && waiting == 0 {
		return 0
	}
	return wanted
}
