// Package zone holds the data of a DNS zone and the logic on it, free of I/O and clocks: updates (RFC 2136), differences (RFC 1995),
// answers (RFC 1034, 2308, 4592), which key may change what, and when a secondary queries its primary (RFC 1034, 1996).
//
// A Zone is an immutable version of a zone and safe for concurrent use: a change returns another Zone, which shares the unchanged nodes.
// Secondary, History and Replays are not safe for concurrent use.
package zone

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"github.com/miekg/dns"
)

// Zone is one immutable version of a zone.
type Zone struct {
	origin  string
	tree    *iradix.Tree[node]
	records int
}

// node is the record sets of one name, sorted by type.
type node []rrset

// rrset is the records of one name and type, in canonical order of their data. Its records are never changed.
type rrset []dns.RR

func (s rrset) kind() uint16 { return s[0].Header().Rrtype }

// Name returns the canonical form of a name, which zones use: absolute, in lower case.
func Name(s string) string { return dns.CanonicalName(s) }

// Within reports whether a name is a zone's origin or below it. Both must be canonical (see Name).
func Within(origin, name string) bool {
	return name == origin || origin == "." || strings.HasSuffix(name, "."+origin) && !escapedAt(name, len(name)-len(origin)-1)
}

// escapedAt reports whether the dot at an index is escaped and so belongs to a label.
func escapedAt(name string, at int) bool {
	n := 0
	for at--; at >= 0 && name[at] == '\\'; at-- {
		n++
	}
	return n%2 == 1
}

// key returns a name's key in the tree: its labels as octets from the root down, each terminated by a zero octet. An octet 0 or 1
// within a label is escaped by a preceding octet 1. The order of keys is the canonical order of names (RFC 4034 6.1), and a name is
// below another if the other's key is a prefix of its key.
func key(name string) []byte {
	if name == "." {
		return nil
	}
	wire := make([]byte, 256)
	n, err := dns.PackDomainName(name, wire, 0, nil, false)
	if err != nil { // not a valid name, so not from a message or a file: its text is the key
		return []byte(name)
	}
	var starts [128]int
	labels := 0
	for at := 0; at < n && wire[at] != 0 && labels < len(starts); at += 1 + int(wire[at]) {
		starts[labels] = at
		labels++
	}
	k := make([]byte, 0, n+4)
	for labels--; labels >= 0; labels-- {
		at := starts[labels]
		for _, c := range wire[at+1 : at+1+int(wire[at])] {
			if c >= 'A' && c <= 'Z' {
				c += 'a' - 'A'
			}
			if c <= 1 {
				k = append(k, 1)
			}
			k = append(k, c)
		}
		k = append(k, 0)
	}
	return k
}

// DataError is a record, or a set of records, that a zone can't contain.
type DataError struct{ detail string }

func dataError(format string, args ...any) error {
	return &DataError{detail: fmt.Sprintf(format, args...)}
}

// Error names the record.
func (e *DataError) Error() string { return e.detail }

// Errors of records that do not form a zone.
var (
	ErrNoSOA = errors.New("the zone has no SOA at its apex")
	ErrNoNS  = errors.New("the zone has no NS at its apex")
)

// New returns a zone with records. A record of another class or outside of the origin is a *DataError. Duplicates are merged (RFC 2181 5),
// and a set gets the lowest time to live of its records (5.2).
func New(origin string, rrs []dns.RR) (*Zone, error) {
	z := &Zone{origin: Name(origin), tree: emptyTree()}
	e := z.edit()
	for _, rr := range rrs {
		if err := z.checkRecord(rr); err != nil {
			return nil, err
		}
		e.add(rr, false)
	}
	z = e.zone()
	return z, z.check()
}

func (z *Zone) checkRecord(rr dns.RR) error {
	h := rr.Header()
	switch {
	case h.Class != dns.ClassINET:
		return dataError("%s %s: class %s is not IN", h.Name, dns.Type(h.Rrtype), dns.Class(h.Class))
	case !Within(z.origin, Name(h.Name)):
		return dataError("%s %s: the name is not within %s", h.Name, dns.Type(h.Rrtype), z.origin)
	case meta(h.Rrtype):
		return dataError("%s %s: a zone can't contain records of this type", h.Name, dns.Type(h.Rrtype))
	case h.Rrtype == dns.TypeSOA && Name(h.Name) != z.origin:
		return dataError("%s SOA: an SOA is allowed only at the apex, %s", h.Name, z.origin)
	}
	return nil
}

