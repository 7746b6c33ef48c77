package quota

import "time"

// grains is into how many parts a rest is cut: uses within one part are remembered as one, at its end. So a purse of a million
// units is no larger than one of a thousand, and loses four thousandths of what it could use.
const grains = 256

// Purse is what a sender holds of one limit. It is asked at the very moment at which a call is written.
type Purse struct {
	limit Limit
	drift float64
	rest  time.Duration // of what was used; longer than the limit's if that was so when it was used

	units int64         // lent
	until time.Duration // the loan lapses
	had   int64         // the most that was held while what rests now was used
	floor int64         // its own, for ever
	from  time.Duration // an earlier process may have used the floor, or what goes beyond, until then
	uses  []use         // that rest, the oldest first
	rests int64         // units of those
	out   int64         // AtOnce: in use by calls that are out
	spent int64         // Daily: all that this process has used
	told  int64         // and of that, as the last question told
}

type use struct {
	at    time.Duration
	units int64
}

// NewPurse makes the purse of a process that begins now: it holds nothing. floor is whether the sender is among those that have one.
func NewPurse(l Limit, drift float64, floor bool, now time.Duration) *Purse {
	p := &Purse{from: now}
	p.Change(l, drift, floor, now)
	return p
}

// Change takes over what the limit is now. What was used goes on resting, for the longer of both spans.
func (p *Purse) Change(l Limit, drift float64, floor bool, now time.Duration) {
	was := p.limit
	p.limit, p.drift, p.rest, p.floor = l, drift, max(l.Rest(drift), p.rest), 0
	if floor && l.Sort != Daily {
		p.floor = l.Floor
	}
	if was.Key == "" || was.Floor < l.Floor || was.Over < l.Over {
		p.from = now + l.Tail(drift)
	}
}

// settle lets go of what has rested.
func (p *Purse) settle(now time.Duration) {
	n := 0
	for n < len(p.uses) && p.uses[n].at+p.rest <= now {
		p.rests -= p.uses[n].units
		n++
	}
	if n > 0 {
		p.uses = append(p.uses[:0], p.uses[n:]...)
	}
	if len(p.uses) == 0 {
		p.rest = p.limit.Rest(p.drift)
	}
	if p.rests+p.out == 0 || p.had > p.lent(now) && p.busy() <= p.lent(now) {
		p.had = p.lent(now)
	}
}

// lent is what the loan allows.
func (p *Purse) lent(now time.Duration) int64 {
	if now >= p.until {
		return 0
	}
	return p.units
}

// busy is what of the lent units is in use or rests: the floor is used first.
func (p *Purse) busy() int64 { return max(0, p.rests+p.out-p.floor) }

// allowed is how many units may be in use and at rest, all in all.
func (p *Purse) allowed(now time.Duration) int64 {
	all := p.lent(now)
	if now >= p.from {
		all += p.floor
		if now >= p.until {
			all += p.limit.Over
		}
	}
	return all
}

// Take uses units; false if they are not there.
func (p *Purse) Take(units int64, now time.Duration) bool {
	p.settle(now)
	if p.rests+p.out+units > p.allowed(now) {
		return false
	}
	switch p.limit.Sort {
	case AtOnce:
		p.out += units
	case Daily:
		p.units -= units
		p.spent += units
	default:
		p.rested(units, now)
	}
	return true
}

// rested begins the rest of units, as of the end of the grain that now lies in.
func (p *Purse) rested(units int64, now time.Duration) {
	grain := max(1, p.rest/grains)
	at := (now/grain + 1) * grain
	if n := len(p.uses); n > 0 && p.uses[n-1].at >= at {
		p.uses[n-1].units += units
	} else {
		p.uses = append(p.uses, use{at, units})
	}
	p.rests += units
}

// Over is that a call has ended which used units at once.
func (p *Purse) Over(units int64, now time.Duration) {
	if p.limit.Sort == AtOnce {
		p.out -= units
		p.rested(units, now)
	}
}

// Undo is that units were taken and the call was not written after all.
func (p *Purse) Undo(units int64, now time.Duration) {
	switch p.limit.Sort {
	case AtOnce:
		p.out -= units
	case Daily:
		p.spent -= units
		if now < p.until {
			p.units += units
		}
	default:
		if n := len(p.uses); n > 0 && p.uses[n-1].units >= units && p.uses[n-1].at > now {
			p.uses[n-1].units -= units
			p.rests -= units
		} // else it rests like one that was used
	}
}

// Free is how many units may be used now, and when the next one may if none: Never without a loan that brings one.
func (p *Purse) Free(now time.Duration) (units int64, next time.Duration) {
	p.settle(now)
	all := p.allowed(now)
	if units = all - p.rests - p.out; units > 0 {
		return units, now
	}
	need := p.rests + p.out - all
	for _, u := range p.uses {
		if need -= u.units; need < 0 && all > 0 {
			return 0, u.at + p.rest
		}
	}
	return 0, Never
}

// Never is a time that does not come.
const Never = time.Duration(1<<63 - 1)

// Promise is what the purse tells with a question: it goes on with holds at the most, and lets go of the rest, of which rests units
// rest for so long yet. keep is how many it wants to go on with; it may have to go on with more, in use by calls that are out.
func (p *Purse) Promise(keep int64, now time.Duration) (holds, rests int64, left time.Duration) {
	p.settle(now)
	lent := p.lent(now)
	if p.limit.Sort == Daily {
		p.units, p.told = min(p.lent(now), max(0, keep)), p.spent
		return p.units, 0, 0
	}
	keep = max(0, min(keep, lent))
	holds = max(keep, min(p.had, max(0, p.out-p.floor)))
	if rests = min(p.had, p.busy()) - holds; rests > 0 { // the newest of all that rest ends last
		left = p.uses[len(p.uses)-1].at + p.rest - now
	} else {
		rests = 0
	}
	p.units, p.had = min(p.units, holds), max(holds, min(p.had, p.busy()))
	return holds, rests, left
}

// Lent takes over what the authority lends in answer to a question that went out at asked: in place of what was held before.
func (p *Purse) Lent(units int64, asked, length, now time.Duration) {
	p.settle(now)
	if asked+length <= now {
		return
	}
	if p.limit.Sort == Daily { // some of it was used since the question
		units -= p.spent - p.told
	}
	p.units, p.until = units, asked+length
	p.had = max(p.had, units)
}

// Pace is how many units are used within a rest, as the last half of one has it.
func (p *Purse) Pace(now time.Duration) (units int64) {
	for i := len(p.uses) - 1; i >= 0 && p.uses[i].at > now-p.rest/2; i-- {
		units += p.uses[i].units
	}
	return 2*units + p.out
}

// Spent is how many units of a day's this process has used.
func (p *Purse) Spent() int64 { return p.spent }

// Holds is what is lent, to when, and how much of it is used or rests.
func (p *Purse) Holds(now time.Duration) (units, busy int64, until time.Duration) {
	p.settle(now)
	return p.lent(now), p.busy(), p.until
}
