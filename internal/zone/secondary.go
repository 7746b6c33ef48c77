package zone

import (
	"time"

	"github.com/miekg/dns"
)

// Secondary is the state machine of a secondary zone: it decides when to send which request to the primary, by refresh, retry and expire
// (RFC 1034 4.3.5) and NOTIFY (RFC 1996). At most one request is in flight. Times are of a monotonic clock.
type Secondary struct {
	Bounds Bounds

	hasVersion        bool // there is a version, possibly expired
	serial            uint32
	times             times
	request           request
	notifiedMeanwhile bool // a NOTIFY came during the request
	fullTransfer      bool // the next transfer is a full one, as a difference did not apply
	next              time.Duration
	expires           time.Duration
	expired           bool
	failures          int
}

// Bounds limit the timers of an SOA.
type Bounds struct {
	MinRefresh, MaxRefresh time.Duration
	MinRetry, MaxRetry     time.Duration
	MinExpire              time.Duration
}

// DefaultBounds returns bounds with which a change is noticed within ten minutes even if its NOTIFY is lost.
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

// SecondaryEvent is what happened: exactly one field is set, or none if only time has passed.
type SecondaryEvent struct {
	Serial        *uint32  // the primary's SOA has this serial
	Version       *dns.SOA // a transfer was complete, and gave this version
	Failed        bool     // the request failed, or was refused
	DeltaRejected bool     // a difference did not apply: the primary's history differs from ours
	Notified      *uint32  // the primary notified of a change; 0 if it named no serial
}

// SecondaryAction is an action that Step requests.
type SecondaryAction int

// The actions.
const (
	QuerySerial         SecondaryAction = iota // query the SOA
	TransferIncremental                        // IXFR from the current version
	TransferFull                               // AXFR
	Expire                                     // stop answering until a transfer is complete
)

// Resume sets the version that an earlier process stored, and its age since the primary last confirmed it.
func (s *Secondary) Resume(now time.Duration, soa *dns.SOA, age time.Duration) {
	s.adoptVersion(now, soa)
	s.expires = now - age + s.times.expire
	s.next = now
}

// Next returns the latest time at which Step must be called.
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

// Expired reports whether the zone has expired.
func (s *Secondary) Expired() bool { return s.expired }

// Failures returns the number of consecutive failed requests.
func (s *Secondary) Failures() int { return s.failures }

// Step processes an event and returns the resulting actions.
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
			break // the version is current
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

// confirmed records a successful request and schedules the next refresh. Only the serial of the current version renews the expire timer:
// an older serial confirms nothing, and does not make the zone expire sooner either.
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
	// Expire must exceed a refresh plus a retry (RFC 1912 2.2), or the zone would expire and come back repeatedly.
	s.times.expire = max(sec(soa.Expire), b.MinExpire, s.times.refresh+2*s.times.retry)
	s.hasVersion, s.serial = true, soa.Serial
	s.confirmed(now, soa.Serial)
}

// retryDelay returns the backoff after a failure: the SOA's retry, or, before there is a version, MinRetry, which doubles up to MaxRetry.
func (s *Secondary) retryDelay() time.Duration {
	if s.hasVersion {
		return s.times.retry
	}
	return min(s.Bounds.MinRetry<<min(s.failures-1, 10), s.Bounds.MaxRetry)
}
