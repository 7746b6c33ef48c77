package quota

import "time"

// usageBuckets is into how many parts a rest is cut: uses within one part are remembered as one, at its end. So a purse of a million
// units is no larger than one of a thousand, and loses four thousandths of what it could use.
const usageBuckets = 256

// Allowance is what a sender holds of one limit. It is asked at the very moment at which a call is written.
type Allowance struct {
	limit    Limit
	drift    float64
	coolDown time.Duration // of what was used; longer than the limit's if that was so when it was used

	granted       int64         // lent
	expiresAt     time.Duration // the loan lapses
	peakGranted   int64         // the most that was held while what rests now was used
	reserve       int64         // its own, for ever
	reserveFrom   time.Duration // an earlier process may have used the floor, or what goes beyond, until then
	usageLog      []usage       // that rest, the oldest first
	cooling       int64         // units of those
	inFlight      int64         // AtOnce: in use by calls that are out
	spent         int64         // Daily: all that this process has used
	spentReported int64         // and of that, as the last question told
}

type usage struct {
	endsAt time.Duration
	units  int64
}

// NewAllowance makes the purse of a process that begins now: it holds nothing. floor is whether the sender is among those that have one.
func NewAllowance(l Limit, drift float64, reserved bool, now time.Duration) *Allowance {
	p := &Allowance{reserveFrom: now}
	p.SetLimit(l, drift, reserved, now)
	return p
}

// SetLimit takes over what the limit is now. What was used goes on resting, for the longer of both spans.
func (p *Allowance) SetLimit(l Limit, drift float64, floor bool, now time.Duration) {
	was := p.limit
	p.limit, p.drift, p.coolDown, p.reserve = l, drift, max(l.CoolDown(drift), p.coolDown), 0
	if floor && l.Kind != Daily {
		p.reserve = l.Reserve
	}
	if was.Key == "" || was.Reserve < l.Reserve || was.CutOffExtra < l.CutOffExtra {
		p.reserveFrom = now + l.ReclaimDelay(drift)
	}
}

// expireUsage lets go of what has rested.
func (p *Allowance) expireUsage(now time.Duration) {
	n := 0
	for n < len(p.usageLog) && p.usageLog[n].endsAt+p.coolDown <= now {
		p.cooling -= p.usageLog[n].units
		n++
	}
	if n > 0 {
		p.usageLog = append(p.usageLog[:0], p.usageLog[n:]...)
	}
	if len(p.usageLog) == 0 {
		p.coolDown = p.limit.CoolDown(p.drift)
	}
	if p.cooling+p.inFlight == 0 || p.peakGranted > p.grantedAt(now) && p.grantedInUse() <= p.grantedAt(now) {
		p.peakGranted = p.grantedAt(now)
	}
}

// grantedAt is what the loan allows.
func (p *Allowance) grantedAt(now time.Duration) int64 {
	if now >= p.expiresAt {
		return 0
	}
	return p.granted
}

// grantedInUse is what of the lent units is in use or rests: the floor is used first.
func (p *Allowance) grantedInUse() int64 { return max(0, p.cooling+p.inFlight-p.reserve) }

// capacity is how many units may be in use and at rest, all in all.
func (p *Allowance) capacity(now time.Duration) int64 {
	all := p.grantedAt(now)
	if now >= p.reserveFrom {
		all += p.reserve
		if now >= p.expiresAt {
			all += p.limit.CutOffExtra
		}
	}
	return all
}

// Take uses units; false if they are not there.
func (p *Allowance) Take(units int64, now time.Duration) bool {
	p.expireUsage(now)
	if p.cooling+p.inFlight+units > p.capacity(now) {
		return false
	}
	switch p.limit.Kind {
	case Concurrent:
		p.inFlight += units
	case Daily:
		p.granted -= units
		p.spent += units
	default:
		p.recordUsage(units, now)
	}
	return true
}

