package zone

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/miekg/dns"
	"pgregory.net/rapid"
)

const base = `
@        300 IN SOA ns.example. host.example. 10 3600 600 86400 60
@        300 IN NS  ns
@        300 IN MX  10 mail
ns       300 IN A   192.0.2.1
www      300 IN A   192.0.2.2
www      300 IN A   192.0.2.3
www      300 IN TXT "x"
alias    300 IN CNAME www
a.b      300 IN A   192.0.2.4
*.wild   300 IN A   192.0.2.5
sub      300 IN NS  ns.sub
ns.sub   300 IN A   192.0.2.6
`

func parse(t testing.TB, text string) *Zone {
	t.Helper()
	z, err := Parse(strings.NewReader(text), "example.", "test", nil, 1000)
	if err != nil {
		t.Fatal(err)
	}
	return z
}

// rr parses a record; "name class type" gives a record without data, as in an update message.
func rr(t testing.TB, text string) dns.RR {
	t.Helper()
	f := strings.Fields(text)
	classes := map[string]uint16{"ANY": dns.ClassANY, "NONE": dns.ClassNONE, "CH": dns.ClassCHAOS, "IN": dns.ClassINET}
	name := dns.Fqdn(strings.TrimSuffix(f[0], "."))
	if !strings.HasSuffix(name, "example.") && !strings.HasSuffix(f[0], ".") {
		name += "example."
	}
	if f[0] == "@" {
		name = "example."
	}
	var ttl uint32
	if _, err := fmt.Sscan(f[1], &ttl); err == nil {
		f = append(f[:1], f[2:]...)
	}
	class, kind := classes[f[1]], dns.StringToType[f[2]]
	if len(f) == 3 {
		return &dns.ANY{Hdr: dns.RR_Header{Name: name, Class: class, Rrtype: kind, Ttl: ttl}}
	}
	got, err := dns.NewRR(fmt.Sprintf("%s %d IN %s %s", name, ttl, f[2], strings.Join(f[3:], " ")))
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	got.Header().Class = class
	return got
}

// message returns an update message as unpacked from wire format.
func message(t testing.TB, origin string, prerequisites, updates []string) *dns.Msg {
	t.Helper()
	m := new(dns.Msg).SetUpdate(origin)
	for _, p := range prerequisites {
		m.Answer = append(m.Answer, rr(t, p))
	}
	for _, u := range updates {
		m.Ns = append(m.Ns, rr(t, u))
	}
	return repack(t, m)
}

func repack(t testing.TB, m *dns.Msg) *dns.Msg {
	t.Helper()
	raw, err := m.Pack()
	if err != nil {
		t.Fatal(err)
	}
	got := new(dns.Msg)
	if err := got.Unpack(raw); err != nil {
		t.Fatal(err)
	}
	return got
}

