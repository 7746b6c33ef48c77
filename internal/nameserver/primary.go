package nameserver

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/zone"
)

const (
	queryTimeout    = 3 * time.Second  // a question for a SOA
	connectTimeout  = 3 * time.Second  // a transfer's connection
	messageTimeout  = 10 * time.Second // and the next message of it
	transferTimeout = time.Minute      // all of it
	confirmInterval = 10 * time.Second // that the primary was heard of is noted so often at most
)

// secondary follows one zone at its primary.
type secondary struct {
	zone   *managedZone
	keys   *Keyring
	events chan zone.SecondaryEvent // NOTIFYs, and how what was asked for ended
	clock  func() time.Duration
}

func newSecondary(z *managedZone, keys *Keyring, clock func() time.Duration) *secondary {
	return &secondary{zone: z, keys: keys, events: make(chan zone.SecondaryEvent, 16), clock: clock}
}

// notify passes a NOTIFY on. When many wait already it is dropped: they say the same.
func (s *secondary) notify(serial uint32) {
	select {
	case s.events <- zone.SecondaryEvent{Notified: &serial}:
	default:
	}
}

// run follows until ctx ends.
func (s *secondary) run(ctx context.Context) {
	rules := zone.Secondary{Bounds: zone.DefaultBounds()}
	if s.zone.config.Bounds != nil {
		rules.Bounds = *s.zone.config.Bounds
	}
	now := s.clock()
	if held := s.zone.current.Load(); held.Zone != nil {
		rules.Resume(now, held.SOA(), s.zone.store.age(time.Now()))
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
		fails := rules.Failures()
		for _, a := range rules.Step(now, e) {
			if a == zone.Expire {
				s.zone.log.Error("the zone has expired: its primary has not been heard of for too long", "primary", s.zone.config.Primary)
				s.zone.expire()
				continue
			}
			go func() { ended <- s.do(ctx, a) }()
		}
		if e.Serial != nil && s.zone.current.Load().expired && !rules.Expired() { // the primary says that it is good still
			if err := s.zone.replace(s.zone.current.Load().Zone, nil); err != nil {
				s.zone.log.Error("zone", "err", err)
			}
		}
		if (e.Serial != nil || e.Version != nil) && now-confirmed > confirmInterval {
			confirmed = now
			if err := s.zone.store.markConfirmed(time.Now()); err != nil && !isNotExist(err) {
				s.zone.log.Warn("that the primary was heard of can't be noted", "err", err)
			}
		}
		if fails > 0 && rules.Failures() == 0 {
			s.zone.log.Info("the primary answers again", "primary", s.zone.config.Primary)
		}
		timer.Reset(max(0, min(rules.Next()-s.clock(), time.Hour)))
	}
}

// do asks the primary and says how that ended.
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
	held := s.zone.current.Load()
	before := held.Zone
	if a == zone.TransferFull {
		before = nil
	}
	rrs, err := s.transfer(ctx, before)
	var next *zone.Zone
	var deltas []*zone.Delta
	if err == nil {
		next, deltas, err = zone.FromTransfer(s.zone.config.Name, before, rrs)
	}
	if err != nil && a == zone.TransferIncremental && ctx.Err() == nil && (errors.Is(err, zone.ErrOther) || errors.Is(err, zone.ErrTransfer) || errors.Is(err, errNoIXFR)) {
		s.zone.log.Warn("the primary's differences do not fit: the zone is asked for whole", "primary", s.zone.config.Primary, "err", err)
		return zone.SecondaryEvent{DeltaRejected: true}
	}
	if err == nil {
		err = s.zone.replace(next, deltas)
	}
	if err != nil {
		return failed("transfer", err)
	}
	s.zone.log.Info("a version is transferred", "serial", next.Serial(), "records", next.Records(), "differences", len(deltas))
	return zone.SecondaryEvent{Version: next.SOA()}
}

func (s *secondary) sign(m *dns.Msg) error {
	if s.zone.config.Key == "" {
		return nil
	}
	return s.keys.Sign(m, s.zone.config.Key, time.Now().Unix())
}

// serial asks for the SOA: by UDP, and if the answer is cut off by TCP.
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
			return 0, fmt.Errorf("it answers %s", dns.RcodeToString[r.Rcode])
		}
		for _, rr := range r.Answer {
			if soa, ok := rr.(*dns.SOA); ok && zone.Name(soa.Hdr.Name) == s.zone.config.Name {
				return soa.Serial, nil
			}
		}
		return 0, errors.New("its answer holds no SOA of the zone")
	}
	return 0, errors.New("its answer is cut off")
}

