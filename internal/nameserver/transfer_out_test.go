package nameserver

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"

	"saffronyard.example/saffronyard/internal/zone"
)

// The client of the DNS library and a secondary of this package can read full and incremental transfers.
func TestServer_Transfers(t *testing.T) {
	dir := t.TempDir()
	c := testConfig(t, dir)
	var text strings.Builder
	text.WriteString(zoneText)
	for i := range 3000 { // many messages
		fmt.Fprintf(&text, "h%d 300 IN TXT \"%s\"\n", i, strings.Repeat("t", 30))
	}
	replaceFile(t, c.Zones[0].File, text.String())
	s := startService(t, c)
	read := func(m *dns.Msg) ([]dns.RR, error) {
		ring := NewKeyring(c.Keys)
		if err := ring.Sign(m, "xfer.", time.Now().Unix()); err != nil {
			t.Fatal(err)
		}
		tr := dns.Transfer{TsigProvider: ring, ReadTimeout: testTimeout}
		ch, err := tr.In(m, s.Address())
		if err != nil {
			return nil, err
		}
		var rrs []dns.RR
		for e := range ch {
			if e.Error != nil {
				return rrs, e.Error
			}
			rrs = append(rrs, e.RR...)
		}
		return rrs, nil
	}
	rrs, err := read(new(dns.Msg).SetAxfr("example."))
	if err != nil {
		t.Fatal(err)
	}
	first, _, err := zone.FromTransfer("example.", nil, rrs)
	if err != nil || zone.Diff(first, s.zones["example."].current.Load().Zone).Records() > 0 {
		t.Fatal("the transferred zone differs", err)
	}
	for i := range 3 {
		if r := roundTrip(t, s.Address(), "tcp", "ops.", c.Keys, setAddr(t, "hooks.example.", fmt.Sprintf("127.0.1.%d", i))); r.Rcode != dns.RcodeSuccess {
			t.Fatal(r)
		}
	}
	soa := first.SOA()
	rrs, err = read(new(dns.Msg).SetIxfr("example.", soa.Serial, soa.Ns, soa.Mbox))
	if err != nil {
		t.Fatal(err)
	}
	next, deltas, err := zone.FromTransfer("example.", first, rrs)
	if err != nil || len(deltas) != 3 || len(rrs) > 20 || zone.Diff(next, s.zones["example."].current.Load().Zone).Records() > 0 {
		t.Fatalf("%d records, %d differences, %v", len(rrs), len(deltas), err)
	}
	for key, want := range map[string]int{"": dns.RcodeRefused, "ops.": dns.RcodeRefused} {
		if r := roundTrip(t, s.Address(), "tcp", key, c.Keys, new(dns.Msg).SetAxfr("example.")); r.Rcode != want || len(r.Answer) > 0 {
			t.Errorf("key %q: %v", key, r)
		}
	}
	// A secondary of this package follows by NOTIFY, after a restart of the primary.
	secondaryConfig := &Config{Listen: "127.0.0.1:0", Folder: filepath.Join(dir, "second"), Keys: c.Keys, Spans: c.Spans, Members: c.Members,
		Zones: []ZoneConfig{{Name: "example.", Primary: s.Address(), Key: "xfer."}}}
	secondaryService := startService(t, secondaryConfig)
	f := recordEndpoints(t, secondaryService)
	f.waitForServing(t, "127.0.1.2")
	restartedConfig := &Config{Listen: "127.0.0.1:0", Folder: filepath.Join(dir, "state"), Keys: c.Keys, Spans: c.Spans, Zones: c.Zones, Members: c.Members}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	restartedConfig.Listen = secondaryConfig.Zones[0].Primary
	restartedConfig.Zones[0].Notify, restartedConfig.Zones[0].NotifyKey = []string{secondaryService.Address()}, "xfer."
	s = startService(t, restartedConfig)
	if r := roundTrip(t, s.Address(), "tcp", "ops.", c.Keys, setAddr(t, "hooks.example.", "127.0.1.77")); r.Rcode != dns.RcodeSuccess {
		t.Fatal(r)
	}
	f.waitForServing(t, "127.0.1.77")
	if err := secondaryService.Close(); err != nil {
		t.Fatal(err)
	}
	s.Close() // without its primary, a restarted secondary serves the version that it stored
	secondaryService = startService(t, secondaryConfig)
	if got := secondaryService.Initial().Servers; len(got) != 1 || got[0].Addr != "127.0.1.77:80" {
		t.Errorf("after a restart without its primary: %v", got)
	}
}