// Each row is a rule of RFC 2136, under its section.
func TestUpdateTable(t *testing.T) {
	ok := dns.RcodeSuccess
	for _, c := range []struct {
		section     string
		pre, up     []string
		rcode       int
		wantAdded   []string // added records, without the SOA
		wantRemoved []string // removed records, without the SOA
	}{
		{"2.4.1 RRset exists, any data: it does", []string{"www ANY A"}, []string{"n 60 IN A 192.0.2.9"}, ok, []string{"n.example. 60 IN A 192.0.2.9"}, nil},
		{"2.4.1 it does not", []string{"www ANY AAAA"}, []string{"n 60 IN A 192.0.2.9"}, dns.RcodeNXRrset, nil, nil},
		{"2.4.2 RRset exists with these data", []string{"www IN A 192.0.2.3", "www IN A 192.0.2.2"}, []string{"n 60 IN A 192.0.2.9"}, ok, []string{"n.example. 60 IN A 192.0.2.9"}, nil},
		{"2.4.2 one is missing in the message", []string{"www IN A 192.0.2.3"}, []string{"n 60 IN A 192.0.2.9"}, dns.RcodeNXRrset, nil, nil},
		{"2.4.2 one record differs", []string{"www IN A 192.0.2.3", "www IN A 192.0.2.4"}, []string{"n 60 IN A 192.0.2.9"}, dns.RcodeNXRrset, nil, nil},
		{"2.4.2 names within are compared without case", []string{"alias IN CNAME WWW.Example."}, []string{"n 60 IN A 192.0.2.9"}, ok, []string{"n.example. 60 IN A 192.0.2.9"}, nil},
		{"2.4.3 RRset does not exist", []string{"www NONE AAAA"}, []string{"n 60 IN A 192.0.2.9"}, ok, []string{"n.example. 60 IN A 192.0.2.9"}, nil},
		{"2.4.3 it does", []string{"www NONE A"}, []string{"n 60 IN A 192.0.2.9"}, dns.RcodeYXRrset, nil, nil},
		{"2.4.4 name is in use", []string{"www ANY ANY"}, []string{"n 60 IN A 192.0.2.9"}, ok, []string{"n.example. 60 IN A 192.0.2.9"}, nil},
		{"2.4.4 it is not", []string{"nope ANY ANY"}, []string{"n 60 IN A 192.0.2.9"}, dns.RcodeNameError, nil, nil},
		{"2.4.4 an empty non-terminal is not in use", []string{"b ANY ANY"}, []string{"n 60 IN A 192.0.2.9"}, dns.RcodeNameError, nil, nil},
		{"2.4.5 name is not in use", []string{"nope NONE ANY"}, []string{"n 60 IN A 192.0.2.9"}, ok, []string{"n.example. 60 IN A 192.0.2.9"}, nil},
		{"2.4.5 it is", []string{"www NONE ANY"}, []string{"n 60 IN A 192.0.2.9"}, dns.RcodeYXDomain, nil, nil},
		{"3.2.5 a prerequisite has a time to live", []string{"www 1 ANY A"}, nil, dns.RcodeFormatError, nil, nil},
		{"3.2.5 class ANY with data", []string{"www ANY A 192.0.2.2"}, nil, dns.RcodeFormatError, nil, nil},
		{"3.2.5 class NONE with data", []string{"www NONE A 192.0.2.2"}, nil, dns.RcodeFormatError, nil, nil},
		{"3.2.5 outside of the zone", []string{"www.other. ANY A"}, nil, dns.RcodeNotZone, nil, nil},
		{"3.2.5 another class", []string{"www CH A"}, nil, dns.RcodeFormatError, nil, nil},
		{"3.2.5 class of the zone, type ANY", []string{"www IN ANY"}, nil, dns.RcodeFormatError, nil, nil},
		{"3.4.1.3 outside of the zone", nil, []string{"www.other. 60 IN A 192.0.2.9"}, dns.RcodeNotZone, nil, nil},
		{"3.4.1.3 the second record is bad: none is applied", nil, []string{"n 60 IN A 192.0.2.9", "n 60 IN ANY"}, dns.RcodeFormatError, nil, nil},
		{"3.4.1.3 add of AXFR", nil, []string{"n 60 IN AXFR"}, dns.RcodeFormatError, nil, nil},
		{"3.4.1.3 add without data", nil, []string{"n 60 IN A"}, dns.RcodeFormatError, nil, nil},
		{"3.4.1.3 class ANY with a time to live", nil, []string{"www 1 ANY A"}, dns.RcodeFormatError, nil, nil},
		{"3.4.1.3 class ANY with data", nil, []string{"www ANY A 192.0.2.2"}, dns.RcodeFormatError, nil, nil},
		{"3.4.1.3 class ANY, type MAILB", nil, []string{"www ANY MAILB"}, dns.RcodeFormatError, nil, nil},
		{"3.4.1.3 class NONE with a time to live", nil, []string{"www 1 NONE A 192.0.2.2"}, dns.RcodeFormatError, nil, nil},
		{"3.4.1.3 class NONE, type ANY", nil, []string{"www NONE ANY"}, dns.RcodeFormatError, nil, nil},
		{"3.4.1.3 another class", nil, []string{"www 1 CH A 192.0.2.2"}, dns.RcodeFormatError, nil, nil},
		{"3.4.2.2 add to a set: its time to live is the set's (RFC 2181 5.2)", nil, []string{"www 60 IN A 192.0.2.9"}, ok,
			[]string{"www.example. 60 IN A 192.0.2.2", "www.example. 60 IN A 192.0.2.3", "www.example. 60 IN A 192.0.2.9"}, []string{"www.example. 300 IN A 192.0.2.2", "www.example. 300 IN A 192.0.2.3"}},
		{"3.4.2.2 add what is there: nothing changes, the serial neither", nil, []string{"www 300 IN A 192.0.2.2"}, ok, nil, nil},
		{"3.4.2.2 a CNAME where there are other data: ignored", nil, []string{"www 60 IN CNAME ns.example."}, ok, nil, nil},
		{"3.4.2.2 other data where there is a CNAME: ignored", nil, []string{"alias 60 IN A 192.0.2.9"}, ok, nil, nil},
		{"3.4.2.2 a CNAME replaces a CNAME", nil, []string{"alias 60 IN CNAME ns.example."}, ok, []string{"alias.example. 60 IN CNAME ns.example."}, []string{"alias.example. 300 IN CNAME www.example."}},
		{"3.4.2.2 a SOA that is not newer: ignored", nil, []string{"@ 300 IN SOA ns.example. other.example. 10 1 1 1 1"}, ok, nil, nil},
		{"3.4.2.2 a SOA where there is none: ignored", nil, []string{"www 300 IN SOA ns.example. other.example. 99 1 1 1 1"}, ok, nil, nil},
		{"3.4.2.3 delete a set", nil, []string{"www ANY A"}, ok, nil, []string{"www.example. 300 IN A 192.0.2.2", "www.example. 300 IN A 192.0.2.3"}},
		{"3.4.2.3 delete all of a name", nil, []string{"www ANY ANY"}, ok, nil, []string{"www.example. 300 IN A 192.0.2.2", "www.example. 300 IN A 192.0.2.3", `www.example. 300 IN TXT "x"`}},
		{"3.4.2.3 delete all at the apex: SOA and NS stay", nil, []string{"@ ANY ANY"}, ok, nil, []string{"example. 300 IN MX 10 mail.example."}},
		{"3.4.2.3 delete the apex's SOA: ignored", nil, []string{"@ ANY SOA"}, ok, nil, nil},
		{"3.4.2.3 delete the apex's NS: ignored", nil, []string{"@ ANY NS"}, ok, nil, nil},
		{"3.4.2.3 delete another name's NS", nil, []string{"sub ANY NS"}, ok, nil, []string{"sub.example. 300 IN NS ns.sub.example."}},
		{"3.4.2.4 delete one record", nil, []string{"www NONE A 192.0.2.2"}, ok, nil, []string{"www.example. 300 IN A 192.0.2.2"}},
		{"3.4.2.4 delete one that is not there", nil, []string{"www NONE A 192.0.2.99"}, ok, nil, nil},
		{"3.4.2.4 delete the apex's last NS: ignored", nil, []string{"@ NONE NS ns.example."}, ok, nil, nil},
		{"3.4.2.4 delete the last but one: the second stays", nil, []string{"@ 300 IN NS n2.example.", "@ NONE NS ns.example.", "@ NONE NS n2.example."}, ok,
			[]string{"example. 300 IN NS n2.example."}, []string{"example. 300 IN NS ns.example."}},
		{"3.4.2.4 delete the SOA: ignored", nil, []string{"@ NONE SOA ns.example. host.example. 10 3600 600 86400 60"}, ok, nil, nil},
		{"3.4.2 in the order of the message", nil, []string{"www ANY A", "www 300 IN A 192.0.2.9"}, ok,
			[]string{"www.example. 300 IN A 192.0.2.9"}, []string{"www.example. 300 IN A 192.0.2.2", "www.example. 300 IN A 192.0.2.3"}},
		{"3.4.2 add and delete in one message: nothing changes", nil, []string{"n 300 IN A 192.0.2.9", "n ANY ANY"}, ok, nil, nil},
	} {
		t.Run(c.section, func(t *testing.T) {
			z := parse(t, base)
			after, changed, err := z.Update(message(t, "example.", c.pre, c.up), nil)
			var r *Refusal
			switch {
			case c.rcode == ok && err != nil:
				t.Fatal(err)
			case c.rcode != ok:
				if !errors.As(err, &r) || r.Rcode != c.rcode || after != nil {
					t.Fatalf("got %v and zone %v, want %s", err, after, dns.RcodeToString[c.rcode])
				}
				return
			}
			d := Diff(z, after)
			added, removed := texts(d.Added), texts(d.Removed)
			if !slices.Equal(added, sortedTexts(c.wantAdded)) || !slices.Equal(removed, sortedTexts(c.wantRemoved)) {
				t.Errorf("added %q, want %q; removed %q, want %q", added, c.wantAdded, removed, c.wantRemoved)
			}
			if want := len(c.wantAdded)+len(c.wantRemoved) > 0; changed != want || (after.Serial() == 11) != want || !want && after != z {
				t.Errorf("changed %v, serial %d", changed, after.Serial())
			}
		})
	}
	t.Run("3.1 zone section", func(t *testing.T) {
		z := parse(t, base)
		for rcode, m := range map[int]*dns.Msg{dns.RcodeNotAuth: message(t, "other.", nil, nil), dns.RcodeFormatError: repack(t, &dns.Msg{})} {
			var r *Refusal
			if _, _, err := z.Update(m, nil); !errors.As(err, &r) || r.Rcode != rcode {
				t.Errorf("%v, want %d", err, rcode)
			}
		}
	})
	t.Run("3.4.2.2 and 3.6 a newer SOA sets the serial", func(t *testing.T) {
		z := parse(t, base)
		after, changed, err := z.Update(message(t, "example.", nil, []string{"@ 300 IN SOA ns.example. other.example. 50 1 1 1 1"}), nil)
		if err != nil || !changed || after.Serial() != 50 {
			t.Error(after.Serial(), changed, err)
		}
	})
	t.Run("3.3 permissions", func(t *testing.T) {
		z := parse(t, base)
		g := Grant{Names: []string{"www.example.", "*.wild.example."}, Types: []uint16{dns.TypeA, dns.TypeAAAA}}
		for up, want := range map[string]bool{"www 300 IN A 192.0.2.9": true, "WWW 300 IN A 192.0.2.9": true, "x.wild 300 IN A 192.0.2.9": true,
			"wild 300 IN A 192.0.2.9": false, "ns 300 IN A 192.0.2.9": false, "www 300 IN TXT y": false, "www ANY ANY": false, "x.wild ANY ANY": true, "wwww 300 IN A 192.0.2.9": false} {
			after, _, err := z.Update(message(t, "example.", nil, []string{"www ANY A", up}), g.Allows)
			var r *Refusal
			if want && err != nil || !want && (!errors.As(err, &r) || r.Rcode != dns.RcodeRefused || after != nil) {
				t.Errorf("%s: %v", up, err)
			}
		}
	})
}

