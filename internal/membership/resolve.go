package membership

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/zone"
)

// Member is a DNS name that resolves to the endpoints of a destination.
type Member struct {
	Destination uint32
	Name        string        // absolute, lower case
	SRV         bool          // use its SRV records with targets, ports, priorities and weights (RFC 2782); else its A and AAAA records
	Port        uint16        // of the addresses, without SRV
	Kind, Zone  string        // as in discovery's list
	Weight      float64       // mean weight of its endpoints
	EmptyAfter  time.Duration // an answer without addresses takes effect after this time; 0: at once
}

// Result is the result of resolving a name.
type Result int

// The results.
const (
	Found    Result = iota
	NXDomain        // the name does not exist
	NoData          // the name exists and has no address
	ServFail        // the result is unknown: the zone has expired, or the chain of names is broken
	Timeout         // the zone was never received
)

// String returns the result as operators' commands print it.
func (r Result) String() string {
	if names := [...]string{"found", "NXDOMAIN", "NODATA", "SERVFAIL", "time-out"}; r >= 0 && int(r) < len(names) {
		return names[r]
	}
	return fmt.Sprintf("result %d", int(r))
}

// Address is an address that a name resolved to.
type Address struct {
	netip.AddrPort
	Priority, Weight uint16 // of its SRV record; 0 without SRV
}

// Answer is the answer for a member's name.
type Answer struct {
	Result
	Addresses []Address
	Partial   bool   // some targets could not be resolved: Addresses may be incomplete
	Why       string // reason for a result without addresses
}

// ZoneState is this sender's copy of a zone.
type ZoneState struct {
	*zone.Zone // nil: the zone was never received
	Expired    bool
}

// Zones returns the zone with the longest origin that contains a name; ok is false if there is none.
type Zones func(name string) (state ZoneState, ok bool)

// The bounds of a resolution.
const (
	maxCNAMEChain = 16  // CNAMEs between zones
	maxTargets    = 256 // records of an SRV set that are resolved, and addresses of one host name
)

// Resolve resolves a member's addresses. names are the names that the answer depends on: the member must be resolved again when one of them
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
		if srv.Target == "." { // RFC 2782: the service is not available at this domain
			continue
		}
		if i >= maxTargets {
			a.Partial = true
			break
		}
		target := r.addresses(zone.Name(srv.Target), srv.Port)
		for _, addr := range target.Addresses {
			addr.Priority, addr.Weight = srv.Priority, srv.Weight
			a.Addresses = append(a.Addresses, addr)
		}
		if target.Result == ServFail || target.Result == Timeout {
			a.Partial = true
			if len(a.Addresses) == 0 {
				a.Result, a.Why = target.Result, target.Why
			}
		}
	}
	if len(a.Addresses) > 0 {
		a.Result, a.Why = Found, ""
	}
	return a, r.names
}

// resolver resolves one member and records the names that the answer depends on.
type resolver struct {
	zones Zones
	names []string
}

// addresses queries A and AAAA records. The result is Found if one of the queries finds addresses.
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

// lookup finds the records of a type for a name, following CNAMEs between zones.
func (r *resolver) lookup(name string, kind uint16) ([]dns.RR, Result, string) {
	for range maxCNAMEChain {
		state, ok := r.zones(name)
		if !ok {
			r.names = append(r.names, name)
			return nil, ServFail, name + " is in no zone that is held"
		}
		r.names = append(r.names, name)
		if state.Zone == nil {
			return nil, Timeout, "the zone of " + name + " was never had"
		}
		if state.Expired {
			return nil, ServFail, "zone " + state.Origin() + " has expired"
		}
		reply := state.Answer(name, kind)
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
