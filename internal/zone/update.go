package zone

import (
	"fmt"

	"github.com/miekg/dns"
)

// Refusal is why an update is rejected: a response code, and a reason for the log.
type Refusal struct {
	Rcode  int
	Reason string
}

// Error returns the response code and the reason.
func (r *Refusal) Error() string { return dns.RcodeToString[r.Rcode] + ": " + r.Reason }

func refuse(rcode int, format string, args ...any) error {
	return &Refusal{rcode, fmt.Sprintf(format, args...)}
}

// Update applies an update message (RFC 2136 section 3) completely or not at all: it returns the zone after the update, or a *Refusal and
// no zone. The message must have been unpacked from wire format, as Rdlength shows whether a record has data. changed reports whether the
// zone's data changed; only then is after another version, with a newer serial (3.6). allowed checks the permission (3.3) and is called
// with the update section once the prerequisites hold and the update is well formed.
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
	// 3.6: if the data changed and the update did not set the serial, the serial is incremented.
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
		e.replaceSet(e.z.origin, dns.TypeSOA, rrset{soa})
	}
}

// WithSerial returns the zone with another serial.
func (z *Zone) WithSerial(s uint32) *Zone {
	e := z.edit()
	e.serial(s)
	return e.zone()
}

// same reports whether the names of the given records have the same data as before.
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

// rrsetKey names a record set.
type rrsetKey struct {
	name   string
	rrtype uint16
}

// prerequisites checks the prerequisite section (RFC 2136 3.2).
func (z *Zone) prerequisites(rrs []dns.RR) error {
	expected := map[rrsetKey]*edit{} // 3.2.3: sets that must exist with exactly these data, collected first
	var order []rrsetKey
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
		case dns.ClassANY, dns.ClassNONE:
			if err := z.existence(name, h); err != nil {
				return err
			}
		case dns.ClassINET:
			if meta(h.Rrtype) {
				return refuse(dns.RcodeFormatError, "prerequisite at %s of type %s has no data (3.2.5)", name, dns.Type(h.Rrtype))
			}
			k := rrsetKey{name, h.Rrtype}
			if expected[k] == nil {
				expected[k] = (&Zone{origin: z.origin, tree: emptyTree()}).edit()
				order = append(order, k)
			}
			expected[k].add(rr, true)
		default:
			return refuse(dns.RcodeFormatError, "prerequisite at %s of class %s (3.2.5)", name, dns.Class(h.Class))
		}
	}
	for _, k := range order {
		if err := z.equalData(k, expected[k].node(k.name).of(k.rrtype)); err != nil {
			return err
		}
	}
	return nil
}

// existence checks a prerequisite of class ANY (a name or set exists, 2.4.1 and 2.4.4) or NONE (it does not exist, 2.4.3 and 2.4.5).
func (z *Zone) existence(name string, h *dns.RR_Header) error {
	inUse := h.Class == dns.ClassANY
	if h.Rdlength != 0 {
		return refuse(dns.RcodeFormatError, "prerequisite of class %s at %s has data (3.2.5)", dns.Class(h.Class), name)
	}
	if h.Rrtype == dns.TypeANY {
		switch present := len(z.node(name)) > 0; {
		case inUse && !present:
			return refuse(dns.RcodeNameError, "%s is not in use (2.4.4)", name)
		case !inUse && present:
			return refuse(dns.RcodeYXDomain, "%s is in use (2.4.5)", name)
		}
		return nil
	}
	switch present := len(z.set(name, h.Rrtype)) > 0; {
	case inUse && !present:
		return refuse(dns.RcodeNXRrset, "%s has no %s (2.4.1)", name, dns.Type(h.Rrtype))
	case !inUse && present:
		return refuse(dns.RcodeYXRrset, "%s has %s (2.4.3)", name, dns.Type(h.Rrtype))
	}
	return nil
}

// equalData checks the prerequisite that a set exists with exactly the given data (2.4.2). Times to live are not compared.
func (z *Zone) equalData(k rrsetKey, expected rrset) error {
	present := z.set(k.name, k.rrtype)
	equal := len(present) == len(expected)
	for i := 0; equal && i < len(present); i++ {
		equal = dns.IsDuplicate(present[i], expected[i])
	}
	if !equal {
		return refuse(dns.RcodeNXRrset, "%s %s has other data than the prerequisite (2.4.2)", k.name, dns.Type(k.rrtype))
	}
	return nil
}

// prescan checks the update section (RFC 2136 3.4.1): nothing is changed unless all records are well formed.
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
				return refuse(dns.RcodeFormatError, "%s: a record of type %s can't be added (3.4.1.3)", name, dns.Type(h.Rrtype))
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

// mayBeEmpty reports whether records of a type may have empty data.
func mayBeEmpty(t uint16) bool {
	_, known := dns.TypeToRR[t]
	return !known || t == dns.TypeNULL || t == dns.TypeAPL
}

// update applies one record of the update section (RFC 2136 3.4.2).
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
			e.replaceSet(name, kind, nil) // a CNAME replaces another one
		} else if !besideCNAME(kind) && n.of(dns.TypeCNAME) != nil {
			return
		}
		if kind == dns.TypeSOA {
			old := n.of(dns.TypeSOA)
			soa, ok := rr.(*dns.SOA)
			if !ok || !apex || len(old) == 0 {
				return
			}
			if current, ok := old[0].(*dns.SOA); !ok || !NewerSerial(soa.Serial, current.Serial) {
				return
			}
			e.replaceSet(name, kind, nil)
		}
		e.add(rr, true)
	case dns.ClassANY: // 3.4.2.3: delete a set, or all of a name
		if kind == dns.TypeANY {
			for _, s := range n {
				if k := s.kind(); !apex || k != dns.TypeSOA && k != dns.TypeNS {
					e.replaceSet(name, k, nil)
				}
			}
		} else if !apex || kind != dns.TypeSOA && kind != dns.TypeNS {
			e.replaceSet(name, kind, nil)
		}
	case dns.ClassNONE: // 3.4.2.4: delete one record
		if kind == dns.TypeSOA || apex && kind == dns.TypeNS && len(n.of(dns.TypeNS)) <= 1 {
			return
		}
		e.remove(rr)
	}
}
