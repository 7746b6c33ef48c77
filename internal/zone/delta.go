package zone

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/miekg/dns"
)

// Delta is the difference between two versions of a zone, as in RFC 1995: the removed and the added records, which include the old and
// the new SOA.
type Delta struct {
	From, To       uint32
	Removed, Added []dns.RR
}

// Records returns the number of removed and added records.
func (d *Delta) Records() int { return len(d.Removed) + len(d.Added) }

// ErrDeltaMismatch reports that a difference was made from another version, or does not match the records of the zone.
var ErrDeltaMismatch = errors.New("the difference does not apply to this version")

// Apply returns the zone after a difference. All records that it removes must exist and all that it adds must not, else the error is
// ErrDeltaMismatch.
func (z *Zone) Apply(d *Delta) (*Zone, error) {
	if z.Serial() != d.From {
		return nil, fmt.Errorf("%s: %w: from serial %d, the zone has %d", z.origin, ErrDeltaMismatch, d.From, z.Serial())
	}
	e := z.edit()
	for _, rr := range d.Removed {
		if !e.remove(rr) {
			return nil, fmt.Errorf("%s: %w: it removes a record that does not exist: %s", z.origin, ErrDeltaMismatch, rr)
		}
	}
	for _, rr := range d.Added {
		if err := z.checkRecord(rr); err != nil {
			return nil, err
		}
		before := e.records
		if e.add(rr, true); e.records == before {
			return nil, fmt.Errorf("%s: %w: it adds a record that exists: %s", z.origin, ErrDeltaMismatch, rr)
		}
	}
	after := e.zone()
	if err := after.check(); err != nil {
		return nil, err
	}
	if after.Serial() != d.To {
		return nil, fmt.Errorf("%s: %w: to serial %d, the result has %d", z.origin, ErrDeltaMismatch, d.To, after.Serial())
	}
	return after, nil
}

// Diff returns the difference from a to b by a merge of two ordered walks. Where a time to live differs, the set's records are removed
// and added again.
func Diff(a, b *Zone) *Delta {
	d := &Delta{From: a.Serial(), To: b.Serial()}
	x, y := a.tree.Root().Iterator(), b.tree.Root().Iterator()
	kx, nx, okx := x.Next()
	ky, ny, oky := y.Next()
	for okx || oky {
		switch order := bytes.Compare(kx, ky); {
		case !oky || okx && order < 0:
			d.node(nx, nil)
			kx, nx, okx = x.Next()
		case !okx || order > 0:
			d.node(nil, ny)
			ky, ny, oky = y.Next()
		default:
			d.node(nx, ny)
			kx, nx, okx = x.Next()
			ky, ny, oky = y.Next()
		}
	}
	return d
}

// DiffNames is Diff where only the given names can differ. Its cost depends on their number, not on the size of the zone.
func DiffNames(a, b *Zone, names []string) *Delta {
	d := &Delta{From: a.Serial(), To: b.Serial()}
	done := map[string]bool{}
	for _, name := range append([]string{a.origin}, names...) { // the SOA is always among them
		if name = Name(name); !done[name] {
			done[name] = true
			d.node(a.node(name), b.node(name))
		}
	}
	return d
}

func (d *Delta) node(a, b node) {
	if len(a) == len(b) && len(a) > 0 && &a[0] == &b[0] {
		return
	}
	d.Removed = appendMissing(d.Removed, a, b)
	d.Added = appendMissing(d.Added, b, a)
}

// appendMissing appends the records of a that b lacks, or has with another time to live.
func appendMissing(rrs []dns.RR, a, b node) []dns.RR {
	for _, s := range a {
		t := b.of(s.kind())
		if sameSet(s, t) {
			continue
		}
		for _, rr := range s {
			if !has(t, rr) {
				rrs = append(rrs, rr)
			}
		}
	}
	return rrs
}

// has reports whether a set has a record, with the same time to live.
func has(s rrset, rr dns.RR) bool {
	for _, o := range s {
		if o == rr || o.Header().Ttl == rr.Header().Ttl && dns.IsDuplicate(o, rr) {
			return true
		}
	}
	return false
}

// Rebase applies the manual edits from base to edited to the current version now. Each record set that was edited is taken from
// edited, all other sets from now. The serial is that of edited if it is newer than now's, else the next serial after now's. changed
// is false, and after is now, if the edits do not change the records of now and the serial of edited is not newer.
func Rebase(base, edited, now *Zone) (after *Zone, changed bool, err error) {
	type setID struct {
		name string
		kind uint16
	}
	touched := map[setID]bool{}
	d := Diff(base, edited)
	for _, rr := range append(append([]dns.RR{}, d.Removed...), d.Added...) {
		touched[setID{Name(rr.Header().Name), rr.Header().Rrtype}] = true
	}
	e := now.edit()
	for p := range touched {
		if p.kind != dns.TypeSOA {
			e.replaceSet(p.name, p.kind, edited.set(p.name, p.kind))
		}
	}
	serial := now.Serial()
	if soa := edited.set(edited.origin, dns.TypeSOA); len(soa) == 1 && touched[setID{edited.origin, dns.TypeSOA}] {
		e.replaceSet(edited.origin, dns.TypeSOA, soa)
	}
	after = e.zone()
	changed = Diff(now.WithSerial(0), after.WithSerial(0)).Records() > 0 || NewerSerial(edited.Serial(), serial)
	if !changed {
		return now, false, nil
	}
	if s := edited.Serial(); NewerSerial(s, serial) {
		after = after.WithSerial(s)
	} else {
		after = after.WithSerial(NextSerial(serial))
	}
	return after, true, after.check()
}