// recordUsage begins the rest of units, as of the end of the grain that now lies in.
func (p *Allowance) recordUsage(units int64, now time.Duration) {
	grain := max(1, p.coolDown/usageBuckets)
	at := (now/grain + 1) * grain
	if n := len(p.usageLog); n > 0 && p.usageLog[n-1].endsAt >= at {
		p.usageLog[n-1].units += units
	} else {
		p.usageLog = append(p.usageLog, usage{at, units})
	}
	p.cooling += units
}

// Release is that a call has ended which used units at once.
func (p *Allowance) Release(units int64, now time.Duration) {
	if p.limit.Kind == Concurrent {
		p.inFlight -= units
		p.recordUsage(units, now)
	}
}

// Undo is that units were taken and the call was not written after all.
func (p *Allowance) Undo(units int64, now time.Duration) {
	switch p.limit.Kind {
	case Concurrent:
		p.inFlight -= units
	case Daily:
		p.spent -= units
		if now < p.expiresAt {
			p.granted += units
		}
	default:
		if n := len(p.usageLog); n > 0 && p.usageLog[n-1].units >= units && p.usageLog[n-1].endsAt > now {
			p.usageLog[n-1].units -= units
			p.cooling -= units
		} // else it rests like one that was used
	}
}

// Available is how many units may be used now, and when the next one may if none: Never without a loan that brings one.
func (p *Allowance) Available(now time.Duration) (units int64, next time.Duration) {
	p.expireUsage(now)
	all := p.capacity(now)
	if units = all - p.cooling - p.inFlight; units > 0 {
		return units, now
	}
	need := p.cooling + p.inFlight - all
	for _, u := range p.usageLog {
		if need -= u.units; need < 0 && all > 0 {
			return 0, u.endsAt + p.coolDown
		}
	}
	return 0, Never
}

// Never is a time that does not come.
const Never = time.Duration(1<<63 - 1)

// Relinquish is what the purse tells with a question: it goes on with holds at the most, and lets go of the rest, of which rests units
// rest for so long yet. keep is how many it wants to go on with; it may have to go on with more, in use by calls that are out.
func (p *Allowance) Relinquish(keep int64, now time.Duration) (holds, rests int64, left time.Duration) {
	p.expireUsage(now)
	lent := p.grantedAt(now)
	if p.limit.Kind == Daily {
		p.granted, p.spentReported = min(p.grantedAt(now), max(0, keep)), p.spent
		return p.granted, 0, 0
	}
	keep = max(0, min(keep, lent))
	holds = max(keep, min(p.peakGranted, max(0, p.inFlight-p.reserve)))
	if rests = min(p.peakGranted, p.grantedInUse()) - holds; rests > 0 { // the newest of all that rest ends last
		left = p.usageLog[len(p.usageLog)-1].endsAt + p.coolDown - now
	} else {
		rests = 0
	}
	p.granted, p.peakGranted = min(p.granted, holds), max(holds, min(p.peakGranted, p.grantedInUse()))
	return holds, rests, left
}

// Renew takes over what the authority lends in answer to a question that went out at asked: in place of what was held before.
func (p *Allowance) Renew(units int64, asked, length, now time.Duration) {
	p.expireUsage(now)
	if asked+length <= now {
		return
	}
	if p.limit.Kind == Daily { // some of it was used since the question
		units -= p.spent - p.spentReported
	}
	p.granted, p.expiresAt = units, asked+length
	p.peakGranted = max(p.peakGranted, units)
}

// RecentUsage is how many units are used within a rest, as the last half of one has it.
func (p *Allowance) RecentUsage(now time.Duration) (units int64) {
	for i := len(p.usageLog) - 1; i >= 0 && p.usageLog[i].endsAt > now-p.coolDown/2; i-- {
		units += p.usageLog[i].units
	}
	return 2*units + p.inFlight
}

// Spent is how many units of a day's this process has used.
func (p *Allowance) Spent() int64 { return p.spent }

// Status is what is lent, to when, and how much of it is used or rests.
func (p *Allowance) Status(now time.Duration) (units, busy int64, until time.Duration) {
	p.expireUsage(now)
	return p.grantedAt(now), p.grantedInUse(), p.expiresAt
}