// check returns an error if the data does not form a zone.
func (z *Zone) check() error {
	switch soa := z.set(z.origin, dns.TypeSOA); len(soa) {
	case 1:
	case 0:
		return fmt.Errorf("%s: %w", z.origin, ErrNoSOA)
	default:
		return dataError("%s: %d SOA records; a zone has exactly one", z.origin, len(soa))
	}
	if len(z.set(z.origin, dns.TypeNS)) == 0 {
		return fmt.Errorf("%s: %w", z.origin, ErrNoNS)
	}
	var err error
	z.tree.Root().Walk(func(_ []byte, n node) bool {
		c := n.of(dns.TypeCNAME)
		if c == nil {
			return false
		}
		if len(c) > 1 {
			err = dataError("%s: %d CNAME records; a name has at most one (RFC 2181 10.1)", c[0].Header().Name, len(c))
		}
		for _, s := range n {
			if !besideCNAME(s.kind()) {
				err = dataError("%s: CNAME beside %s (RFC 1034 3.6.2)", c[0].Header().Name, dns.Type(s.kind()))
			}
		}
		return err != nil
	})
	return err
}

// besideCNAME reports whether records of a type may be beside a CNAME (RFC 4034, 4035 2.5).
func besideCNAME(t uint16) bool {
	return t == dns.TypeCNAME || t == dns.TypeRRSIG || t == dns.TypeNSEC
}

// meta reports whether a type is not a data type: a query type, a meta type of messages, or a withdrawn type.
func meta(t uint16) bool {
	return t == 0 || t >= 128 && t <= 255 || t == dns.TypeOPT
}

// Origin returns the zone's name.
func (z *Zone) Origin() string { return z.origin }

// Records returns the number of records.
func (z *Zone) Records() int { return z.records }

// SOA returns the zone's start of authority.
func (z *Zone) SOA() *dns.SOA {
	if s := z.set(z.origin, dns.TypeSOA); len(s) > 0 {
		if soa, ok := s[0].(*dns.SOA); ok {
			return soa
		}
	}
	return nil
}

// Serial returns the zone's serial, 0 without an SOA.
func (z *Zone) Serial() uint32 {
	if soa := z.SOA(); soa != nil {
		return soa.Serial
	}
	return 0
}

func (z *Zone) node(name string) node {
	n, _ := z.tree.Get(key(name))
	return n
}

func (z *Zone) set(name string, kind uint16) rrset { return z.node(name).of(kind) }

func (n node) of(kind uint16) rrset {
	for _, s := range n {
		if s.kind() == kind {
			return s
		}
	}
	return nil
}

// CopyRecords returns copies of records that may be put into a message: packing a message writes into its records.
func CopyRecords(rrs []dns.RR) []dns.RR {
	out := make([]dns.RR, len(rrs))
	for i, rr := range rrs {
		out[i] = dns.Copy(rr)
	}
	return out
}

// Set returns the records of one name and type. They must not be changed, nor put into a message (see CopyRecords).
func (z *Zone) Set(name string, kind uint16) []dns.RR { return z.set(Name(name), kind) }

// All calls f with each record until f returns true: the SOA first, then by name in canonical order.
func (z *Zone) All(f func(dns.RR) (stop bool)) {
	soa := z.SOA()
	if soa != nil && f(soa) {
		return
	}
	z.tree.Root().Walk(func(_ []byte, n node) bool {
		for _, s := range n {
			for _, rr := range s {
				if rr != dns.RR(soa) && f(rr) {
					return true
				}
			}
		}
		return false
	})
}

// List returns all records, in the order of All.
func (z *Zone) List() []dns.RR {
	rrs := make([]dns.RR, 0, z.records)
	z.All(func(rr dns.RR) bool {
		rrs = append(rrs, rr)
		return false
	})
	return rrs
}

// NewerSerial reports whether serial a is newer than b in the arithmetic of RFC 1982. Of two serials that are half of the
// number space apart, neither is newer.
func NewerSerial(a, b uint32) bool {
	d := a - b
	return d != 0 && d < 1<<31
}

// NextSerial returns the serial after s. It skips 0, which some implementations take as no serial.
func NextSerial(s uint32) uint32 {
	if s++; s == 0 {
		s++
	}
	return s
}

// ---- Changes

// edit is an uncommitted change to a zone.
type edit struct {
	z       *Zone
	txn     *iradix.Txn[node]
	records int
}

func (z *Zone) edit() *edit { return &edit{z: z, txn: z.tree.Txn(), records: z.records} }

func (e *edit) zone() *Zone {
	return &Zone{origin: e.z.origin, tree: e.txn.Commit(), records: e.records}
}

func (e *edit) node(name string) node {
	n, _ := e.txn.Get(key(name))
	return n
}

