package zone

import (
	"fmt"

	"github.com/miekg/dns"
)

// Refusal is why a message is turned away: a response code, and words for the log.
type Refusal struct {
	Rcode  int
	Reason string
}

func (r *Refusal) Error() string { return dns.RcodeToString[r.Rcode] + ": " + r.Reason }

func refuse(rcode int, format string, args ...any) error {
	return &Refusal{rcode, fmt.Sprintf(format, args...)}
}

// Update applies an update message as RFC 2136 section 3 has it, whole or not at all: it gives the zone after it, or a
// *Refusal and no zone. The message was read from the wire: a record's Rdlength tells whether it has data. changed is
// whether the zone's data became others; only then the zone is another one, with a newer serial (3.6). allowed is asked
// (3.3) when the prerequisites hold and the update is well formed, with what would be changed.
func (z *Zone) Update(m *dns.Msg, allowed func(z *Zone, updates []dns.RR) error) (after *Zone, changed bool, err error) {
	// 3.1 Process Zone Section
	if len(m.Question) != 1 || m.Question[0].Qtype != dns.TypeSOA {
		return nil, false, refuse(dns.RcodeFormatError, "the zone section is not one SOA (3.1.1)")
	}
	q := m.Question[0]
	if q.Qclass != dns.ClassINET || Name(q.Name) != z.origin {
		return nil, false, refuse(dns.RcodeNotAuth, "zone %s %s is not served here (3.1.2)", q.Name, dns.Class(q.Qclass))
	}
	if err := z.prerequisites(m.Answer); err != nil {
		return nil, false, err
	}
	if err := z.prescan(m.Ns); err != nil {
		return nil, false, err
	}
	if allowed != nil {
		if err := allowed(z, m.Ns); err != nil {
			return nil, false, err
		}
	}
	e := z.edit()
	for _, rr := range m.Ns {
		e.update(rr)
	}
	after = e.zone()
	if after.same(z, m.Ns) {
		return z, false, nil
	}
	// 3.6: a change of the data that did not change the serial changes it.
	if after.Serial() == z.Serial() {
		e = after.edit()
		e.serial(NextSerial(z.Serial()))
		after = e.zone()
	}
	return after, true, nil
}

func (e *edit) serial(s uint32) {
	n := e.node(e.z.origin).of(dns.TypeSOA)
	if len(n) == 0 {
		return
	}
	if soa, ok := dns.Copy(n[0]).(*dns.SOA); ok {
		soa.Serial = s
		e.swap(e.z.origin, dns.TypeSOA, rrset{soa})
	}
}

// WithSerial is the zone under another serial.
func (z *Zone) WithSerial(s uint32) *Zone {
	e := z.edit()
	e.serial(s)
	return e.zone()
}

// same reports whether what an update named is as before.
func (z *Zone) same(before *Zone, named []dns.RR) bool {
	if z.records != before.records {
		return false
	}
	for _, rr := range named {
		name := Name(rr.Header().Name)
		if !sameNode(z.node(name), before.node(name)) {
			return false
		}
	}
	return true
}

func sameNode(a, b node) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !sameSet(a[i], b[i]) {
			return false
		}
	}
	return true
}

// sameSet reports whether two sets have the same type, records and time to live.
func sameSet(a, b rrset) bool {
	if len(a) != len(b) || len(a) > 0 && a.kind() != b.kind() {
		return false
	}
	for i := range a {
		if a[i] != b[i] && (a[i].Header().Ttl != b[i].Header().Ttl || !dns.IsDuplicate(a[i], b[i])) {
			return false
		}
	}
	return true
}

// prerequisites is 3.2.
func (z *Zone) prerequisites(rrs []dns.RR) error {
	type setKey struct {
		name string
		kind uint16
	}
	want := map[setKey]*edit{} // 3.2.3: sets that must exist as they are named, collected first
	var order []setKey
	for _, rr := range rrs {
		h := rr.Header()
		name := Name(h.Name)
		if h.Ttl != 0 {
			return refuse(dns.RcodeFormatError, "prerequisite at %s has a time to live (3.2.5)", name)
		}
		if !Within(z.origin, name) {
			return refuse(dns.RcodeNotZone, "prerequisite at %s is outside of the zone (3.2.5)", name)
		}
		switch h.Class {
		case dns.ClassANY:
			switch {
			case h.Rdlength != 0:
				return refuse(dns.RcodeFormatError, "prerequisite of class ANY at %s has data (3.2.5)", name)
			case h.Rrtype == dns.TypeANY:
				if len(z.node(name)) == 0 {
					return refuse(dns.RcodeNameError, "%s is not in use (2.4.4)", name)
				}
			case len(z.set(name, h.Rrtype)) == 0:
				return refuse(dns.RcodeNXRrset, "%s has no %s (2.4.1)", name, dns.Type(h.Rrtype))
			}
		case dns.ClassNONE:
			switch {
			case h.Rdlength != 0:
				return refuse(dns.RcodeFormatError, "prerequisite of class NONE at %s has data (3.2.5)", name)
			case h.Rrtype == dns.TypeANY:
				if len(z.node(name)) > 0 {
					return refuse(dns.RcodeYXDomain, "%s is in use (2.4.5)", name)
				}
			case len(z.set(name, h.Rrtype)) > 0:
				return refuse(dns.RcodeYXRrset, "%s has %s (2.4.3)", name, dns.Type(h.Rrtype))
			}
		case dns.ClassINET:
			if meta(h.Rrtype) {
				return refuse(dns.RcodeFormatError, "prerequisite at %s of type %s has no data (3.2.5)", name, dns.Type(h.Rrtype))
			}
			k := setKey{name, h.Rrtype}
			if want[k] == nil {
				want[k] = (&Zone{origin: z.origin, tree: emptyTree()}).edit()
				order = append(order, k)
			}
			want[k].add(rr, true)
		default:
			return refuse(dns.RcodeFormatError, "prerequisite at %s of class %s (3.2.5)", name, dns.Class(h.Class))
		}
	}
	for _, k := range order {
		is, should := z.set(k.name, k.kind), want[k].node(k.name).of(k.kind)
		if len(is) != len(should) {
			return refuse(dns.RcodeNXRrset, "%s %s is not as named (2.4.2)", k.name, dns.Type(k.kind))
		}
		for i := range is { // times to live are not compared
			if !dns.IsDuplicate(is[i], should[i]) {
				return refuse(dns.RcodeNXRrset, "%s %s is not as named (2.4.2)", k.name, dns.Type(k.kind))
			}
		}
	}
	return nil
}

