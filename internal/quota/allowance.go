package quota

import "time"

// usageBuckets is the number of buckets per cool-down in a usage log. The uses within one bucket are merged into one record, whose
// cool-down starts at the end of the bucket. So the log for a million units is no longer than the log for a thousand, at the cost of four
// thousandths of the usable units.
const usageBuckets = 256

// Allowance is the number of units of one limit that a sender may use. It is checked when a call is written. It is not safe for concurrent
// use; see Allowances.
type Allowance struct {
	limit    Limit
	drift    float64
	coolDown time.Duration // of units in the usage log; longer than the limit's if they were used under a longer cool-down

	granted       int64         // by the owner
	expiresAt     time.Duration // of the grant
	peakGranted   int64         // maximum of granted while the units that cool down now were used
	reserve       int64         // units that this sender has without a grant
	reserveFrom   time.Duration // until this time an earlier process may be using reserve or PartitionExtra
	usageLog      []usageRecord // uses that cool down, oldest first
	cooling       int64         // units in usageLog
	inFlight      int64         // Concurrent: units of calls in flight
	spent         int64         // Daily: units used by this process
	spentReported int64         // spent, as of the last request
}

type usageRecord struct {
	bucketEnd time.Duration
	units     int64
}

// NewAllowance returns the allowance of a process that starts now, without a grant. reserved reports whether the sender is among those with
// a reserve.
func NewAllowance(l Limit, drift float64, reserved bool, now time.Duration) *Allowance {
	a := &Allowance{reserveFrom: now}
	a.SetLimit(l, drift, reserved, now)
	return a
}

// SetLimit replaces the limit. Used units continue to cool down, for the longer of both cool-downs.
func (a *Allowance) SetLimit(l Limit, drift float64, reserved bool, now time.Duration) {
	former := a.limit
	a.limit, a.drift, a.coolDown, a.reserve = l, drift, max(l.CoolDown(drift), a.coolDown), 0
	if reserved && l.Kind != Daily {
		a.reserve = l.Reserve
	}
	if former.Key == "" || former.Reserve < l.Reserve || former.PartitionExtra < l.PartitionExtra {
		a.reserveFrom = now + l.ReclaimDelay(drift)
	}
}

// expireUsage removes units that have cooled down from the usage log.
func (a *Allowance) expireUsage(now time.Duration) {
	n := 0
	for n < len(a.usageLog) && a.usageLog[n].bucketEnd+a.coolDown <= now {
		a.cooling -= a.usageLog[n].units
		n++
	}
	if n > 0 {
		a.usageLog = append(a.usageLog[:0], a.usageLog[n:]...)
	}
	if len(a.usageLog) == 0 {
		a.coolDown = a.limit.CoolDown(a.drift)
	}
	if a.cooling+a.inFlight == 0 || a.peakGranted > a.grantedAt(now) && a.grantedInUse() <= a.grantedAt(now) {
		a.peakGranted = a.grantedAt(now)
	}
}

// grantedAt returns the number of granted units at a time; 0 once the grant has expired.
func (a *Allowance) grantedAt(now time.Duration) int64 {
	if now >= a.expiresAt {
		return 0
	}
	return a.granted
}

// grantedInUse returns the number of granted units in flight or cooling; the reserve is used before granted units.
func (a *Allowance) grantedInUse() int64 { return max(0, a.cooling+a.inFlight-a.reserve) }

// capacity returns the maximum number of units in flight and cooling.
func (a *Allowance) capacity(now time.Duration) int64 {
	all := a.grantedAt(now)
	if now >= a.reserveFrom {
		all += a.reserve
		if now >= a.expiresAt {
			all += a.limit.PartitionExtra
		}
	}
	return all
}

// Take uses units, or returns false if fewer units are available.
func (a *Allowance) Take(units int64, now time.Duration) bool {
	a.expireUsage(now)
	if a.cooling+a.inFlight+units > a.capacity(now) {
		return false
	}
	switch a.limit.Kind {
	case Concurrent:
		a.inFlight += units
	case Daily:
		a.granted -= units
		a.spent += units
	default:
		a.recordUsage(units, now)
	}
	return true
}

