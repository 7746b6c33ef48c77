package membership

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/zone"
)

// Member is a name that says where a destination is.
type Member struct {
	Destination uint32
	Name        string        // absolute, lower case
	SRV         bool          // its SRV records tell targets, ports, priorities and weights (RFC 2782); else its A and AAAA
	Port        uint16        // of the addresses, without SRV
	Kind, Zone  string        // as in discovery's list
	Weight      float64       // the rating of its endpoints
	EmptyAfter  time.Duration // an answer without addresses is believed after so long; 0: at once
}

// Result is what became of a query for a name.
type Result int

// The results.
const (
	Found    Result = iota
	NXDomain        // the name is not there
	NoData          // it is, and has no address
	ServFail        // nobody can say: the zone has expired, or the chain of names is broken
	Timeout         // the zone was never received
)

// String is the result as operators are shown it.
func (r Result) String() string {
	if names := [...]string{"found", "NXDOMAIN", "NODATA", "SERVFAIL", "time-out"}; r >= 0 && int(r) < len(names) {
		return names[r]
	}
	return fmt.Sprintf("result %d", int(r))
}

// Address is one that a name came to.
type Address struct {
	netip.AddrPort
	Priority, Weight uint16 // of its SRV record; 0 without
}

// Answer is what a name came to.
type Answer struct {
	Result
	Addresses []Address
	Partial   bool   // some of its targets could not be resolved: what is missing may be there
	Why       string // words for a result without addresses
}

// ZoneState is a zone as this sender has it.
type ZoneState struct {
	*zone.Zone // nil: it was never received
	Expired    bool
}

// Zones finds the zone for a name: that of the longest origin; ok is false if there is none.
type Zones func(name string) (state ZoneState, ok bool)

// The bounds of a resolution.
const (
	maxCNAMEChain = 16  // CNAMEs between zones
	maxTargets    = 256 // records of an SRV set that are followed, and addresses of a member
)

// Resolve queries a member's addresses. names is the names that the answer rests on: it is to be asked again when one of them
// changes.
func Resolve(zones Zones, m *Member) (a Answer, names []string) {
	r := resolver{zones: zones}
	if !m.SRV {
		a = r.addresses(m.Name, m.Port)
		return a, r.names
	}
	rrs, res, why := r.lookup(m.Name, dns.TypeSRV)
	if res != Found {
		return Answer{Result: res, Why: why}, r.names
	}
	a.Result, a.Why = NoData, m.Name+" has no SRV target with an address"
	for i, rr := range rrs {
		srv, ok := rr.(*dns.SRV)
		if !ok {
			continue
		}
		if srv.Target == "." { // RFC 2782: the service is decidedly not available
			continue
		}
		if i >= maxTargets {
			a.Partial = true
			break
		}
		one := r.addresses(zone.Name(srv.Target), srv.Port)
		for _, addr := range one.Addresses {
			addr.Priority, addr.Weight = srv.Priority, srv.Weight
			a.Addresses = append(a.Addresses, addr)
		}
		if one.Result == ServFail || one.Result == Timeout {
			a.Partial = true
			if len(a.Addresses) == 0 {
				a.Result, a.Why = one.Result, one.Why
			}
		}
	}
	if len(a.Addresses) > 0 {
		a.Result, a.Why = Found, ""
	}
	return a, r.names
}

// resolver is one resolution and the names that it has used.
type resolver struct {
	zones Zones
	names []string
}

// addresses queries A and AAAA; a name that has some is found, whatever the other query says.
func (r *resolver) addresses(name string, port uint16) Answer {
	a := Answer{Result: NoData, Why: name + " has no address"}
	for _, kind := range []uint16{dns.TypeA, dns.TypeAAAA} {
		rrs, result, why := r.lookup(name, kind)
		if result != Found {
			if result == ServFail || result == Timeout {
				a.Partial = true
			}
			if result != NoData {
				a.Result, a.Why = result, why
			}
			continue
		}
		for _, rr := range rrs {
			var ip netip.Addr
			var ok bool
			switch rr := rr.(type) {
			case *dns.A:
				ip, ok = netip.AddrFromSlice(rr.A)
			case *dns.AAAA:
				ip, ok = netip.AddrFromSlice(rr.AAAA)
			}
			if ok && len(a.Addresses) < maxTargets {
				a.Addresses = append(a.Addresses, Address{AddrPort: netip.AddrPortFrom(ip.Unmap(), port)})
			}
		}
	}
	if len(a.Addresses) > 0 {
		a.Result, a.Why = Found, ""
	}
	return a
}

// lookup follows a name through the zones, and CNAMEs between them, to records of a type.
func (r *resolver) lookup(name string, kind uint16) ([]dns.RR, Result, string) {
	for range maxCNAMEChain {
		held, ok := r.zones(name)
		if !ok {
			r.names = append(r.names, name)
			return nil, ServFail, name + " is in no zone that is held"
		}
		r.names = append(r.names, name)
		if held.Zone == nil {
			return nil, Timeout, "the zone of " + name + " was never had"
		}
		if held.Expired {
			return nil, ServFail, "zone " + held.Origin() + " has expired"
		}
		reply := held.Answer(name, kind)
		var found []dns.RR
		for _, rr := range reply.Answer {
			switch rr := rr.(type) {
			case *dns.CNAME:
				r.names = append(r.names, zone.Name(rr.Target))
			default:
				if rr.Header().Rrtype == kind {
					found = append(found, rr)
				}
			}
		}
		switch {
		case len(found) > 0:
			return found, Found, ""
		case reply.Next != "":
			name = reply.Next
			continue
		case reply.Rcode == dns.RcodeNameError:
			return nil, NXDomain, name + " does not exist"
		case len(reply.Answer) > 0 && len(reply.Ns) == 0:
			return nil, ServFail, "the CNAMEs of " + name + " lead nowhere"
		case !reply.Authority || len(reply.Ns) > 0 && reply.Ns[0].Header().Rrtype == dns.TypeNS:
			return nil, ServFail, name + " is delegated to a zone that is not held"
		}
		return nil, NoData, name + " has no " + dns.Type(kind).String()
	}
	return nil, ServFail, "the CNAMEs of " + name + " are too many"
}
