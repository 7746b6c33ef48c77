package nameserver

import (
	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/zone"
)

// find returns the zone that a name is in: the one with the longest origin; nil if there is none.
func (s *server) find(name string) *hostedZone {
	for name = zone.Name(name); ; {
		if z := s.zones[name]; z != nil {
			return z
		}
		off, end := dns.NextLabel(name, 0)
		if end {
			return s.zones["."]
		}
		name = name[off:]
	}
}

func (s *server) answer(m, r *dns.Msg) {
	q := m.Question[0]
	if opt := m.IsEdns0(); opt != nil {
		r.SetEdns0(maxUDPBytes, false)
		if opt.Version() != 0 {
			r.Rcode = dns.RcodeBadVers
			return
		}
	}
	z := s.find(q.Name)
	switch {
	case z == nil || q.Qclass != dns.ClassINET:
		r.Rcode = dns.RcodeRefused
		return
	}
	current := z.current.Load()
	if current.Zone == nil || current.expired {
		r.Rcode = dns.RcodeServerFailure
		return
	}
	a := current.Answer(q.Name, q.Qtype)
	r.Rcode, r.Authoritative = a.Rcode, a.Authority
	r.Answer, r.Ns = zone.CopyRecords(a.Answer), zone.CopyRecords(a.Ns)
	r.Extra = append(zone.CopyRecords(a.Additional), r.Extra...)
}

// fitUDP truncates an answer by UDP to the size that the client accepts. For an unsigned question the answer is also at most
// maxAmplification times as long as the question, which makes the server of little use for reflection attacks.
func (s *server) fitUDP(m, r *dns.Msg, signed bool) {
	size := dns.MinMsgSize
	if opt := m.IsEdns0(); opt != nil {
		size = max(size, int(opt.UDPSize()))
	}
	size = min(size, maxUDPBytes)
	if signed {
		size -= tsigBytes
	} else {
		size = min(size, max(minUDPBytes, maxAmplification*m.Len()))
	}
	r.Truncate(max(size, dns.MinMsgSize))
	if r.Len() > size { // the library truncates to 512 bytes at least
		r.Answer, r.Ns, r.Extra, r.Truncated = nil, nil, optOnly(r), true
	}
}

func optOnly(r *dns.Msg) []dns.RR {
	if opt := r.IsEdns0(); opt != nil {
		return []dns.RR{opt}
	}
	return nil
}
