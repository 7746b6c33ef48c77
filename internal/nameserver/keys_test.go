package nameserver

import (
	"strings"
	"testing"

	"github.com/miekg/dns"
)

// Keys change in service: both work while both are there, and the old one does no more when it is gone.
func TestService_SetKeys(t *testing.T) {
	c := updated(t, t.TempDir())
	c.Keys = append(c.Keys, keysOf(t, "new. hmac-sha384 "+secret("new"))...)
	c.Zones[0].Updates = append(c.Zones[0].Updates, Update{Key: "new.", Grant: everything()})
	s := begun(t, c)
	if r := asked(t, s.Address(), "udp", "new.", c.Keys, insert("a.example.", "127.0.0.9")); r.Rcode != dns.RcodeSuccess {
		t.Error(r)
	}
	changed := keysOf(t, "ops. hmac-sha256 "+secret("another"), "xfer. hmac-sha512 "+secret("xfer"), "new. hmac-sha384 "+secret("new"))
	if err := s.SetKeys(changed); err != nil {
		t.Fatal(err)
	}
	if r := asked(t, s.Address(), "udp", "ops.", c.Keys, insert("b.example.", "127.0.0.9")); r.Rcode != dns.RcodeNotAuth {
		t.Error("the old secret works still", r)
	}
	if r := asked(t, s.Address(), "udp", "ops.", changed, insert("b.example.", "127.0.0.9")); r.Rcode != dns.RcodeSuccess {
		t.Error("the new secret does not work", r)
	}
	if err := s.SetKeys(changed[1:]); err == nil || !strings.Contains(err.Error(), "ops.") {
		t.Error("a key that the settings name was taken away", err)
	}
}

func TestReadKeys(t *testing.T) {
	for text, want := range map[string]string{"a b": "keys:1: a line is", "\n\na hmac-md5 xx": "keys:3: algorithm", "a hmac-sha256 !!": "no base64",
		"a hmac-sha256 eHg=": "2 bytes", "a hmac-sha256 " + secret("a") + "\nA. hmac-sha1 " + secret("b"): "keys:2: key a. is there twice"} {
		if _, err := parseKeys("keys", text); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), secret("a")) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
