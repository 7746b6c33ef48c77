package nameserver

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Invalid and incomplete contents of a watched zone file leave the last valid version in service; valid changes of the file, and of files
// that it includes, are served.
func TestService_FollowsFile(t *testing.T) {
	dir := t.TempDir()
	c := testConfig(t, dir)
	c.Zones[0].Updates = nil
	path := c.Zones[0].File
	s := startService(t, c)
	f := recordEndpoints(t, s)
	f.waitForServing(t, "127.0.0.2")
	z := s.zones["example."]
	for name, text := range map[string]string{"empty": "", "blank": "\n\n", "no SOA": "ns 300 IN A 127.0.0.1\n", "torn": zoneText[:len(zoneText)-3], "no line end": strings.TrimSuffix(zoneText, "\n"),
		"rubbish": "\x00\x01\x02\n", "serial back": strings.Replace(strings.Replace(zoneText, "h 10", "h 9", 1), "0.0.2", "0.0.9", 1)} {
		replaceFile(t, path, text)
		if err := z.loadFile(); err == nil || z.lastFault == "" {
			t.Errorf("%s: accepted", name)
		}
		if got := addressesOf(s, "hooks.example."); !slices.Equal(got, []string{"127.0.0.2"}) {
			t.Errorf("%s: the address is %v", name, got)
		}
	}
	os.Remove(path)
	if err := z.loadFile(); !isNotExist(err) {
		t.Error("a removed file:", err)
	}
	// The watcher detects changes: the file is replaced, and then written in place in two halves.
	replaceFile(t, path, strings.Replace(strings.Replace(zoneText, "h 10", "h 20", 1), "0.0.2", "0.0.3", 1))
	f.waitForServing(t, "127.0.0.3")
	next := strings.Replace(strings.Replace(zoneText, "h 10", "h 30", 1), "hooks 300 IN A 127.0.0.2", "hooks 300 IN A 127.0.0.4", 1)
	file, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	half := strings.Index(next, "hooks")
	file.WriteString(next[:half]) // ends with a newline, so it parses, but has no hooks
	file.Sync()
	file.WriteString(next[half:])
	file.Close()
	f.waitForServing(t, "127.0.0.4")
	replaceFile(t, path, strings.Replace(next, "127.0.0.4", "127.0.0.5", 1)) // the serial is unchanged
	f.waitForServing(t, "127.0.0.5")
	if got := z.current.Load().Serial(); got != 31 {
		t.Errorf("serial %d", got)
	}
	if err := os.WriteFile(filepath.Join(dir, "more.inc"), []byte("hooks 300 IN A 127.0.0.6\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	replaceFile(t, path, strings.Replace(zoneText, "h 10", "h 40", 1)+"$INCLUDE more.inc\n")
	f.waitForServing(t, "127.0.0.2", "127.0.0.6")
	replaceFile(t, filepath.Join(dir, "more.inc"), "hooks 300 IN A 127.0.0.7\n") // the file itself has not changed
	f.waitForServing(t, "127.0.0.2", "127.0.0.7")
}

// Manual edits of a zone's file and updates are merged, also if the file is edited during a write-back. A file that can't be parsed is not
// overwritten; a removed file is created again.
func TestZoneFile_HandEdit(t *testing.T) {
	dir := t.TempDir()
	c := testConfig(t, dir)
	path := c.Zones[0].File
	g := grantAll()
	d := &editingDisk{}
	s, err := start(c, discardLogger(), d)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	z := s.zones["example."]
	if err := z.update(setAddrIn(t, "example.", "a.example.", "127.0.2.1"), &g); err != nil {
		t.Fatal(err)
	}
	replaceFile(t, path, zoneText+"b 300 IN A 127.0.2.2\n")
	if err := z.writeFile(); err != nil {
		t.Fatal(err)
	}
	text, _ := os.ReadFile(path)
	if a, b := addressesOf(s, "a.example."), addressesOf(s, "b.example."); len(a) != 1 || len(b) != 1 || !strings.Contains(string(text), "127.0.2.1") || !strings.Contains(string(text), "127.0.2.2") {
		t.Fatalf("%v %v\n%s", a, b, text)
	}
	if err := z.update(setAddrIn(t, "example.", "c.example.", "127.0.2.3"), &g); err != nil {
		t.Fatal(err)
	}
	d.beforeExchange = func() { // between the last read and the exchange
		replaceFile(t, path, string(text)+"d 300 IN A 127.0.2.4\n")
	}
	if err := z.writeFile(); err != nil {
		t.Fatal(err)
	}
	text, _ = os.ReadFile(path)
	for name, addr := range map[string]string{"a.example.": "127.0.2.1", "b.example.": "127.0.2.2", "c.example.": "127.0.2.3", "d.example.": "127.0.2.4"} {
		if got := addressesOf(s, name); !slices.Equal(got, []string{addr}) || !strings.Contains(string(text), addr) {
			t.Errorf("%s has addresses %v; the file is\n%s", name, got, text)
		}
	}
	// A file that can't be parsed is not overwritten.
	if err := z.update(setAddrIn(t, "example.", "e.example.", "127.0.2.5"), &g); err != nil {
		t.Fatal(err)
	}
	replaceFile(t, path, "half a thou")
	if err := z.writeFile(); err == nil {
		t.Error("an incomplete file was overwritten")
	}
	if now, _ := os.ReadFile(path); string(now) != "half a thou" {
		t.Errorf("%s", now)
	}
	os.Remove(path)
	if err := z.writeFile(); err != nil {
		t.Error(err)
	}
	if now, _ := os.ReadFile(path); !strings.Contains(string(now), "127.0.2.5") {
		t.Errorf("%s", now)
	}
}

// editingDisk calls beforeExchange once, immediately before the next exchange.
type editingDisk struct {
	osDisk
	beforeExchange func()
}

func (d *editingDisk) Exchange(a, b string) error {
	if f := d.beforeExchange; f != nil {
		d.beforeExchange = nil
		f()
	}
	return d.osDisk.Exchange(a, b)
}