// texts returns the records as sorted texts, without the SOA.
func texts(rrs []dns.RR) []string {
	var out []string
	for _, rr := range rrs {
		if rr.Header().Rrtype != dns.TypeSOA {
			out = append(out, rr.String())
		}
	}
	return sortedTexts(out)
}

func sortedTexts(in []string) []string {
	out := make([]string, 0, len(in))
	for _, s := range in {
		out = append(out, strings.ToLower(strings.Join(strings.Fields(s), " "))) // names are the same in either case
	}
	slices.Sort(out)
	return out
}

// ---- A slow reference implementation of the pseudocode in RFC 2136 3.2.6, 3.4.1.4 and 3.4.2.7 over a plain list of records

type referenceZone []dns.RR

func (p referenceZone) at(name string, f func(dns.RR) bool) (out referenceZone) {
	for _, r := range p {
		if strings.EqualFold(r.Header().Name, name) && f(r) {
			out = append(out, r)
		}
	}
	return out
}

func (p referenceZone) without(f func(dns.RR) bool) referenceZone {
	return slices.DeleteFunc(slices.Clone(p), f)
}

func sameData(a, b dns.RR) bool {
	x := dns.Copy(b)
	x.Header().Class, x.Header().Rdlength = dns.ClassINET, 0
	y := dns.Copy(a)
	y.Header().Class, y.Header().Rdlength = dns.ClassINET, 0
	return dns.IsDuplicate(x, y)
}

