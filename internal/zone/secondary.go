package zone

import (
	"time"

	"github.com/miekg/dns"
)

// Secondary decides when a primary is asked for a zone: RFC 1034 4.3.5's refresh, retry and expire, with NOTIFY of RFC 1996.
// One thing is asked at a time. Times are of one clock that does not go back.
type Secondary struct {
	Bounds Bounds

	hasVersion        bool // a version is held
	serial            uint32
	times             times
	request           request
	notifiedMeanwhile bool // a NOTIFY came while it was asking
	fullTransfer      bool // the next transfer is whole: a difference did not fit
	next              time.Duration
	expires           time.Duration
	expired           bool
	failures          int
}

// Bounds keep what an SOA asks for within sense.
type Bounds struct {
	MinRefresh, MaxRefresh time.Duration
	MinRetry, MaxRetry     time.Duration
	MinExpire              time.Duration
}

// DefaultBounds suit members who move: a primary whose NOTIFY is lost is noticed within ten minutes.
func DefaultBounds() Bounds {
	return Bounds{MinRefresh: time.Second, MaxRefresh: 10 * time.Minute, MinRetry: time.Second, MaxRetry: time.Minute, MinExpire: time.Minute}
}

type times struct{ refresh, retry, expire time.Duration }

type request int

const (
	idle request = iota
	askingSerial
	transferring
)

// SecondaryEvent is what happened: exactly one field is set, or none where only time has passed.
type SecondaryEvent struct {
	Serial        *uint32  // the primary's SOA has this serial
	Version       *dns.SOA // a transfer was whole, and gave this version
	Failed        bool     // what was asked for failed, or was refused
	DeltaRejected bool     // a difference did not fit: the primary's history is not ours
	Notified      *uint32  // the primary says that there is news; 0 where it names no serial
}

// SecondaryAction is what is to be done now.
type SecondaryAction int

// The actions.
const (
	QuerySerial         SecondaryAction = iota // ask for the SOA
	TransferIncremental                        // IXFR from the version held
	TransferFull                               // AXFR
	Expire                                     // the zone answers no more, until a transfer is whole
)

// Resume says which version is held from an earlier process, and how long ago the primary last confirmed it.
func (s *Secondary) Resume(now time.Duration, soa *dns.SOA, age time.Duration) {
	s.adoptVersion(now, soa)
	s.expires = now - age + s.times.expire
	s.next = now
}

// Next is when Step wants to be called at the latest.
func (s *Secondary) Next() time.Duration {
	n := s.next
	if s.request != idle {
		n = time.Duration(1<<63 - 1)
	}
	if s.hasVersion && !s.expired {
		n = min(n, s.expires)
	}
	return n
}

// Expired reports whether the zone answers no more.
func (s *Secondary) Expired() bool { return s.expired }

// Failures is how many times in a row the primary failed.
func (s *Secondary) Failures() int { return s.failures }

// Step takes in what happened and says what is to be done.
func (s *Secondary) Step(now time.Duration, e SecondaryEvent) []SecondaryAction {
	var acts []SecondaryAction
	switch {
	case e.Serial != nil && s.request == askingSerial:
		s.request = idle
		if !s.hasVersion || s.expired && *e.Serial != s.serial || NewerSerial(*e.Serial, s.serial) {
			acts = append(acts, s.transfer())
		} else {
			s.confirmed(now, *e.Serial)
		}
	case e.Version != nil && s.request == transferring:
		s.request, s.fullTransfer = idle, false
		s.adoptVersion(now, e.Version)
	case e.DeltaRejected && s.request == transferring:
		s.fullTransfer = true
		acts = append(acts, s.transfer())
	case e.Failed && s.request != idle:
		s.request = idle
		s.failures++
		s.next = now + s.retryDelay()
	case e.Notified != nil:
		if s.hasVersion && *e.Notified != 0 && !NewerSerial(*e.Notified, s.serial) && !s.expired {
			break // we have that
		}
		if s.request != idle {
			s.notifiedMeanwhile = true
		} else {
			s.next = now
		}
	}
	if s.hasVersion && !s.expired && now >= s.expires {
		s.expired = true
		acts = append(acts, Expire)
	}
	if s.request == idle && (s.notifiedMeanwhile || now >= s.next) {
		s.notifiedMeanwhile = false
		if s.hasVersion {
			s.request = askingSerial
			acts = append(acts, QuerySerial)
		} else {
			acts = append(acts, s.transfer())
		}
	}
	return acts
}

func (s *Secondary) transfer() SecondaryAction {
	s.request = transferring
	if s.hasVersion && !s.fullTransfer {
		return TransferIncremental
	}
	return TransferFull
}

// confirmed books that what is held is what the primary has. A primary whose serial went back confirms nothing of what is
// held, and does not make it expire the sooner.
func (s *Secondary) confirmed(now time.Duration, serial uint32) {
	s.failures = 0
	s.next = now + s.times.refresh
	if serial == s.serial {
		s.expires = now + s.times.expire
		s.expired = false
	}
}

func (s *Secondary) adoptVersion(now time.Duration, soa *dns.SOA) {
	sec := func(n uint32) time.Duration { return time.Duration(n) * time.Second }
	b := s.Bounds
	s.times = times{refresh: min(max(sec(soa.Refresh), b.MinRefresh), b.MaxRefresh),
		retry: min(max(sec(soa.Retry), b.MinRetry), b.MaxRetry)}
	// Expire is at least a refresh and a retry (RFC 1912 2.2), or the zone would go on and off.
	s.times.expire = max(sec(soa.Expire), b.MinExpire, s.times.refresh+2*s.times.retry)
	s.hasVersion, s.serial = true, soa.Serial
	s.confirmed(now, soa.Serial)
}

// retryDelay is the pause after a failure: the SOA's, or before any the least, doubling to the most.
func (s *Secondary) retryDelay() time.Duration {
	if s.hasVersion {
		return s.times.retry
	}
	return min(s.Bounds.MinRetry<<min(s.failures-1, 10), s.Bounds.MaxRetry)
}