func (e *edit) put(name string, n node) {
	if len(n) == 0 {
		e.txn.Delete(key(name))
	} else {
		e.txn.Insert(key(name), n)
	}
}

// replaceSet sets the records of a name and type; an empty set removes them.
func (e *edit) replaceSet(name string, kind uint16, s rrset) {
	old := e.node(name)
	n := make(node, 0, len(old)+1)
	for _, o := range old {
		if o.kind() != kind {
			n = append(n, o)
		} else {
			e.records -= len(o)
		}
	}
	if len(s) > 0 {
		n = append(n, s)
		e.records += len(s)
		slices.SortFunc(n, func(a, b rrset) int { return cmp.Compare(a.kind(), b.kind()) })
	}
	e.put(name, n)
}

// add adds a record or replaces its duplicate. The set's time to live becomes the record's if overrideTTL is set, else the lower of the two.
func (e *edit) add(rr dns.RR, overrideTTL bool) {
	rr = normalized(rr)
	h := rr.Header()
	old := e.node(h.Name).of(h.Rrtype)
	ttl := h.Ttl
	if !overrideTTL && len(old) > 0 {
		ttl = min(ttl, old[0].Header().Ttl)
	}
	at, found := slices.BinarySearchFunc(old, rr, compareData)
	s := make(rrset, 0, len(old)+1)
	s = append(append(s, old[:at]...), rr)
	if found {
		at++
	}
	s = append(s, old[at:]...)
	for i := range s {
		if s[i].Header().Ttl != ttl {
			s[i] = dns.Copy(s[i])
			s[i].Header().Ttl = ttl
		}
	}
	e.replaceSet(h.Name, h.Rrtype, s)
}

// remove removes the record with the name, type and data of rr, and reports whether there was one.
func (e *edit) remove(rr dns.RR) bool {
	rr = normalized(rr)
	h := rr.Header()
	old := e.node(h.Name).of(h.Rrtype)
	at, found := slices.BinarySearchFunc(old, rr, compareData)
	if found {
		e.replaceSet(h.Name, h.Rrtype, slices.Delete(slices.Clone(old), at, at+1))
	}
	return found
}

// normalized returns a copy of a record in the form that a zone stores: the name in lower case, the class IN.
func normalized(rr dns.RR) dns.RR {
	rr = dns.Copy(rr)
	h := rr.Header()
	h.Name, h.Class, h.Rdlength = Name(h.Name), dns.ClassINET, 0
	return rr
}

// compareData compares records of one name and type by their data (RFC 4034 6.3). Of the canonical form (6.2) only the lower case of names
// in the data is applied.
func compareData(a, b dns.RR) int {
	if dns.IsDuplicate(a, b) {
		return 0
	}
	return bytes.Compare(canonicalData(a), canonicalData(b))
}

// canonicalData returns a record's data in wire format, names in it uncompressed and in lower case.
func canonicalData(rr dns.RR) []byte {
	b, err := packRR(rr)
	if err != nil {
		return []byte(rr.String())
	}
	h := rr.Header()
	at := nameLen(h.Name) + 10
	if at > len(b) {
		return b
	}
	d := b[at:]
	switch rr.(type) {
	case *dns.NS, *dns.CNAME, *dns.PTR, *dns.DNAME, *dns.SOA, *dns.MB, *dns.MD, *dns.MF, *dns.MG, *dns.MR, *dns.RP, *dns.MINFO:
		lower(d)
	case *dns.MX:
		lower(d[2:])
	case *dns.SRV:
		lower(d[6:])
	}
	return d
}

func lower(b []byte) {
	for i, c := range b {
		if c >= 'A' && c <= 'Z' {
			b[i] = c + 'a' - 'A'
		}
	}
}

// nameLen returns the length of a name in wire format, in octets.
func nameLen(name string) int {
	var wire [256]byte
	n, err := dns.PackDomainName(name, wire[:], 0, nil, false)
	if err != nil {
		return len(name) + 1
	}
	return n
}

// packRR returns a record in wire format, uncompressed. It packs a copy: the library writes the length of the data into the record that
// it packs, which is a data race if other goroutines read that record.
func packRR(rr dns.RR) ([]byte, error) {
	rr = dns.Copy(rr)
	b := make([]byte, dns.Len(rr)+16)
	n, err := dns.PackRR(rr, b, 0, nil, false)
	if err != nil {
		b = make([]byte, 1<<16+300)
		if n, err = dns.PackRR(rr, b, 0, nil, false); err != nil {
			return nil, fmt.Errorf("%s %s: %w", rr.Header().Name, dns.Type(rr.Header().Rrtype), err)
		}
	}
	return b[:n], nil
}

func emptyTree() *iradix.Tree[node] { return iradix.New[node]() }
