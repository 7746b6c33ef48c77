package nameserver

import (
	"errors"
	"net"
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/zone"
)

// update is RFC 2136 3, with TSIG for who may.
func (s *server) update(m *dns.Msg, t *dns.TSIG, signed, from string) int {
	refused := func(rcode int, why string) int {
		s.counts.refused.Add(1)
		s.log.Warn("an update is refused", "from", from, "key", signed, "rcode", dns.RcodeToString[rcode], "why", why)
		return rcode
	}
	if len(m.Question) != 1 || m.Question[0].Qtype != dns.TypeSOA {
		return refused(dns.RcodeFormatError, "the zone section is not one SOA")
	}
	if signed == "" {
		return refused(dns.RcodeRefused, "it is not signed")
	}
	z := s.zones[zone.Name(m.Question[0].Name)]
	if z == nil {
		return refused(dns.RcodeNotAuth, "the zone is not here")
	}
	grant := z.grants[signed]
	if grant == nil {
		return refused(dns.RcodeRefused, "the key may not change the zone")
	}
	now := s.clock()
	s.mu.Lock()
	// A copy is in time for as long as the message itself: until its time of signing and the fudge are over.
	left := time.Duration(int64(t.TimeSigned)+maxFudgeSeconds+1-time.Now().Unix()) * time.Second
	repeat, full := s.replays.Seen(signed, t.MAC, now, now+left)
	s.mu.Unlock()
	if repeat {
		return refused(dns.RcodeNotAuth, "it was sent before")
	}
	if full {
		return refused(dns.RcodeRefused, "more updates than can be remembered")
	}
	err := z.update(m, grant)
	var r *zone.Refusal
	switch {
	case err == nil:
		s.log.Info("update accepted", "from", from, "key", signed, "zone", z.config.Name, "serial", z.current.Load().Serial())
		return dns.RcodeSuccess
	case errors.As(err, &r):
		return refused(r.Rcode, r.Reason)
	}
	return refused(dns.RcodeServerFailure, err.Error())
}

// receiveNotify is RFC 1996 3: a NOTIFY counts only from the primary, by its address or its key.
func (s *server) receiveNotify(m *dns.Msg, signed string, from net.Addr) int {
	z := s.zones[zone.Name(m.Question[0].Name)]
	if z == nil || z.secondary == nil {
		return dns.RcodeNotAuth
	}
	host, _, _ := net.SplitHostPort(from.String())
	primary, _, _ := net.SplitHostPort(z.config.Primary)
	if z.config.Key != "" && signed != z.config.Key || z.config.Key == "" && host != primary {
		s.counts.refused.Add(1)
		return dns.RcodeRefused
	}
	var serial uint32
	if len(m.Answer) == 1 {
		if soa, ok := m.Answer[0].(*dns.SOA); ok {
			serial = soa.Serial
		}
	}
	z.secondary.notify(serial)
	return dns.RcodeSuccess
}
