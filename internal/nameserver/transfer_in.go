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

// errNoIXFR reports that the primary does not support IXFR.
var errNoIXFR = errors.New("the primary does not support IXFR")

// transfer requests the zone from the primary, as differences from before or, without before, in full, and reads the answer to its end.
// With a key each message of the answer must be signed: RFC 8945 5.3.1 allows unsigned messages in between, but they are rejected here.
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

	t := transferReader{s: s, conn: conn, before: before}
	if err := t.sendRequest(); err != nil {
		return nil, err
	}
	for !t.done {
		conn.SetReadDeadline(time.Now().Add(messageTimeout))
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if err := t.next(); err != nil {
			return nil, err
		}
	}
	return t.rrs, nil
}

// transferReader requests a transfer on a connection and reads its messages.
type transferReader struct {
	s      *secondary
	conn   net.Conn
	before *zone.Zone // nil: the transfer is a full one

	id       uint16 // of the request
	mac      string // MAC of the last signed message, which the next signature covers
	messages int    // number of messages read
	rrs      []dns.RR
	end      transferEnd
	done     bool
}

// sendRequest sends the request, signed if the zone has a key.
func (t *transferReader) sendRequest() error {
	c := t.s.zone.config
	q := new(dns.Msg)
	if t.before == nil {
		q.SetAxfr(c.Name)
	} else {
		soa := t.before.SOA()
		q.SetIxfr(c.Name, soa.Serial, soa.Ns, soa.Mbox)
	}
	q.RecursionDesired = false
	t.id = q.Id
	if err := t.s.sign(q); err != nil {
		return err
	}
	var raw []byte
	var err error
	if c.Key != "" {
		raw, t.mac, err = dns.TsigGenerateWithProvider(q, t.s.keys, "", false)
	} else {
		raw, err = q.Pack()
	}
	if err != nil {
		return err
	}
	_, err = t.conn.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(raw))), raw...))
	return err
}

// next reads one message and appends its records.
func (t *transferReader) next() error {
	t.messages++
	m, err := t.read()
	if err != nil {
		return err
	}
	if m.Rcode != dns.RcodeSuccess {
		if t.before != nil && (m.Rcode == dns.RcodeFormatError || m.Rcode == dns.RcodeNotImplemented) {
			return errNoIXFR
		}
		return &RcodeError{Rcode: m.Rcode}
	}
	maxRecords := 2 * t.s.zone.maxRecords
	for i, rr := range m.Answer {
		if t.rrs = append(t.rrs, rr); len(t.rrs) > maxRecords+2 {
			return &TooManyRecordsError{Max: maxRecords}
		}
		if t.end.add(rr, t.before); t.end.ended && i < len(m.Answer)-1 {
			return fmt.Errorf("message %d: %w: records after its end", t.messages, zone.ErrTransfer)
		}
		if t.end.ended {
			t.done = true
			return nil
		}
	}
	if t.end.current(t.before, t.rrs) {
		t.done = true
		return nil
	}
	if len(m.Answer) == 0 {
		return &transferError{message: t.messages, text: "has no records"}
	}
	return nil
}

// read reads a message and verifies that it is a response to the request and, if the zone has a key, its signature.
func (t *transferReader) read() (*dns.Msg, error) {
	var size [2]byte
	if _, err := io.ReadFull(t.conn, size[:]); err != nil {
		return nil, fmt.Errorf("message %d: %w", t.messages, err)
	}
	raw := make([]byte, binary.BigEndian.Uint16(size[:]))
	if _, err := io.ReadFull(t.conn, raw); err != nil {
		return nil, fmt.Errorf("message %d: %w", t.messages, err)
	}
	m := new(dns.Msg)
	if err := m.Unpack(raw); err != nil {
		return nil, fmt.Errorf("message %d: %w", t.messages, err)
	}
	if m.Id != t.id || !m.Response {
		return nil, &transferError{message: t.messages, text: "is not a response to the request"}
	}
	if key := t.s.zone.config.Key; key != "" {
		if !signedBy(m, key) {
			return nil, fmt.Errorf("message %d: %w", t.messages, errUnsigned)
		}
		if err := dns.TsigVerifyWithProvider(raw, t.s.keys, t.mac, t.messages > 1); err != nil {
			return nil, fmt.Errorf("message %d: %w", t.messages, err)
		}
		t.mac = m.IsTsig().MAC
	}
	return m, nil
}

// transferEnd detects the end of an answer to AXFR or IXFR: a full transfer ends at its second SOA, an incremental one at the third SOA
// with the new serial.
type transferEnd struct {
	n, soas     int
	serial      uint32
	incremental bool
	ended       bool
}

func (e *transferEnd) add(rr dns.RR, before *zone.Zone) {
	e.n++
	soa, ok := rr.(*dns.SOA)
	if e.n == 1 && ok {
		e.serial = soa.Serial
	}
	if e.n == 2 && ok && before != nil && soa.Serial != e.serial {
		e.incremental = true
	}
	if ok && (soa.Serial == e.serial || !e.incremental) {
		e.soas++
	}
	e.ended = !e.incremental && e.soas == 2 || e.incremental && e.soas == 3
}

// current reports whether the answer says that our version is current: it is the SOA of that version only (RFC 1995 4).
func (e *transferEnd) current(before *zone.Zone, rrs []dns.RR) bool {
	return len(rrs) == 1 && before != nil && e.n == 1 && e.serial == before.Serial()
}
