package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"saffronyard.example/saffronyard/internal/membership"
	"saffronyard.example/saffronyard/internal/nameserver"
	"saffronyard.example/saffronyard/internal/sender"
	"saffronyard.example/saffronyard/internal/zone"
)

// An operator's commands on a zone: check, compare, update with a signed message, and show.
func TestZoneCommand(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		t.Helper()
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	const text = "@ 300 IN SOA ns h 1 60 10 300 60\n@ 300 IN NS ns\nhooks 300 IN A 127.0.0.2\n"
	a := write("example.zone", text)
	b := write("b.zone", strings.Replace(strings.Replace(text, "h 1", "h 2", 1), "127.0.0.2", "127.0.0.3", 1))
	bad := write("bad.zone", text+"x 300 IN A 1.2.3\n")
	keys := write("keys", "ops hmac-sha256 "+base64.StdEncoding.EncodeToString([]byte(strings.Repeat("k", 32)))+"\n")
	wrong := write("wrong", "ops hmac-sha256 "+base64.StdEncoding.EncodeToString([]byte(strings.Repeat("w", 32)))+"\n")
	ring, err := nameserver.ReadKeys(keys)
	if err != nil {
		t.Fatal(err)
	}
	s, err := nameserver.Start(&nameserver.Config{Listen: "127.0.0.1:0", Folder: filepath.Join(dir, "zones"), Keys: ring, Spans: membership.DefaultFollowerConfig(),
		Zones:   []nameserver.ZoneConfig{{Name: "example.", File: a, Updates: []nameserver.Update{{Key: "ops.", Grant: zone.Grant{Names: []string{"hooks.example."}}}}}},
		Members: []membership.Member{{Destination: 7, Name: "hooks.example.", Port: 80, Weight: 1}}}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	updates := make(chan membership.Update, 100)
	go s.Follow(t.Context(), func(u membership.Update) { updates <- u })
	l, err := net.Listen("unix", filepath.Join(dir, sender.SocketName))
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /zones", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(s.Report()) })
	web := &http.Server{Handler: mux}
	go web.Serve(l)
	defer web.Close()

	update := []string{"update", "-zone", "example", "-server", s.Address(), "-keys", keys, "-key", "ops"}
	with := func(args ...string) []string { return append(append([]string{}, update...), args...) }
	for _, c := range []struct {
		args []string
		in   string
		code int
		want string
	}{
		{[]string{}, "", 2, "saffronyard zone check"},
		{[]string{"what"}, "", 2, "saffronyard zone check"},
		{[]string{"check", a}, "", 0, "example.: serial 1, 3 records"},
		{[]string{"check", "-origin", "other", a}, "", 0, "other.: serial 1"},
		{[]string{"check", bad}, "", 2, "line: 4"},
		{[]string{"check", filepath.Join(dir, "none")}, "", 2, "no such file"},
		{[]string{"check"}, "", 2, "saffronyard zone check"},
		{[]string{"diff", a, a}, "", 0, ""},
		{[]string{"diff", "-origin", "example", a, b}, "", 1, "+ hooks.example.\t300\tIN\tA\t127.0.0.3"},
		{[]string{"diff", a, b}, "", 2, "two zones"},
		{with("delete hooks A", "add hooks 60 A 127.0.0.4"), "", 1, "NOTZONE"},
		{with("delete hooks.example A", "add hooks.example 60 A 127.0.0.4"), "", 0, "NOERROR"},
		{with(), "# a script\nneed hooks.example A 127.0.0.4\n\nadd hooks.example 60 A 127.0.0.5\n", 0, "NOERROR"},
		{with("need hooks.example AAAA", "delete hooks.example"), "", 1, "NXRRSET"},
		{with("need-no hooks.example A", "delete hooks.example"), "", 1, "YXRRSET"},
		{with("need nope.example", "delete hooks.example"), "", 1, "NXDOMAIN"},
		{with("need-no hooks.example", "delete hooks.example"), "", 1, "YXDOMAIN"},
		{with("delete other.example"), "", 1, "REFUSED"},
		{with("add x 1 A"), "", 2, "line 1: add NAME TTL TYPE DATA"},
		{with("add hooks.example soon A 127.0.0.1"), "", 2, `line 1: "soon" is not a time to live`},
		{with("add hooks.example 60 A 1.2.3"), "", 2, "line 1: "},
		{with("delete hooks.example AB"), "", 2, `"AB" is not a record type`},
		{with("forget hooks.example"), "", 2, "the commands are add, delete"},
		{with("delete"), "", 2, "delete: the name is missing"},
		{with(), "\n", 2, "nothing to do"},
		{[]string{"update", "-zone", "example", "-server", s.Address(), "delete hooks.example"}, "", 1, "REFUSED"},
		{[]string{"update", "-zone", "example", "-server", s.Address(), "-keys", wrong, "-key", "ops", "delete hooks.example"}, "", 2, "BADSIG"},
		{[]string{"update", "-zone", "example", "-server", s.Address(), "-keys", keys, "-key", "nope", "delete hooks.example"}, "", 2, "there is no key nope"},
		{[]string{"update", "-zone", "example", "-key", "ops"}, "", 2, "saffronyard zone check"},
		{[]string{"show", "-state", dir}, "", 0, "127.0.0.4:80 serving, 127.0.0.5:80 serving"},
		{[]string{"show", "-state", dir, "-json"}, "", 0, `"serial":3`},
		{[]string{"show", "-json", "-state", filepath.Join(dir, "none")}, "", 1, "no sender answers"},
	} {
		if len(c.args) == 3 && c.args[0] == "show" { // wait until the follower has received the updated addresses
			for serving := 0; serving < 2; {
				for _, line := range (<-updates).Servers {
					if line.State == membership.Serving {
						serving++
					}
				}
			}
		}
		var out, errs bytes.Buffer
		code := zoneCommand(c.args, func(string) string { return "" }, strings.NewReader(c.in), &out, &errs)
		if code != c.code || !strings.Contains(out.String()+errs.String(), c.want) {
			t.Errorf("%q: %d, %s%s; want %d, %q", c.args, code, &out, &errs, c.code, c.want)
		}
	}
}