func (p referenceZone) update(m *dns.Msg) (referenceZone, int) {
	const zname = "example."
	temp := map[string]referenceZone{}
	is := func(kind uint16) func(dns.RR) bool { return func(r dns.RR) bool { return r.Header().Rrtype == kind } }
	any := func(dns.RR) bool { return true }
	for _, rr := range m.Answer {
		h := rr.Header()
		if h.Ttl != 0 {
			return nil, dns.RcodeFormatError
		}
		if !dns.IsSubDomain(zname, strings.ToLower(h.Name)) {
			return nil, dns.RcodeNotZone
		}
		switch {
		case h.Class == dns.ClassANY && h.Rdlength != 0, h.Class == dns.ClassNONE && h.Rdlength != 0:
			return nil, dns.RcodeFormatError
		case h.Class == dns.ClassANY && h.Rrtype == dns.TypeANY:
			if len(p.at(h.Name, any)) == 0 {
				return nil, dns.RcodeNameError
			}
		case h.Class == dns.ClassANY:
			if len(p.at(h.Name, is(h.Rrtype))) == 0 {
				return nil, dns.RcodeNXRrset
			}
		case h.Class == dns.ClassNONE && h.Rrtype == dns.TypeANY:
			if len(p.at(h.Name, any)) > 0 {
				return nil, dns.RcodeYXDomain
			}
		case h.Class == dns.ClassNONE:
			if len(p.at(h.Name, is(h.Rrtype))) > 0 {
				return nil, dns.RcodeYXRrset
			}
		case h.Class == dns.ClassINET:
			k := strings.ToLower(h.Name) + dns.Type(h.Rrtype).String()
			if !slices.ContainsFunc(temp[k], func(o dns.RR) bool { return sameData(o, rr) }) {
				temp[k] = append(temp[k], rr)
			}
		default:
			return nil, dns.RcodeFormatError
		}
	}
	for _, set := range temp {
		have := p.at(set[0].Header().Name, is(set[0].Header().Rrtype))
		if len(have) != len(set) {
			return nil, dns.RcodeNXRrset
		}
		for _, r := range set {
			if !slices.ContainsFunc(have, func(o dns.RR) bool { return sameData(o, r) }) {
				return nil, dns.RcodeNXRrset
			}
		}
	}
	z := slices.Clone(p)
	before := texts(z)
	serial := z.at(zname, is(dns.TypeSOA))[0].(*dns.SOA).Serial
	for _, rr := range m.Ns {
		h := rr.Header()
		name := h.Name
		apex := strings.EqualFold(name, zname)
		isSOA, isNS, isCNAME := h.Rrtype == dns.TypeSOA, h.Rrtype == dns.TypeNS, h.Rrtype == dns.TypeCNAME
		switch h.Class {
		case dns.ClassINET:
			if isCNAME {
				if len(z.at(name, func(r dns.RR) bool { return r.Header().Rrtype != dns.TypeCNAME })) > 0 {
					continue
				}
			} else if len(z.at(name, is(dns.TypeCNAME))) > 0 {
				continue
			}
			if isSOA {
				old := z.at(name, is(dns.TypeSOA))
				if len(old) == 0 || int32(rr.(*dns.SOA).Serial-old[0].(*dns.SOA).Serial) <= 0 {
					continue
				}
			}
			set := z.at(name, is(h.Rrtype))
			z = z.without(func(r dns.RR) bool { return slices.Contains(set, r) })
			if !isCNAME && !isSOA {
				for _, r := range set {
					if !sameData(r, rr) {
						c := dns.Copy(r)
						c.Header().Ttl = h.Ttl // RFC 2181 5.2
						z = append(z, c)
					}
				}
			}
			c := dns.Copy(rr)
			c.Header().Name, c.Header().Rdlength = strings.ToLower(name), 0
			z = append(z, c)
		case dns.ClassANY:
			z = z.without(func(r dns.RR) bool {
				k := r.Header().Rrtype
				return strings.EqualFold(r.Header().Name, name) && (h.Rrtype == dns.TypeANY || k == h.Rrtype) && !(apex && (k == dns.TypeSOA || k == dns.TypeNS))
			})
		case dns.ClassNONE:
			if isSOA || apex && isNS && len(z.at(name, is(dns.TypeNS))) == 1 {
				continue
			}
			z = z.without(func(r dns.RR) bool { return strings.EqualFold(r.Header().Name, name) && sameData(r, rr) })
		}
	}
	soa := z.at(zname, is(dns.TypeSOA))[0].(*dns.SOA)
	if !slices.Equal(texts(z), before) && soa.Serial == serial {
		z = z.without(func(r dns.RR) bool { return r == dns.RR(soa) })
		c := dns.Copy(soa).(*dns.SOA)
		c.Serial++
		z = append(z, c)
	}
	return z, dns.RcodeSuccess
}