// History holds the latest differences of a zone; each starts at the serial at which the previous one ends. It is not safe for
// concurrent use.
type History struct {
	MaxVersions, MaxRecords int

	deltas  []*Delta
	records int
}

// Add adds a difference. A difference that does not continue the last one clears the history first.
func (h *History) Add(d *Delta) {
	if n := len(h.deltas); n > 0 && h.deltas[n-1].To != d.From {
		h.deltas, h.records = nil, 0
	}
	h.deltas = append(h.deltas, d)
	h.records += d.Records()
	for len(h.deltas) > h.MaxVersions || h.records > h.MaxRecords && len(h.deltas) > 0 {
		h.records -= h.deltas[0].Records()
		h.deltas[0] = nil
		h.deltas = h.deltas[1:]
	}
}

// Since returns the differences from a serial to the last one; false if the history does not contain the serial.
func (h *History) Since(serial uint32) ([]*Delta, bool) {
	for i := len(h.deltas) - 1; i >= 0; i-- {
		if h.deltas[i].From == serial {
			return append([]*Delta{}, h.deltas[i:]...), true
		}
	}
	return nil, false
}

// Incremental returns the records of an answer to IXFR (RFC 1995 4): the current SOA; for each difference the old SOA with the removed
// records and the new SOA with the added records; and the current SOA again.
func Incremental(now *Zone, deltas []*Delta) []dns.RR {
	rrs := []dns.RR{now.SOA()}
	for _, d := range deltas {
		for _, side := range [][]dns.RR{d.Removed, d.Added} {
			for _, rr := range side {
				if rr.Header().Rrtype == dns.TypeSOA {
					rrs = append(rrs, rr)
				}
			}
			for _, rr := range side {
				if rr.Header().Rrtype != dns.TypeSOA {
					rrs = append(rrs, rr)
				}
			}
		}
	}
	return append(rrs, now.SOA())
}

// ErrTransfer reports a malformed transfer: truncated, without its SOAs, or with records after its end.
var ErrTransfer = errors.New("the transfer is malformed")

// FromTransfer builds the next version from the records of an answer to AXFR (RFC 5936 2.2) or IXFR (RFC 1995 4). The answer is a full
// zone, or differences from before, which may be nil. It returns before itself if the answer says that before is current. deltas is
// empty for a full zone.
func FromTransfer(origin string, before *Zone, rrs []dns.RR) (after *Zone, deltas []*Delta, err error) {
	if len(rrs) == 0 {
		return nil, nil, fmt.Errorf("%s: %w: it has no record", origin, ErrTransfer)
	}
	last, ok := rrs[0].(*dns.SOA)
	if !ok || Name(last.Hdr.Name) != Name(origin) {
		return nil, nil, fmt.Errorf("%s: %w: it does not begin with the zone's SOA", origin, ErrTransfer)
	}
	if len(rrs) == 1 {
		if before != nil && before.Serial() == last.Serial {
			return before, nil, nil
		}
		return nil, nil, fmt.Errorf("%s: %w: a single SOA, serial %d", origin, ErrTransfer, last.Serial)
	}
	end, ok := rrs[len(rrs)-1].(*dns.SOA)
	if !ok || end.Serial != last.Serial {
		return nil, nil, fmt.Errorf("%s: %w: it does not end with the SOA that it begins with", origin, ErrTransfer)
	}
	body := rrs[1 : len(rrs)-1]
	if len(body) == 0 || body[0].Header().Rrtype != dns.TypeSOA {
		for _, rr := range body {
			if rr.Header().Rrtype == dns.TypeSOA {
				return nil, nil, fmt.Errorf("%s: %w: records after its end", origin, ErrTransfer)
			}
		}
		after, err = New(origin, rrs[:len(rrs)-1])
		return after, nil, err
	}
	if before == nil {
		return nil, nil, fmt.Errorf("%s: %w: it has differences, and there is no version to apply them to", origin, ErrTransfer)
	}
	after = before
	for at := 0; at < len(body); {
		from, ok := body[at].(*dns.SOA)
		if !ok {
			return nil, nil, fmt.Errorf("%s: %w: a difference without its SOA", origin, ErrTransfer)
		}
		d := &Delta{From: from.Serial, Removed: []dns.RR{from}}
		for at++; at < len(body) && body[at].Header().Rrtype != dns.TypeSOA; at++ {
			d.Removed = append(d.Removed, body[at])
		}
		if at == len(body) {
			return nil, nil, fmt.Errorf("%s: %w: a difference from serial %d without its second SOA", origin, ErrTransfer, d.From)
		}
		to, _ := body[at].(*dns.SOA)
		d.To, d.Added = to.Serial, []dns.RR{to}
		for at++; at < len(body) && body[at].Header().Rrtype != dns.TypeSOA; at++ {
			d.Added = append(d.Added, body[at])
		}
		if after, err = after.Apply(d); err != nil {
			return nil, nil, err
		}
		deltas = append(deltas, d)
	}
	if after.Serial() != last.Serial {
		return nil, nil, fmt.Errorf("%s: %w: the differences end at serial %d, not at %d", origin, ErrTransfer, after.Serial(), last.Serial)
	}
	return after, deltas, nil
}
