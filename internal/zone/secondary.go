package zone

import (
	"time"

	"github.com/miekg/dns"
)

// Secondary decides when a primary is asked for a zone: RFC 1034 4.3.5's refresh, retry and expire, with NOTIFY of RFC 1996.
// One thing is asked at a time. Times are of one clock that does not go back.
type Secondary struct {
	Bounds Bounds

	held    bool // a version is held
	serial  uint32
	times   times
	asking  doing
	again   bool // a NOTIFY came while it was asking
	whole   bool // the next transfer is whole: a difference did not fit
	next    time.Duration
	expires time.Duration
	expired bool
	fails   int
}

// Bounds keep what an SOA asks for within sense.
type Bounds struct {
	RefreshLeast, RefreshMost time.Duration
	RetryLeast, RetryMost     time.Duration
	ExpireLeast               time.Duration
}

// DefaultBounds suit members who move: a primary whose NOTIFY is lost is noticed within ten minutes.
func DefaultBounds() Bounds {
	return Bounds{RefreshLeast: time.Second, RefreshMost: 10 * time.Minute, RetryLeast: time.Second, RetryMost: time.Minute, ExpireLeast: time.Minute}
}

type times struct{ refresh, retry, expire time.Duration }

type doing int

const (
	nothing doing = iota
	askingSerial
	transferring
)

// SecondaryEvent is what happened: exactly one field is set, or none where only time has passed.
type SecondaryEvent struct {
	Serial   *uint32  // the primary's SOA has this serial
	Version  *dns.SOA // a transfer was whole, and gave this version
	Failed   bool     // what was asked for failed, or was refused
	Misfit   bool     // a difference did not fit: the primary's history is not ours
	Notified *uint32  // the primary says that there is news; 0 where it names no serial
}

// SecondaryAction is what is to be done now.
type SecondaryAction int

// The actions.
const (
	AskSerial   SecondaryAction = iota // ask for the SOA
	Transfer                           // IXFR from the version held
	TransferAll                        // AXFR
	Expire                             // the zone answers no more, until a transfer is whole
)

// Resume says which version is held from an earlier process, and how long ago the primary last confirmed it.
func (s *Secondary) Resume(now time.Duration, soa *dns.SOA, age time.Duration) {
	s.version(now, soa)
	s.expires = now - age + s.times.expire
	s.next = now
}

// Next is when Step wants to be called at the latest.
func (s *Secondary) Next() time.Duration {
	n := s.next
	if s.asking != nothing {
		n = time.Duration(1<<63 - 1)
	}
	if s.held && !s.expired {
		n = min(n, s.expires)
	}
	return n
}

// Serial is the version held.
func (s *Secondary) Serial() (serial uint32, held bool) { return s.serial, s.held }

// Expired reports whether the zone answers no more.
func (s *Secondary) Expired() bool { return s.expired }

// Fails is how many times in a row the primary failed.
func (s *Secondary) Fails() int { return s.fails }

// Step takes in what happened and says what is to be done.
func (s *Secondary) Step(now time.Duration, e SecondaryEvent) []SecondaryAction {
	var acts []SecondaryAction
	switch {
	case e.Serial != nil && s.asking == askingSerial:
		s.asking = nothing
		if !s.held || s.expired && *e.Serial != s.serial || NewerSerial(*e.Serial, s.serial) {
			acts = append(acts, s.transfer())
		} else {
			s.confirmed(now, *e.Serial)
		}
	case e.Version != nil && s.asking == transferring:
		s.asking, s.whole = nothing, false
		s.version(now, e.Version)
	case e.Misfit && s.asking == transferring:
		s.whole = true
		acts = append(acts, s.transfer())
	case e.Failed && s.asking != nothing:
		s.asking = nothing
		s.fails++
		s.next = now + s.retry()
	case e.Notified != nil:
		if s.held && *e.Notified != 0 && !NewerSerial(*e.Notified, s.serial) && !s.expired {
			break // we have that
		}
		if s.asking != nothing {
			s.again = true
		} else {
			s.next = now
		}
	}
	if s.held && !s.expired && now >= s.expires {
		s.expired = true
		acts = append(acts, Expire)
	}
	if s.asking == nothing && (s.again || now >= s.next) {
		s.again = false
		if s.held {
			s.asking = askingSerial
			acts = append(acts, AskSerial)
		} else {
			acts = append(acts, s.transfer())
		}
	}
	return acts
}

func (s *Secondary) transfer() SecondaryAction {
	s.asking = transferring
	if s.held && !s.whole {
		return Transfer
	}
	return TransferAll
}

// confirmed books that what is held is what the primary has. A primary whose serial went back confirms nothing of what is
// held, and does not make it expire the sooner.
func (s *Secondary) confirmed(now time.Duration, serial uint32) {
	s.fails = 0
	s.next = now + s.times.refresh
	if serial == s.serial {
		s.expires = now + s.times.expire
		s.expired = false
	}
}

func (s *Secondary) version(now time.Duration, soa *dns.SOA) {
	sec := func(n uint32) time.Duration { return time.Duration(n) * time.Second }
	b := s.Bounds
	s.times = times{refresh: min(max(sec(soa.Refresh), b.RefreshLeast), b.RefreshMost),
		retry: min(max(sec(soa.Retry), b.RetryLeast), b.RetryMost)}
	// Expire is at least a refresh and a retry (RFC 1912 2.2), or the zone would go on and off.
	s.times.expire = max(sec(soa.Expire), b.ExpireLeast, s.times.refresh+2*s.times.retry)
	s.held, s.serial = true, soa.Serial
	s.confirmed(now, soa.Serial)
}

// retry is the pause after a failure: the SOA's, or before any the least, doubling to the most.
func (s *Secondary) retry() time.Duration {
	if s.held {
		return s.times.retry
	}
	return min(s.Bounds.RetryLeast<<min(s.fails-1, 10), s.Bounds.RetryMost)
}