// drawRecord draws a record of an update from few names and data, so that records of an update concern the same sets.
func drawRecord(t *rapid.T, prerequisite bool) dns.RR {
	name := rapid.SampledFrom([]string{"example.", "a.example.", "B.example.", "b.example.", "c.a.example."}).Draw(t, "name")
	kind := rapid.SampledFrom([]uint16{dns.TypeA, dns.TypeA, dns.TypeTXT, dns.TypeCNAME, dns.TypeNS, dns.TypeSOA}).Draw(t, "type")
	class := rapid.SampledFrom([]uint16{dns.ClassINET, dns.ClassINET, dns.ClassANY, dns.ClassNONE}).Draw(t, "class")
	h := dns.RR_Header{Name: name, Rrtype: kind, Class: class}
	if class == dns.ClassANY || class == dns.ClassNONE && prerequisite {
		if rapid.Bool().Draw(t, "any") {
			h.Rrtype = dns.TypeANY
		}
		return &dns.ANY{Hdr: h}
	}
	if class == dns.ClassINET && !prerequisite {
		h.Ttl = uint32(rapid.IntRange(1, 2).Draw(t, "ttl"))
	}
	n := rapid.IntRange(1, 3).Draw(t, "data")
	switch kind {
	case dns.TypeA:
		return &dns.A{Hdr: h, A: []byte{192, 0, 2, byte(n)}}
	case dns.TypeTXT:
		return &dns.TXT{Hdr: h, Txt: []string{fmt.Sprint(n)}}
	case dns.TypeCNAME:
		return &dns.CNAME{Hdr: h, Target: []string{"", "a.example.", "A.example.", "x."}[n]}
	case dns.TypeNS:
		return &dns.NS{Hdr: h, Ns: []string{"", "n1.example.", "N1.example.", "n2.example."}[n]}
	}
	return &dns.SOA{Hdr: h, Ns: "ns.example.", Mbox: "h.example.", Serial: uint32(n) * 5, Refresh: 1, Retry: 1, Expire: 1, Minttl: 1}
}

