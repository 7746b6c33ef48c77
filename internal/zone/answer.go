package zone

import (
	"strings"

	"github.com/miekg/dns"
)

// Reply is a zone's answer to a question.
type Reply struct {
	Rcode      int
	Authority  bool     // it is the zone's own word; false for a referral
	Answer     []dns.RR // with the chain of CNAMEs within the zone
	Ns         []dns.RR // the SOA of a negative answer, or a referral's NS
	Additional []dns.RR // addresses of what is referred to (glue)
	Next       string   // a CNAME leads out of the zone, to this name
}

// maxCNAMEChain is how long a chain of CNAMEs within a zone is followed.
const maxCNAMEChain = 16

// Answer answers a question: RFC 1034 4.3.2, step 3, with negative answers (RFC 2308) and wildcards (RFC 4592).
func (z *Zone) Answer(name string, rrtype uint16) Reply {
	r := Reply{Authority: true}
	name = Name(name)
	seen := map[string]bool{}
	for range maxCNAMEChain {
		if !Within(z.origin, name) {
			r.Next = name
			return r
		}
		if seen[name] { // a loop: what there is of it
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
			r.Answer = append(r.Answer, at(c, name, wild)...)
			target, ok := c[0].(*dns.CNAME)
			if !ok {
				return r
			}
			name = Name(target.Target)
			continue
		}
		if set := n.answering(rrtype); set != nil {
			r.Answer = append(r.Answer, at(set, name, wild)...)
		} else {
			r.Ns = z.negative()
		}
		return r
	}
	return r
}

// refer makes an answer a referral to the name servers of a delegation, with those of their addresses that the zone has (glue).
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

// answering returns the set that answers a question for a type; nil if there is none. For ANY it is the first: one set is enough
// (RFC 8482 4.1).
func (n node) answering(rrtype uint16) rrset {
	for _, s := range n {
		if s.kind() == rrtype || rrtype == dns.TypeANY {
			return s
		}
	}
	return nil
}

// at is a set as records of a name; those of a wildcard take the name that was asked for (RFC 4592 3.3.1).
func at(s rrset, name string, wild bool) []dns.RR {
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

// exists reports whether a name is there or has something below it.
func (z *Zone) exists(name string) bool {
	it := z.tree.Root().Iterator()
	it.SeekPrefix(key(name))
	_, _, ok := it.Next()
	return ok
}

// delegation is the NS records of the delegation that a name is at or below, nil if the zone itself speaks for it.
func (z *Zone) delegation(name string) rrset {
	if name == z.origin {
		return nil
	}
	var above []string
	for n := name; n != z.origin && Within(z.origin, n); n = parent(n) {
		above = append(above, n)
	}
	for i := len(above) - 1; i >= 0; i-- { // the highest one counts
		if ns := z.set(above[i], dns.TypeNS); ns != nil {
			return ns
		}
	}
	return nil
}

// wildcard is the node of the wildcard that speaks for a name that is not there (RFC 4592 3.3): that of its closest
// encloser, if it has one.
func (z *Zone) wildcard(name string) node {
	for n := parent(name); Within(z.origin, n); n = parent(n) {
		if z.exists(n) {
			return z.node(below("*", n))
		}
		if n == z.origin || n == "." {
			return nil
		}
	}
	return nil
}

func below(label, name string) string {
	if name == "." {
		return label + "."
	}
	return label + "." + name
}

// parent is the name one label up; of the root it is the root.
func parent(name string) string {
	off, end := dns.NextLabel(name, 0)
	if end || off >= len(name) {
		return "."
	}
	return name[off:]
}

// negative is the SOA with the time to live of a negative answer (RFC 2308 3).
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

// IsName reports whether a name is one that may be written in a file or a setting: absolute or not, each label of 63 octets
// at most.
func IsName(name string) bool {
	_, ok := dns.IsDomainName(name)
	return ok && name != "" && !strings.ContainsAny(name, " \t")
}
