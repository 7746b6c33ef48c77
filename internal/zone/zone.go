// Package zone is the data of a DNS zone and the decisions on it, free of I/O and clocks: updates (RFC 2136), differences (RFC 1995),
// answers (RFC 1034, 2308, 4592), which key may change what, and when a secondary asks its primary (RFC 1034, 1996).
//
// A Zone is an immutable version of a zone, for any number of goroutines: a change returns another Zone, which shares what is the same.
// Secondary, History and Replays are for one goroutine each.
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

// Name returns a name as zones have it: absolute, in lower case.
func Name(s string) string { return dns.CanonicalName(s) }

// Within reports whether a name is a zone's origin or below it. Both are as Name returns them.
func Within(origin, name string) bool {
	return name == origin || origin == "." || strings.HasSuffix(name, "."+origin) && !escapedAt(name, len(name)-len(origin)-1)
}

// escapedAt reports whether the dot at a place belongs to a label.
func escapedAt(name string, at int) bool {
	n := 0
	for at--; at >= 0 && name[at] == '\\'; at-- {
		n++
	}
	return n%2 == 1
}

// key is a name's key in the tree: its labels as octets from the root down, each ended by a zero octet; a zero or one
// within a label becomes two octets. The order of keys is the canonical order of names (RFC 4034 6.1), and the names
// below one are those whose keys it begins.
func key(name string) []byte {
	if name == "." {
		return nil
	}
	wire := make([]byte, 256)
	n, err := dns.PackDomainName(name, wire, 0, nil, false)
	if err != nil { // no name that was read from a message or a file: it stands for itself
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

// DataError is a record, or a set of them, that can't be in a zone.
type DataError struct{ detail string }

func dataError(format string, args ...any) error {
	return &DataError{detail: fmt.Sprintf(format, args...)}
}

// Error names the record.
func (e *DataError) Error() string { return e.detail }

// Errors of records that are no zone.
var (
	ErrNoSOA = errors.New("the zone has no SOA at its apex")
	ErrNoNS  = errors.New("the zone has no NS at its apex")
)

// New returns a zone with records. A record of another class or outside of the origin is a *DataError; equal records are one (RFC 2181 5),
// and a set's time to live is its lowest (5.2).
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
		return dataError("%s %s: it is not within %s", h.Name, dns.Type(h.Rrtype), z.origin)
	case meta(h.Rrtype):
		return dataError("%s %s: no record of a zone has this type", h.Name, dns.Type(h.Rrtype))
	case h.Rrtype == dns.TypeSOA && Name(h.Name) != z.origin:
		return dataError("%s SOA: it stands at the apex, %s, only", h.Name, z.origin)
	}
	return nil
}

// check returns why the data is no zone.
func (z *Zone) check() error {
	switch soa := z.set(z.origin, dns.TypeSOA); len(soa) {
	case 1:
	case 0:
		return fmt.Errorf("%s: %w", z.origin, ErrNoSOA)
	default:
		return dataError("%s: %d SOA records; there is one", z.origin, len(soa))
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
			err = dataError("%s: %d CNAME records; there is one (RFC 2181 10.1)", c[0].Header().Name, len(c))
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

// meta reports whether a type is no type of data, but of questions or messages, or a withdrawn one.
func meta(t uint16) bool {
	return t == 0 || t >= 128 && t <= 255 || t == dns.TypeOPT
}

// Origin returns the zone's name.
func (z *Zone) Origin() string { return z.origin }

// Records is how many there are.
func (z *Zone) Records() int { return z.records }

// SOA is the zone's start of authority.
func (z *Zone) SOA() *dns.SOA {
	if s := z.set(z.origin, dns.TypeSOA); len(s) > 0 {
		if soa, ok := s[0].(*dns.SOA); ok {
			return soa
		}
	}
	return nil
}

// Serial is its version.
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

// CopyRecords is records as they may be put into a message: packing one writes into it.
func CopyRecords(rrs []dns.RR) []dns.RR {
	out := make([]dns.RR, len(rrs))
	for i, rr := range rrs {
		out[i] = dns.Copy(rr)
	}
	return out
}

// Set is the records of one name and type; they must not be changed, nor put into a message (see CopyRecords).
func (z *Zone) Set(name string, kind uint16) []dns.RR { return z.set(Name(name), kind) }

// All calls f with each record, names in canonical order, the SOA first; until f says stop.
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

// List is all records, in the order of All.
func (z *Zone) List() []dns.RR {
	rrs := make([]dns.RR, 0, z.records)
	z.All(func(rr dns.RR) bool {
		rrs = append(rrs, rr)
		return false
	})
	return rrs
}

// NewerSerial reports whether serial a is newer than b in the arithmetic of RFC 1982. Two that are half of the space
// apart are neither newer than the other.
func NewerSerial(a, b uint32) bool {
	d := a - b
	return d != 0 && d < 1<<31
}

// NextSerial is the serial after one: never 0, which some take as none.
func NextSerial(s uint32) uint32 {
	if s++; s == 0 {
		s++
	}
	return s
}

// ---- Changes

// edit is a change to a zone under way, and what it did.
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

// swap sets the records of a name and type; none takes them away.
func (e *edit) swap(name string, kind uint16, s rrset) {
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

// add adds a record, in place of an equal one. The set's time to live is the record's if it wins, else the least.
func (e *edit) add(rr dns.RR, wins bool) {
	rr = owned(rr)
	h := rr.Header()
	old := e.node(h.Name).of(h.Rrtype)
	ttl := h.Ttl
	if !wins && len(old) > 0 {
		ttl = min(ttl, old[0].Header().Ttl)
	}
	at, found := slices.BinarySearchFunc(old, rr, byData)
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
	e.swap(h.Name, h.Rrtype, s)
}

// remove takes away the record with this one's name, type and data; it reports whether it was there.
func (e *edit) remove(rr dns.RR) bool {
	rr = owned(rr)
	h := rr.Header()
	old := e.node(h.Name).of(h.Rrtype)
	at, found := slices.BinarySearchFunc(old, rr, byData)
	if found {
		e.swap(h.Name, h.Rrtype, slices.Delete(slices.Clone(old), at, at+1))
	}
	return found
}

// owned is a copy of a record as a zone holds it: its name in lower case, its class IN.
func owned(rr dns.RR) dns.RR {
	rr = dns.Copy(rr)
	h := rr.Header()
	h.Name, h.Class, h.Rdlength = Name(h.Name), dns.ClassINET, 0
	return rr
}

// byData is the order of records of one name and type by their data (RFC 4034 6.3), in the canonical form of 6.2 as far
// as names within are compared without case.
func byData(a, b dns.RR) int {
	if dns.IsDuplicate(a, b) {
		return 0
	}
	return bytes.Compare(data(a), data(b))
}

// data is a record's data on the wire, names in it uncompressed and in lower case.
func data(rr dns.RR) []byte {
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

// nameLen is how many octets a name takes on the wire.
func nameLen(name string) int {
	var wire [256]byte
	n, err := dns.PackDomainName(name, wire[:], 0, nil, false)
	if err != nil {
		return len(name) + 1
	}
	return n
}

// packRR is a record on the wire, uncompressed. The library notes the length of its data in the record that it packs, so
// that what others read at the same time must not be it.
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
