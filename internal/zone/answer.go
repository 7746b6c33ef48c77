package zone

import (
	"strings"

	"github.com/miekg/dns"
)

// Reply is a zone's answer to a question.
type Reply struct {
	Rcode      int
	Authority  bool     // the answer is authoritative; false for a referral
	Answer     []dns.RR // with the chain of CNAMEs within the zone
	Ns         []dns.RR // the SOA of a negative answer, or a referral's NS
	Additional []dns.RR // addresses of a referral's name servers (glue)
	Next       string   // the target of a CNAME that leads out of the zone
}

// maxCNAMEChain bounds how many CNAMEs within a zone are followed.
const maxCNAMEChain = 16

// Answer answers a question (RFC 1034 4.3.2, step 3), with negative answers (RFC 2308) and wildcards (RFC 4592).
func (z *Zone) Answer(name string, rrtype uint16) Reply {
	r := Reply{Authority: true}
	name = Name(name)
	seen := map[string]bool{}
	for range maxCNAMEChain {
		if !Within(z.origin, name) {
			r.Next = name
			return r
		}
		if seen[name] { // a CNAME loop: the answer is the chain so far
			return r
		}
		seen[name] = true
		if ns := z.delegation(name); ns != nil && !(rrtype == dns.TypeDS && name == Name(ns[0].Header().Name)) {
			z.refer(&r, ns)
			return r
		}
		n := z.node(name)
		wild := false
		if n == nil && !z.exists(name) {
			if n = z.wildcard(name); n == nil {
				if len(r.Answer) == 0 {
					r.Rcode = dns.RcodeNameError
				}
				r.Ns = z.negative()
				return r
			}
			wild = true
		}
		if c := n.of(dns.TypeCNAME); c != nil && rrtype != dns.TypeCNAME && rrtype != dns.TypeANY {
			r.Answer = append(r.Answer, withOwner(c, name, wild)...)
			target, ok := c[0].(*dns.CNAME)
			if !ok {
				return r
			}
			name = Name(target.Target)
			continue
		}
		if set := n.answering(rrtype); set != nil {
			r.Answer = append(r.Answer, withOwner(set, name, wild)...)
		} else {
			r.Ns = z.negative()
		}
		return r
	}
	return r
}

// refer makes an answer a referral to the name servers of a delegation, with their addresses that are in the zone (glue).
func (z *Zone) refer(r *Reply, ns rrset) {
	r.Authority = len(r.Answer) > 0
	r.Ns = ns
	for _, rr := range ns {
		if ns, ok := rr.(*dns.NS); ok && Within(z.origin, Name(ns.Ns)) {
			r.Additional = append(r.Additional, z.Set(ns.Ns, dns.TypeA)...)
			r.Additional = append(r.Additional, z.Set(ns.Ns, dns.TypeAAAA)...)
		}
	}
}

// answering returns the set that answers a question for a type; nil if there is none. For ANY it returns the first set, as one set is
// enough (RFC 8482 4.1).
func (n node) answering(rrtype uint16) rrset {
	for _, s := range n {
		if s.kind() == rrtype || rrtype == dns.TypeANY {
			return s
		}
	}
	return nil
}

// withOwner returns the records of a set with a name as their owner: the records of a wildcard get the queried name (RFC 4592 3.3.1).
func withOwner(s rrset, name string, wild bool) []dns.RR {
	if !wild {
		return s
	}
	out := make([]dns.RR, 0, len(s))
	for _, rr := range s {
		rr = dns.Copy(rr)
		rr.Header().Name = name
		out = append(out, rr)
	}
	return out
}

// exists reports whether a name has records or is an empty non-terminal.
func (z *Zone) exists(name string) bool {
	it := z.tree.Root().Iterator()
	it.SeekPrefix(key(name))
	_, _, ok := it.Next()
	return ok
}

// delegation returns the NS records of the delegation that a name is at or below; nil if the zone is authoritative for the name.
func (z *Zone) delegation(name string) rrset {
	if name == z.origin {
		return nil
	}
	var above []string
	for n := name; n != z.origin && Within(z.origin, n); n = parent(n) {
		above = append(above, n)
	}
	for i := len(above) - 1; i >= 0; i-- { // the delegation closest to the apex applies
		if ns := z.set(above[i], dns.TypeNS); ns != nil {
			return ns
		}
	}
	return nil
}

// wildcard returns the node of the wildcard that applies to a name that does not exist (RFC 4592 3.3), which is the wildcard at the
// name's closest encloser; nil if there is none.
func (z *Zone) wildcard(name string) node {
	for n := parent(name); Within(z.origin, n); n = parent(n) {
		if z.exists(n) {
			return z.node(prependLabel("*", n))
		}
		if n == z.origin || n == "." {
			return nil
		}
	}
	return nil
}

func prependLabel(label, name string) string {
	if name == "." {
		return label + "."
	}
	return label + "." + name
}

// parent returns the name one label up; the root's parent is the root.
func parent(name string) string {
	off, end := dns.NextLabel(name, 0)
	if end || off >= len(name) {
		return "."
	}
	return name[off:]
}

// negative returns the SOA with the time to live of a negative answer (RFC 2308 3).
func (z *Zone) negative() []dns.RR {
	soa := z.SOA()
	if soa == nil {
		return nil
	}
	c, ok := dns.Copy(soa).(*dns.SOA)
	if !ok {
		return nil
	}
	c.Hdr.Ttl = min(c.Hdr.Ttl, c.Minttl)
	return []dns.RR{c}
}

// IsName reports whether a text from a file or a setting is a domain name: absolute or relative, each label of 63 octets at most.
func IsName(name string) bool {
	_, ok := dns.IsDomainName(name)
	return ok && name != "" && !strings.ContainsAny(name, " \t")
}