func signedBy(m *dns.Msg, key string) bool {
	t := m.IsTsig()
	return t != nil && zone.Name(t.Hdr.Name) == zone.Name(key) && t.Error == dns.RcodeSuccess
}

// errNoIXFR says that the primary makes no differences.
var errNoIXFR = errors.New("the primary gives no differences")

// transfer asks for the zone, by differences from before or whole, and reads the answer to its end. With a key each
// message of it must be signed (RFC 8945 5.3.1 would allow less; what is not signed here is not taken).
func (s *secondary) transfer(ctx context.Context, before *zone.Zone) ([]dns.RR, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	d := net.Dialer{Timeout: connectTimeout}
	conn, err := d.DialContext(ctx, "tcp", s.zone.config.Primary)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()

	q := new(dns.Msg)
	if before == nil {
		q.SetAxfr(s.zone.config.Name)
	} else {
		soa := before.SOA()
		q.SetIxfr(s.zone.config.Name, soa.Serial, soa.Ns, soa.Mbox)
	}
	q.RecursionDesired = false
	var raw []byte
	mac := ""
	if err := s.sign(q); err != nil {
		return nil, err
	}
	if s.zone.config.Key != "" {
		raw, mac, err = dns.TsigGenerateWithProvider(q, s.keys, "", false)
	} else {
		raw, err = q.Pack()
	}
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(raw))), raw...)); err != nil {
		return nil, err
	}
	var rrs []dns.RR
	end := transferEnd{}
	for n := 0; ; n++ {
		conn.SetReadDeadline(time.Now().Add(messageTimeout))
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		var size [2]byte
		if _, err := io.ReadFull(conn, size[:]); err != nil {
			return nil, fmt.Errorf("message %d: %w", n+1, err)
		}
		raw := make([]byte, binary.BigEndian.Uint16(size[:]))
		if _, err := io.ReadFull(conn, raw); err != nil {
			return nil, fmt.Errorf("message %d: %w", n+1, err)
		}
		m := new(dns.Msg)
		if err := m.Unpack(raw); err != nil {
			return nil, fmt.Errorf("message %d: %w", n+1, err)
		}
		if m.Id != q.Id || !m.Response {
			return nil, fmt.Errorf("message %d is no answer to the question", n+1)
		}
		if s.zone.config.Key != "" {
			if !signedBy(m, s.zone.config.Key) {
				return nil, fmt.Errorf("message %d: %w", n+1, errUnsigned)
			}
			if err := dns.TsigVerifyWithProvider(raw, s.keys, mac, n > 0); err != nil {
				return nil, fmt.Errorf("message %d: %w", n+1, err)
			}
			mac = m.IsTsig().MAC
		}
		if m.Rcode != dns.RcodeSuccess {
			if before != nil && (m.Rcode == dns.RcodeFormatError || m.Rcode == dns.RcodeNotImplemented) {
				return nil, errNoIXFR
			}
			return nil, fmt.Errorf("it answers %s", dns.RcodeToString[m.Rcode])
		}
		for i, rr := range m.Answer {
			if rrs = append(rrs, rr); len(rrs) > 2*s.zone.maxRecords+2 {
				return nil, fmt.Errorf("more than %d records", 2*s.zone.maxRecords)
			}
			if end.take(rr, before); end.over && i < len(m.Answer)-1 {
				return nil, fmt.Errorf("message %d: %w: more behind its end", n+1, zone.ErrTransfer)
			}
			if end.over {
				return rrs, nil
			}
		}
		if end.current(before, rrs) {
			return rrs, nil
		}
		if len(m.Answer) == 0 {
			return nil, fmt.Errorf("message %d holds no record", n+1)
		}
	}
}

// transferEnd finds where an answer to AXFR or IXFR ends: at the second SOA of a whole zone, at the third with the new
// serial of one by differences.
type transferEnd struct {
	n, soas int
	serial  uint32
	parts   bool
	over    bool
}

func (e *transferEnd) take(rr dns.RR, before *zone.Zone) {
	e.n++
	soa, ok := rr.(*dns.SOA)
	if e.n == 1 && ok {
		e.serial = soa.Serial
	}
	if e.n == 2 && ok && before != nil && soa.Serial != e.serial {
		e.parts = true
	}
	if ok && (soa.Serial == e.serial || !e.parts) {
		e.soas++
	}
	e.over = !e.parts && e.soas == 2 || e.parts && e.soas == 3
}

// current reports whether the answer says that the version held is the newest: its SOA alone (RFC 1995 4).
func (e *transferEnd) current(before *zone.Zone, rrs []dns.RR) bool {
	return len(rrs) == 1 && before != nil && e.n == 1 && e.serial == before.Serial()
}
