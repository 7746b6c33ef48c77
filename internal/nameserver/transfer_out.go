package nameserver

import (
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/zone"
)

// transferOut answers AXFR (RFC 5936) and IXFR (RFC 1995). It reports whether it sent the answer itself; otherwise r is the answer, and
// the caller sends it.
func (s *server) transferOut(w dns.ResponseWriter, m, r *dns.Msg, signed string, udp bool) bool {
	q := m.Question[0]
	z := s.zones[zone.Name(q.Name)]
	if z == nil || q.Qclass != dns.ClassINET {
		r.Rcode = dns.RcodeNotAuth
		return false
	}
	if signed == "" || !z.transferKeys[signed] {
		s.counts.refused.Add(1)
		s.log.Warn("a transfer is refused", "zone", z.config.Name, "to", w.RemoteAddr().String(), "key", signed)
		r.Rcode = dns.RcodeRefused
		return false
	}
	serial, incremental := incrementalFrom(m)
	current, deltas, known := z.changesSince(serial)
	if current.Zone == nil || current.expired {
		r.Rcode = dns.RcodeServerFailure
		return false
	}
	r.Authoritative = true
	if incremental && (udp || !zone.NewerSerial(current.Serial(), serial)) { // RFC 1995 2 and 4: the answer is the SOA only
		r.Answer = zone.CopyRecords([]dns.RR{current.SOA()})
		return false
	}
	if udp || q.Qtype == dns.TypeIXFR && !incremental {
		r.Rcode = dns.RcodeFormatError
		return false
	}
	select {
	case s.transfers <- struct{}{}:
		defer func() { <-s.transfers }()
	default:
		r.Rcode = dns.RcodeServerFailure
		return false
	}
	s.counts.transfers.Add(1)
	if !incremental || !known {
		deltas = nil
	}
	s.sendTransfer(w, m, z, transferRecords(current.Zone, deltas))
	return true
}

// incrementalFrom returns the serial that an IXFR starts from; false for an AXFR, or for an IXFR without a serial.
func incrementalFrom(m *dns.Msg) (serial uint32, incremental bool) {
	if m.Question[0].Qtype == dns.TypeIXFR && len(m.Ns) == 1 {
		if soa, ok := m.Ns[0].(*dns.SOA); ok {
			return soa.Serial, true
		}
	}
	return 0, false
}

// transferRecords returns the records of a transfer: the differences, if there are any and they have fewer records than the zone, else the
// full zone.
func transferRecords(current *zone.Zone, deltas []*zone.Delta) []dns.RR {
	size := 0
	for _, d := range deltas {
		size += d.Records()
	}
	if deltas != nil && size < current.Records() {
		return zone.Incremental(current, deltas)
	}
	return append(current.List(), current.SOA())
}

// sendTransfer sends records in messages of about transferChunkBytes, each signed.
func (s *server) sendTransfer(w dns.ResponseWriter, m *dns.Msg, z *hostedZone, rrs []dns.RR) {
	for len(rrs) > 0 {
		part := new(dns.Msg).SetReply(m)
		part.Authoritative = true
		for bytes := 0; len(rrs) > 0 && bytes < transferChunkBytes; rrs = rrs[1:] {
			part.Answer = append(part.Answer, dns.Copy(rrs[0]))
			bytes += dns.Len(rrs[0])
		}
		t := m.IsTsig()
		part.SetTsig(t.Hdr.Name, t.Algorithm, maxFudgeSeconds, time.Now().Unix())
		if err := w.WriteMsg(part); err != nil {
			s.log.Warn("a transfer was aborted", "zone", z.config.Name, "to", w.RemoteAddr().String(), "err", err)
			w.Close()
			return
		}
		w.TsigTimersOnly(true)
	}
	w.TsigTimersOnly(false)
}