// prescan is 3.4.1: nothing is changed unless all of it is well formed.
func (z *Zone) prescan(rrs []dns.RR) error {
	for _, rr := range rrs {
		h := rr.Header()
		name := Name(h.Name)
		if !Within(z.origin, name) {
			return refuse(dns.RcodeNotZone, "%s is outside of the zone (3.4.1.3)", name)
		}
		switch h.Class {
		case dns.ClassINET:
			if meta(h.Rrtype) {
				return refuse(dns.RcodeFormatError, "%s: no record of type %s is added (3.4.1.3)", name, dns.Type(h.Rrtype))
			}
			if h.Rdlength == 0 && !mayBeEmpty(h.Rrtype) {
				return refuse(dns.RcodeFormatError, "%s: a record of type %s without data is added (3.4.1.3)", name, dns.Type(h.Rrtype))
			}
		case dns.ClassANY:
			if h.Ttl != 0 || h.Rdlength != 0 || meta(h.Rrtype) && h.Rrtype != dns.TypeANY {
				return refuse(dns.RcodeFormatError, "%s: deletion of class ANY with a time to live, data or type %s (3.4.1.3)", name, dns.Type(h.Rrtype))
			}
		case dns.ClassNONE:
			if h.Ttl != 0 || meta(h.Rrtype) {
				return refuse(dns.RcodeFormatError, "%s: deletion of class NONE with a time to live or of type %s (3.4.1.3)", name, dns.Type(h.Rrtype))
			}
		default:
			return refuse(dns.RcodeFormatError, "%s: class %s (3.4.1.3)", name, dns.Class(h.Class))
		}
	}
	return nil
}

// mayBeEmpty reports whether data of a type may be no octet long.
func mayBeEmpty(t uint16) bool {
	_, known := dns.TypeToRR[t]
	return !known || t == dns.TypeNULL || t == dns.TypeAPL
}

// update is 3.4.2 for one record.
func (e *edit) update(rr dns.RR) {
	h := rr.Header()
	name, kind, apex := Name(h.Name), h.Rrtype, Name(h.Name) == e.z.origin
	n := e.node(name)
	switch h.Class {
	case dns.ClassINET: // 3.4.2.2: add
		if kind == dns.TypeCNAME {
			for _, s := range n {
				if !besideCNAME(s.kind()) {
					return
				}
			}
			e.swap(name, kind, nil) // a CNAME replaces another one
		} else if !besideCNAME(kind) && n.of(dns.TypeCNAME) != nil {
			return
		}
		if kind == dns.TypeSOA {
			old := n.of(dns.TypeSOA)
			soa, ok := rr.(*dns.SOA)
			if !ok || !apex || len(old) == 0 {
				return
			}
			if was, ok := old[0].(*dns.SOA); !ok || !NewerSerial(soa.Serial, was.Serial) {
				return
			}
			e.swap(name, kind, nil)
		}
		e.add(rr, true)
	case dns.ClassANY: // 3.4.2.3: delete a set, or all of a name
		if kind == dns.TypeANY {
			for _, s := range n {
				if k := s.kind(); !apex || k != dns.TypeSOA && k != dns.TypeNS {
					e.swap(name, k, nil)
				}
			}
		} else if !apex || kind != dns.TypeSOA && kind != dns.TypeNS {
			e.swap(name, kind, nil)
		}
	case dns.ClassNONE: // 3.4.2.4: delete one record
		if kind == dns.TypeSOA || apex && kind == dns.TypeNS && len(n.of(dns.TypeNS)) <= 1 {
			return
		}
		e.remove(rr)
	}
}
