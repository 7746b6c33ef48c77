package nameserver

import (
	"errors"
	"net"
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/zone"
)

// update processes an update message (RFC 2136 3), which must be signed by a key with a grant, and returns the response code.
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
		return refused(dns.RcodeRefused, "the update is not signed")
	}
	z := s.zones[zone.Name(m.Question[0].Name)]
	if z == nil {
		return refused(dns.RcodeNotAuth, "the zone is not served here")
	}
	grant := z.grants[signed]
	if grant == nil {
		return refused(dns.RcodeRefused, "the key may not change the zone")
	}
	now := s.clock()
	s.mu.Lock()
	// A replay passes the time check for as long as the message itself: until its time of signing plus the fudge.
	left := time.Duration(int64(t.TimeSigned)+maxFudgeSeconds+1-time.Now().Unix()) * time.Second
	repeat, full := s.replays.Seen(signed, t.MAC, now, now+left)
	s.mu.Unlock()
	if repeat {
		return refused(dns.RcodeNotAuth, "it was sent before")
	}
	if full {
		return refused(dns.RcodeRefused, "the table of signatures against replay is full")
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

// receiveNotify processes a NOTIFY (RFC 1996 3) and returns the response code. A NOTIFY is accepted only from the primary, identified by
// its key, or by its address if the zone has no key.
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
