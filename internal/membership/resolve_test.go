package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"saffronyard.example/saffronyard/internal/zone"
)

const soa = "@ 300 IN SOA ns h 1 1 1 1 1\n@ 300 IN NS ns\n"

func zoneStates(t *testing.T, origin, text string) ZoneState {
	t.Helper()
	z, err := zone.Parse(strings.NewReader(soa+text), origin, origin, nil, 1000)
	if err != nil {
		t.Fatal(err)
	}
	return ZoneState{Zone: z}
}

func TestResolve(t *testing.T) {
	expired := zoneStates(t, "old.", "a 1 IN A 192.0.2.9\n")
	expired.Expired = true
	all := map[string]ZoneState{
		"one.": zoneStates(t, "one.", `
a      1 IN A     192.0.2.1
a      1 IN A     192.0.2.2
a      1 IN AAAA  2001:db8::1
text   1 IN TXT   x
cname  1 IN CNAME a.two.
far    1 IN CNAME a.nowhere.
stale  1 IN CNAME a.old.
never  1 IN CNAME a.never.
loop   1 IN CNAME back.two.
sub    1 IN NS    ns.sub
_s._t  1 IN SRV   10 60 8001 a
_s._t  1 IN SRV   10 40 8002 a.two.
_s._t  1 IN SRV   20 1  8003 text
_no._t 1 IN SRV   0 0 0 .
_h._t  1 IN SRV   0 0 8001 a
_h._t  1 IN SRV   0 0 8002 a.old.
_x._t  1 IN SRV   0 0 8001 a.old.
_e._t  1 IN SRV   0 0 8001 text
`),
		"two.":   zoneStates(t, "two.", "a 1 IN A 192.0.2.3\nback 1 IN CNAME loop.one.\n"),
		"old.":   expired,
		"never.": {},
	}
	zones := func(name string) (ZoneState, bool) {
		for origin, state := range all {
			if zone.Within(origin, name) {
				return state, true
			}
		}
		return ZoneState{}, false
	}
	for _, c := range []struct {
		name      string
		srv       bool
		result    Result
		want      string
		partial   bool
		dependsOn string // a name that the answer depends on
	}{
		{"a.one.", false, Found, "192.0.2.1:80 192.0.2.2:80 [2001:db8::1]:80", false, "a.one."},
		{"text.one.", false, NoData, "", false, "text.one."},
		{"none.one.", false, NXDomain, "", false, "none.one."},
		{"cname.one.", false, Found, "192.0.2.3:80", false, "a.two."},
		{"far.one.", false, ServFail, "", true, "a.nowhere."},
		{"stale.one.", false, ServFail, "", true, "a.old."},
		{"never.one.", false, Timeout, "", true, "a.never."},
		{"loop.one.", false, ServFail, "", true, "back.two."},
		{"h.sub.one.", false, ServFail, "", true, "h.sub.one."},
		{"a.elsewhere.", false, ServFail, "", true, "a.elsewhere."},
		{"_s._t.one.", true, Found, "192.0.2.1:8001/10/60 192.0.2.2:8001/10/60 [2001:db8::1]:8001/10/60 192.0.2.3:8002/10/40", false, "a.two."},
		{"_no._t.one.", true, NoData, "", false, "_no._t.one."},
		{"_h._t.one.", true, Found, "192.0.2.1:8001/0/0 192.0.2.2:8001/0/0 [2001:db8::1]:8001/0/0", true, "a.old."},
		{"_x._t.one.", true, ServFail, "", true, "a.old."},
		{"_e._t.one.", true, NoData, "", false, "text.one."},
		{"_none._t.one.", true, NXDomain, "", false, "_none._t.one."},
	} {
		a, names := Resolve(zones, &Member{Name: c.name, SRV: c.srv, Port: 80})
		var got []string
		for _, x := range a.Addresses {
			s := x.AddrPort.String()
			if c.srv {
				s += fmt.Sprintf("/%d/%d", x.Priority, x.Weight)
			}
			got = append(got, s)
		}
		want := strings.Fields(c.want)
		slices.Sort(got)
		slices.Sort(want)
		if a.Result != c.result || !slices.Equal(got, want) || a.Partial != c.partial || !slices.Contains(names, c.dependsOn) {
			t.Errorf("%s: %v %v, partial %v, depends on %v", c.name, a.Result, got, a.Partial, names)
		}
		if (a.Why == "") != (a.Result == Found) {
			t.Errorf("%s: %v because %q", c.name, a.Result, a.Why)
		}
	}
}