// recordUsage starts the cool-down of units at the end of the current bucket.
func (a *Allowance) recordUsage(units int64, now time.Duration) {
	bucket := max(1, a.coolDown/usageBuckets)
	at := (now/bucket + 1) * bucket
	if n := len(a.usageLog); n > 0 && a.usageLog[n-1].bucketEnd >= at {
		a.usageLog[n-1].units += units
	} else {
		a.usageLog = append(a.usageLog, usageRecord{at, units})
	}
	a.cooling += units
}

// Release records that a call has ended. If the limit is of kind Concurrent, its units start to cool down.
func (a *Allowance) Release(units int64, now time.Duration) {
	if a.limit.Kind == Concurrent {
		a.inFlight -= units
		a.recordUsage(units, now)
	}
}

// Undo returns units that were taken for a call which was not written. Units of a bucket that has ended cool down as if they were used.
func (a *Allowance) Undo(units int64, now time.Duration) {
	switch a.limit.Kind {
	case Concurrent:
		a.inFlight -= units
	case Daily:
		a.spent -= units
		if now < a.expiresAt {
			a.granted += units
		}
	default:
		if n := len(a.usageLog); n > 0 && a.usageLog[n-1].units >= units && a.usageLog[n-1].bucketEnd > now {
			a.usageLog[n-1].units -= units
			a.cooling -= units
		}
	}
}

// Available returns the number of units that may be used now and, if there are none, when the next unit becomes available; Never if that
// requires another grant.
func (a *Allowance) Available(now time.Duration) (units int64, next time.Duration) {
	a.expireUsage(now)
	all := a.capacity(now)
	if units = all - a.cooling - a.inFlight; units > 0 {
		return units, now
	}
	need := a.cooling + a.inFlight - all
	for _, u := range a.usageLog {
		if need -= u.units; need < 0 && all > 0 {
			return 0, u.bucketEnd + a.coolDown
		}
	}
	return 0, Never
}

// Never is later than any time.
const Never = time.Duration(1<<63 - 1)

// Relinquish gives up granted units and returns the values to report in a request: from now on the client holds at most held units.
// cooling is the number of units given up that still cool down, the last of them for another coolingTime. held is at most keep, or more if
// calls in flight use more units.
func (a *Allowance) Relinquish(keep int64, now time.Duration) (held, cooling int64, coolingTime time.Duration) {
	a.expireUsage(now)
	granted := a.grantedAt(now)
	if a.limit.Kind == Daily {
		a.granted, a.spentReported = min(a.grantedAt(now), max(0, keep)), a.spent
		return a.granted, 0, 0
	}
	keep = max(0, min(keep, granted))
	held = max(keep, min(a.peakGranted, max(0, a.inFlight-a.reserve)))
	if cooling = min(a.peakGranted, a.grantedInUse()) - held; cooling > 0 { // the latest use is the last to cool down
		coolingTime = a.usageLog[len(a.usageLog)-1].bucketEnd + a.coolDown - now
	} else {
		cooling = 0
	}
	a.granted, a.peakGranted = min(a.granted, held), max(held, min(a.peakGranted, a.grantedInUse()))
	return held, cooling, coolingTime
}

// Renew replaces the grant by the owner's reply to a request sent at requestedAt; the new grant expires duration after requestedAt.
func (a *Allowance) Renew(units int64, requestedAt, duration, now time.Duration) {
	a.expireUsage(now)
	if requestedAt+duration <= now {
		return
	}
	if a.limit.Kind == Daily { // subtract units used since the request
		units -= a.spent - a.spentReported
	}
	a.granted, a.expiresAt = units, requestedAt+duration
	a.peakGranted = max(a.peakGranted, units)
}

// RecentUsage returns the number of units used per cool-down, extrapolated from the last half of one, plus the units in flight.
func (a *Allowance) RecentUsage(now time.Duration) (units int64) {
	for i := len(a.usageLog) - 1; i >= 0 && a.usageLog[i].bucketEnd > now-a.coolDown/2; i-- {
		units += a.usageLog[i].units
	}
	return 2*units + a.inFlight
}

// Spent returns the number of units of a daily quota that this process has used.
func (a *Allowance) Spent() int64 { return a.spent }

// Status returns the number of granted units, how many of them are in flight or cooling, and when the grant expires.
func (a *Allowance) Status(now time.Duration) (granted, inUse int64, expiresAt time.Duration) {
	a.expireUsage(now)
	return a.grantedAt(now), a.grantedInUse(), a.expiresAt
}
