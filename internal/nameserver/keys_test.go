package nameserver

import (
	"strings"
	"testing"

	"github.com/miekg/dns"
)

// Keys are replaced while the server runs: an added key works, and the old secret of a changed key is rejected.
func TestService_SetKeys(t *testing.T) {
	c := testConfig(t, t.TempDir())
	c.Keys = append(c.Keys, mustParseKeys(t, "new. hmac-sha384 "+secret("new"))...)
	c.Zones[0].Updates = append(c.Zones[0].Updates, Update{Key: "new.", Grant: grantAll()})
	s := startService(t, c)
	if r := roundTrip(t, s.Address(), "udp", "new.", c.Keys, insertUpdate("a.example.", "127.0.0.9")); r.Rcode != dns.RcodeSuccess {
		t.Error(r)
	}
	changed := mustParseKeys(t, "ops. hmac-sha256 "+secret("another"), "xfer. hmac-sha512 "+secret("xfer"), "new. hmac-sha384 "+secret("new"))
	if err := s.SetKeys(changed); err != nil {
		t.Fatal(err)
	}
	if r := roundTrip(t, s.Address(), "udp", "ops.", c.Keys, insertUpdate("b.example.", "127.0.0.9")); r.Rcode != dns.RcodeNotAuth {
		t.Error("the old secret still works", r)
	}
	if r := roundTrip(t, s.Address(), "udp", "ops.", changed, insertUpdate("b.example.", "127.0.0.9")); r.Rcode != dns.RcodeSuccess {
		t.Error("the new secret does not work", r)
	}
	if err := s.SetKeys(changed[1:]); err == nil || !strings.Contains(err.Error(), "ops.") {
		t.Error("a key that the configuration needs was removed", err)
	}
}

func TestReadKeys(t *testing.T) {
	for text, want := range map[string]string{"a b": "keys:1: a line is", "\n\na hmac-md5 xx": "keys:3: algorithm", "a hmac-sha256 !!": "not valid base64",
		"a hmac-sha256 eHg=": "2 bytes", "a hmac-sha256 " + secret("a") + "\nA. hmac-sha1 " + secret("b"): "keys:2: duplicate key a."} {
		if _, err := parseKeys("keys", text); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), secret("a")) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
