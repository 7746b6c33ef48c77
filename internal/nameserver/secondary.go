package nameserver

import (
	"context"
	"errors"
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/zone"
)

const (
	queryTimeout    = 3 * time.Second  // of a query for the SOA
	connectTimeout  = 3 * time.Second  // of connecting for a transfer
	messageTimeout  = 10 * time.Second // until the next message of a transfer
	transferTimeout = time.Minute      // of a complete transfer
	confirmInterval = 10 * time.Second // minimum time between two records in the store that the primary confirmed the version
)

// secondary keeps a secondary zone up to date with its primary; zone.Secondary decides when to send which request.
type secondary struct {
	zone   *managedZone
	keys   *Keyring
	events chan zone.SecondaryEvent // received NOTIFYs
	clock  func() time.Duration
}

func newSecondary(z *managedZone, keys *Keyring, clock func() time.Duration) *secondary {
	return &secondary{zone: z, keys: keys, events: make(chan zone.SecondaryEvent, 16), clock: clock}
}

// notify queues a NOTIFY. If the queue is full it is dropped, as those in the queue have the same effect.
func (s *secondary) notify(serial uint32) {
	select {
	case s.events <- zone.SecondaryEvent{Notified: &serial}:
	default:
	}
}

// run keeps the zone up to date until ctx ends.
func (s *secondary) run(ctx context.Context) {
	state := zone.Secondary{Bounds: zone.DefaultBounds()}
	if s.zone.config.Bounds != nil {
		state.Bounds = *s.zone.config.Bounds
	}
	now := s.clock()
	if current := s.zone.current.Load(); current.Zone != nil {
		state.Resume(now, current.SOA(), s.zone.store.age(time.Now()))
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	ended := make(chan zone.SecondaryEvent, 1)
	var confirmed time.Duration
	for {
		var e zone.SecondaryEvent
		select {
		case <-ctx.Done():
			return
		case e = <-s.events:
		case e = <-ended:
		case <-timer.C:
		}
		now = s.clock()
		failuresBefore := state.Failures()
		for _, a := range state.Step(now, e) {
			if a == zone.Expire {
				s.zone.log.Error("the zone has expired: its primary did not confirm it in time", "primary", s.zone.config.Primary)
				s.zone.expire()
				continue
			}
			go func() { ended <- s.do(ctx, a) }()
		}
		if e.Serial != nil && s.zone.current.Load().expired && !state.Expired() { // the primary confirmed the expired version
			if err := s.zone.replace(s.zone.current.Load().Zone, nil); err != nil {
				s.zone.log.Error("the primary's confirmation of an expired zone can't be adopted", "err", err)
			}
		}
		if (e.Serial != nil || e.Version != nil) && now-confirmed > confirmInterval {
			confirmed = now
			if err := s.zone.store.confirm(time.Now()); err != nil && !isNotExist(err) {
				s.zone.log.Warn("the primary's confirmation can't be recorded", "err", err)
			}
		}
		if failuresBefore > 0 && state.Failures() == 0 {
			s.zone.log.Info("the primary answers again", "primary", s.zone.config.Primary)
		}
		timer.Reset(max(0, min(state.Next()-s.clock(), time.Hour)))
	}
}

// do sends the request of an action to the primary and returns the result as an event.
func (s *secondary) do(ctx context.Context, a zone.SecondaryAction) zone.SecondaryEvent {
	failed := func(what string, err error) zone.SecondaryEvent {
		if ctx.Err() == nil {
			s.zone.log.Warn("the primary fails", "primary", s.zone.config.Primary, "what", what, "err", err)
		}
		return zone.SecondaryEvent{Failed: true}
	}
	if a == zone.QuerySerial {
		serial, err := s.serial(ctx)
		if err != nil {
			return failed("serial", err)
		}
		return zone.SecondaryEvent{Serial: &serial}
	}
	current := s.zone.current.Load()
	before := current.Zone
	if a == zone.TransferFull {
		before = nil
	}
	rrs, err := s.transfer(ctx, before)
	var next *zone.Zone
	var deltas []*zone.Delta
	if err == nil {
		next, deltas, err = zone.FromTransfer(s.zone.config.Name, before, rrs)
	}
	if err != nil && a == zone.TransferIncremental && ctx.Err() == nil && (errors.Is(err, zone.ErrDeltaMismatch) || errors.Is(err, zone.ErrTransfer) || errors.Is(err, errNoIXFR)) {
		s.zone.log.Warn("the primary's differences can't be applied; a full transfer is requested", "primary", s.zone.config.Primary, "err", err)
		return zone.SecondaryEvent{DeltaRejected: true}
	}
	if err == nil {
		err = s.zone.replace(next, deltas)
	}
	if err != nil {
		return failed("transfer", err)
	}
	s.zone.log.Info("zone transferred from its primary", "serial", next.Serial(), "records", next.Records(), "differences", len(deltas))
	return zone.SecondaryEvent{Version: next.SOA()}
}

func (s *secondary) sign(m *dns.Msg) error {
	if s.zone.config.Key == "" {
		return nil
	}
	return s.keys.Sign(m, s.zone.config.Key, time.Now().Unix())
}

// serial queries the SOA by UDP, and by TCP if the answer is truncated, and returns its serial.
func (s *secondary) serial(ctx context.Context) (uint32, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	for _, network := range []string{"udp", "tcp"} {
		q := new(dns.Msg).SetQuestion(s.zone.config.Name, dns.TypeSOA)
		q.RecursionDesired = false
		if err := s.sign(q); err != nil {
			return 0, err
		}
		c := dns.Client{Net: network, Timeout: queryTimeout, TsigProvider: s.keys}
		r, _, err := c.ExchangeContext(ctx, q, s.zone.config.Primary)
		if err != nil {
			return 0, err
		}
		if s.zone.config.Key != "" && !signedBy(r, s.zone.config.Key) {
			return 0, errUnsigned
		}
		if r.Truncated && network == "udp" {
			continue
		}
		if r.Rcode != dns.RcodeSuccess {
			return 0, &RcodeError{Rcode: r.Rcode}
		}
		for _, rr := range r.Answer {
			if soa, ok := rr.(*dns.SOA); ok && zone.Name(soa.Hdr.Name) == s.zone.config.Name {
				return soa.Serial, nil
			}
		}
		return 0, errNoSOA
	}
	return 0, errTruncatedAnswer
}

func signedBy(m *dns.Msg, key string) bool {
	t := m.IsTsig()
	return t != nil && zone.Name(t.Hdr.Name) == zone.Name(key) && t.Error == dns.RcodeSuccess
}