// Random sequences of updates give the same zones as the reference implementation. The difference of each step gives the same zone
// through the journal's encoding and through a transfer, and its inverse gives the zone before the step.
func TestUpdatesAgainstReference(t *testing.T) {
	start := "@ 1 IN SOA ns.example. h.example. 1 1 1 1 1\n@ 1 IN NS n1.example.\na 1 IN A 192.0.2.1\n"
	first := parse(t, start)
	rapid.Check(t, func(t *rapid.T) {
		z, ref := first, referenceZone(first.List())
		var deltas []*Delta
		for range rapid.IntRange(1, 12).Draw(t, "updates") {
			m := new(dns.Msg).SetUpdate("example.")
			for range rapid.IntRange(0, 2).Draw(t, "prerequisites") {
				if rapid.IntRange(0, 3).Draw(t, "now") == 0 {
					m.Answer = append(m.Answer, drawRecord(t, true))
				}
			}
			for range rapid.IntRange(1, 5).Draw(t, "records") {
				m.Ns = append(m.Ns, drawRecord(t, false))
			}
			raw, err := m.Pack()
			if err != nil {
				t.Fatal(err)
			}
			if err := m.Unpack(raw); err != nil {
				t.Fatal(err)
			}
			after, changed, err := z.Update(m, nil)
			refAfter, rcode := ref.update(m)
			var r *Refusal
			if errors.As(err, &r) {
				if r.Rcode != rcode {
					t.Fatalf("%v, the reference says %s", err, dns.RcodeToString[rcode])
				}
				continue
			}
			if err != nil || rcode != dns.RcodeSuccess {
				t.Fatalf("%v, the reference says %s", err, dns.RcodeToString[rcode])
			}
			if got, want := texts(after.List()), texts(refAfter); !slices.Equal(got, want) {
				t.Fatalf("after\n%v\ngot  %q\nwant %q", m, got, want)
			}
			if want := refAfter.at("example.", func(r dns.RR) bool { return r.Header().Rrtype == dns.TypeSOA })[0].(*dns.SOA).Serial; after.Serial() != want {
				t.Fatalf("serial %d, want %d", after.Serial(), want)
			}
			if after.Records() != len(after.List()) {
				t.Fatalf("Records returns %d, the zone has %d", after.Records(), len(after.List()))
			}
			if err := after.check(); err != nil {
				t.Fatal(err)
			}
			if changed {
				var names []string
				for _, rr := range m.Ns {
					names = append(names, rr.Header().Name)
				}
				d, byNames := Diff(z, after), DiffNames(z, after, names)
				if !slices.Equal(texts(d.Added), texts(byNames.Added)) || !slices.Equal(texts(d.Removed), texts(byNames.Removed)) {
					t.Fatalf("DiffNames gives %v, Diff %v", byNames, d)
				}
				raw, err := byNames.Append(nil)
				if err != nil {
					t.Fatal(err)
				}
				read, n, err := ReadDelta(raw)
				if err != nil || n != len(raw) {
					t.Fatal(err)
				}
				again, err := z.Apply(read)
				if err != nil {
					t.Fatal(err)
				}
				if left := Diff(after, again); left.Records() > 0 {
					t.Fatalf("the encoded difference gives another zone: %v", left)
				}
				back, err := after.Apply(&Delta{From: d.To, To: d.From, Removed: d.Added, Added: d.Removed})
				if err != nil || Diff(z, back).Records() > 0 {
					t.Fatalf("the inverse difference does not give the zone before: %v", err)
				}
				deltas = append(deltas, read)
			}
			z, ref = after, refAfter
		}
		if len(deltas) > 0 {
			full, _, err := FromTransfer("example.", nil, append(z.List(), z.SOA()))
			if err != nil || Diff(full, z).Records() > 0 {
				t.Fatalf("a full transfer gives another zone: %v", err)
			}
			got, ds, err := FromTransfer("example.", first, Incremental(z, deltas))
			if err != nil || Diff(got, z).Records() > 0 || len(ds) != len(deltas) {
				t.Fatalf("an incremental transfer gives another zone: %v", err)
			}
		}
	})
}
