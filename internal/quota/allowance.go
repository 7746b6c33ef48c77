package quota

import "time"

// usageBuckets is the granularity of a usage log: a cool-down is divided into so many buckets, and uses within one count as one, at its
// end. So the log of a million units is no longer than that of a thousand, at the cost of four thousandths of what could be used.
const usageBuckets = 256

// Allowance is what a sender may use of one limit. It is asked at the moment at which a call is written. It is not safe for concurrent use;
// see Allowances.
type Allowance struct {
	limit    Limit
	drift    float64
	coolDown time.Duration // of what is in the usage log; longer than the limit's if that was so when it was used

	granted       int64         // by the owner
	expiresAt     time.Duration // of the grant
	peakGranted   int64         // the most units that were granted while what cools down now was used
	reserve       int64         // the sender's own units
	reserveFrom   time.Duration // until then an earlier process may have used the reserve or the extra
	usageLog      []usageRecord // that cool down, oldest first
	cooling       int64         // units of the usage log
	inFlight      int64         // Concurrent: units of calls in flight
	spent         int64         // Daily: units that this process has used in all
	spentReported int64         // of those, as the last request told
}

type usageRecord struct {
	bucketEnd time.Duration
	units     int64
}

// NewAllowance makes the allowance of a process that begins now: nothing is granted. reserved is whether the sender is among those that have a
// reserve.
func NewAllowance(l Limit, drift float64, reserved bool, now time.Duration) *Allowance {
	a := &Allowance{reserveFrom: now}
	a.SetLimit(l, drift, reserved, now)
	return a
}

// SetLimit replaces the limit. What was used goes on cooling down, for the longer of both cool-downs.
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

// expireUsage drops from the usage log what has cooled down.
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

// grantedAt is how many units are granted at a time.
func (a *Allowance) grantedAt(now time.Duration) int64 {
	if now >= a.expiresAt {
		return 0
	}
	return a.granted
}

// grantedInUse is how many of the granted units are in flight or cooling: the reserve is used first.
func (a *Allowance) grantedInUse() int64 { return max(0, a.cooling+a.inFlight-a.reserve) }

// capacity is how many units may be in flight and cooling in all.
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

// Take uses units, or returns false if so many are not available.
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

// recordUsage starts the cool-down of units, as of the end of the bucket that now lies in.
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

// Release records that a call has ended; its units cool down if the limit is of Concurrent calls.
func (a *Allowance) Release(units int64, now time.Duration) {
	if a.limit.Kind == Concurrent {
		a.inFlight -= units
		a.recordUsage(units, now)
	}
}

// Undo gives units back that were taken for a call which was not written. Units of a bucket that is over cool down as if they were used.
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

// Available is how many units may be used now, and, if none, when the next one may: Never if it takes another grant.
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

// Never is a time that does not come.
const Never = time.Duration(1<<63 - 1)

// Relinquish gives up granted units, for a request to tell: from now on the client holds no more than held, and cooling of those it gave up
// cool down for another coolingTime. It holds keep units, or more if they are in use by calls in flight.
func (a *Allowance) Relinquish(keep int64, now time.Duration) (held, cooling int64, coolingTime time.Duration) {
	a.expireUsage(now)
	granted := a.grantedAt(now)
	if a.limit.Kind == Daily {
		a.granted, a.spentReported = min(a.grantedAt(now), max(0, keep)), a.spent
		return a.granted, 0, 0
	}
	keep = max(0, min(keep, granted))
	held = max(keep, min(a.peakGranted, max(0, a.inFlight-a.reserve)))
	if cooling = min(a.peakGranted, a.grantedInUse()) - held; cooling > 0 { // the newest use cools down last
		coolingTime = a.usageLog[len(a.usageLog)-1].bucketEnd + a.coolDown - now
	} else {
		cooling = 0
	}
	a.granted, a.peakGranted = min(a.granted, held), max(held, min(a.peakGranted, a.grantedInUse()))
	return held, cooling, coolingTime
}

// Renew replaces what was granted by the owner's answer to a request that was sent at requestedAt; the grant lasts for duration from then.
func (a *Allowance) Renew(units int64, requestedAt, duration, now time.Duration) {
	a.expireUsage(now)
	if requestedAt+duration <= now {
		return
	}
	if a.limit.Kind == Daily { // some of it was used since the request
		units -= a.spent - a.spentReported
	}
	a.granted, a.expiresAt = units, requestedAt+duration
	a.peakGranted = max(a.peakGranted, units)
}

// RecentUsage is how many units are used within a cool-down, extrapolated from the last half of one, and those in flight.
func (a *Allowance) RecentUsage(now time.Duration) (units int64) {
	for i := len(a.usageLog) - 1; i >= 0 && a.usageLog[i].bucketEnd > now-a.coolDown/2; i-- {
		units += a.usageLog[i].units
	}
	return 2*units + a.inFlight
}

// Spent is how many units of a daily quota this process has used.
func (a *Allowance) Spent() int64 { return a.spent }

// Status is how many units are granted, how many of them are in flight or cooling, and when the grant expires.
func (a *Allowance) Status(now time.Duration) (granted, inUse int64, expiresAt time.Duration) {
	a.expireUsage(now)
	return a.grantedAt(now), a.grantedInUse(), a.expiresAt
}
