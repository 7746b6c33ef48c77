package features

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestParse(t *testing.T) {
	f, err := Parse("x.toml", []byte("# all\n[quiet]\nfold_after = \"90s\"\n"))
	if err != nil || f.Quiet == nil || f.Quiet.FoldAfter.D() != 90*time.Second || !strings.Contains(f.Lines()[0], "1m30s") {
		t.Errorf("%+v %v", f, err)
	}
	if f, err := Parse("x.toml", nil); err != nil || f.Quiet != nil || !strings.Contains(f.Lines()[0], "nothing is on") {
		t.Errorf("an empty file: %+v %v", f, err)
	}
}

func TestParse_ErrorsNameLine(t *testing.T) {
	for name, c := range map[string]struct{ text, says string }{
		"unknown table":      {"\n[quite]\n", `x.toml:2: unknown key "quite"`},
		"unknown key":        {"[quiet]\nfold_after = \"5m\"\nfold = 3\n", `x.toml:3: unknown key "quiet.fold"`},
		"no duration":        {"[quiet]\nfold_after = \"soon\"\n", `x.toml:2: "soon" is no time`},
		"a number":           {"[quiet]\n\nfold_after = 5\n", "x.toml:3: "},
		"too short":          {"[quiet]\n# c\nfold_after = \"10ms\"\n", "x.toml:3: quiet.fold_after = 10ms is not from 1s"},
		"negative":           {"[quiet]\nfold_after = \"-5m\"\n", "x.toml:2: "},
		"not set":            {"# c\n[quiet]\n", "x.toml:2: quiet.fold_after = 0s"},
		"no TOML":            {"[quiet\n", "x.toml:1: "},
		"interval too long":  {"[knowledge]\nbytes = 9000\nevery = \"2h\"\n", "x.toml:3: knowledge.every = 2h0m0s"},
		"snapshot too small": {"[knowledge]\nbytes = 90\n", "x.toml:2: knowledge.bytes = 90"},
		"no cluster":         {"[peers]\nfollow = 2\n", `x.toml:1: peers: cluster "" is empty`},
		"not loopback":       {"[peers]\ncluster = \"a\"\nexchange = \"10.0.0.1:80\"\n", `x.toml:3: peers: exchange = "10.0.0.1:80": it is not a loopback address`},
		"a bad seed":         {"[peers]\ncluster = \"a\"\nseeds = [\"n1\"]\n", `x.toml:3: peers: seed "n1"`},
		"invalid route":      {"[peers]\ncluster = \"a\"\n[[peers.reach]]\naddress = \"127.0.0.2:7946\"\nvia = \"n1\"\n", `peers: reach 1: via = "n1"`},
		"duplicate route":    {"[peers]\ncluster = \"a\"\n[[peers.reach]]\naddress = \"127.0.0.2:1\"\nvia = \"127.0.0.1:1\"\n[[peers.reach]]\naddress = \"127.0.0.2:1\"\nvia = \"127.0.0.1:2\"\n", "reach 2: 127.0.0.2:1 is reached at 127.0.0.1:1 already"},
		"too many followed":  {"[peers]\ncluster = \"a\"\nfollow = 99\n", "x.toml:3: peers.follow = 99 is not from 1 to 16"},
		"too long":           {strings.Repeat("#", maxFileBytes+1), "longer than"},
	} {
		if _, err := Parse("x.toml", []byte(c.text)); err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v, want %q", name, err, c.says)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml")); err == nil || !strings.Contains(err.Error(), "none.toml") {
		t.Errorf("no file: %v", err)
	}
}

// A key file is rejected completely if one of its lines is invalid, or if it has no keys.
func TestPeers_Keys(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	for text, want := range map[string]string{
		"# now\nQUFBQUFBQUFBQUFBQUFBQQ==\n\n  QkJCQkJCQkJCQkJCQkJCQg==\n": "",
		"QUFB\n": "keys:1: a key of 3 bytes", "# c\nnot base64\n": "keys:2: the key is not valid base64", "\n# none\n": "the file has no key"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		keys, err := (&Peers{KeysFile: path}).Keys()
		if want == "" && (err != nil || len(keys) != 2 || string(keys[1]) != "BBBBBBBBBBBBBBBB") || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%q: %q, %v", text, keys, err)
		}
	}
	if keys, err := (&Peers{}).Keys(); keys != nil || err != nil {
		t.Errorf("without a file: %v, %v", keys, err)
	}
}

const eventRule = "[[events.rule]]\nclass = \"safe\"\ndestination = \"1\"\n"

func TestParse_Events(t *testing.T) {
	f, err := Parse("x.toml", []byte("[events]\nremember = \"30s\"\n[events.destinations]\nnorth = 7\n[[events.rule]]\nname = \"a\"\ntype = \"t.*\"\nsubject = \"{who}\"\n"+
		"extensions = {region = \"eu\"}\nclass = \"safe\"\ndestination = \"{who}\"\ndeadline = \"3s\"\n[events.default]\nrefuse = \"no\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	e, m := f.Events, f.Events.Mapping()
	if e.Remember.D() != 30*time.Second || e.RememberMost != 10000 || e.BatchEvents != 100 || e.BatchBytes != 256<<10 {
		t.Errorf("%+v", e)
	}
	if len(m.List) != 1 || m.List[0].Extensions["region"] != "eu" || m.List[0].Deadline != 3*time.Second || m.Destinations["north"] != 7 || m.Fallback == nil || m.Fallback.Refuse != "no" {
		t.Errorf("%+v", m)
	}
	if l := strings.Join(f.Lines(), "\n"); !strings.Contains(l, "POST /events by 1 rules") || strings.Contains(l, "nothing is on") {
		t.Error(l)
	}
}

func TestParse_Delivery(t *testing.T) {
	f, err := Parse("x.toml", []byte("[delivery]\nsource = \"/s\"\n[[delivery.to]]\nkinds = [\"m2\"]\nform = \"batched\"\nvalidate = true\norigin = \"a.example\"\nrate = 120\n[[delivery.to]]\nform = \"plain\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	if d := f.Delivery; d.Type != "saffronyard.{class}" || d.To[0].BatchEvents != 20 || d.To[0].BatchBytes != 64<<10 || d.To[0].Path != "/hook" || d.To[1].Form != "plain" {
		t.Errorf("%+v", d)
	}
	if l := strings.Join(f.Lines(), "\n"); !strings.Contains(l, "kinds [m2] as batched to /hook, validated as a.example") || !strings.Contains(l, "all destinations as plain") {
		t.Error(l)
	}
}

// Each error names the line of the invalid setting, in the right table if several have the same name.
func TestParse_EventAndDeliveryErrors(t *testing.T) {
	const to = "[delivery]\nsource = \"/s\"\n[[delivery.to]]\n"
	for says, text := range map[string]string{
		`x.toml:2: events.remember = 10ms is not from 1s`:                        "[events]\nremember = \"10ms\"\n" + eventRule,
		`x.toml:2: events.deadline = 25h0m0s is over`:                            "[events]\ndeadline = \"25h\"\n" + eventRule,
		`x.toml:2: events.remember_most = -1 is not from 1`:                      "[events]\nremember_most = -1\n" + eventRule,
		`x.toml:2: events.batch_bytes = 100 is not from 65536`:                   "[events]\nbatch_bytes = 100\n" + eventRule,
		`x.toml:3: events.destinations.north = 65536 is over`:                    "[events]\n[events.destinations]\nnorth = 65536\n" + eventRule,
		`x.toml:1: events has neither a rule`:                                    "[events]\n",
		`x.toml:5: rule 2: either class and destination, or refuse must be set`:  "[events]\n" + eventRule + "[[events.rule]]\ntype = \"a\"\n",
		`x.toml:5: rule 2 is never reached: rule 1 comes first`:                  "[events]\n" + eventRule + eventRule,
		`x.toml:2: rule 1: destination = "south" is neither`:                     "[events]\n[[events.rule]]\nclass = \"safe\"\ndestination = \"south\"\n",
		`x.toml:2: rule 1: deadline = 25h0m0s is over`:                           "[events]\n[[events.rule]]\nclass = \"safe\"\ndestination = \"1\"\ndeadline = \"25h\"\n",
		`x.toml:2: default: conditions are allowed in rules only`:                "[events]\n[events.default]\ntype = \"a\"\nclass = \"safe\"\ndestination = \"1\"\n",
		`x.toml:2: default: either class and destination, or refuse must be set`: "[events]\n[events.default]\nclass = \"safe\"\n",
		`x.toml:3: unknown key "events.rule.typ"`:                                "[events]\n[[events.rule]]\ntyp = \"a\"\n",
		`x.toml:1: delivery names no destinations`:                               "[delivery]\nsource = \"/s\"\n",
		`x.toml:4: delivery.to 1: form = "xml"`:                                  to + "form = \"xml\"\n",
		`x.toml:6: delivery.to 2: form = ""`:                                     to + "form = \"plain\"\n\n[[delivery.to]]\nkinds = [\"a\"]\n",
		`x.toml:5: delivery.to 1: batch_events and batch_bytes are for`:          to + "form = \"binary\"\nbatch_events = 3\n",
		`x.toml:5: delivery.to 1: batch_events is not from 1`:                    to + "form = \"batched\"\nbatch_events = 1001\n",
		`x.toml:4: delivery.to 1: plain calls go to /hook`:                       to + "form = \"plain\"\npath = \"/x\"\n",
		`x.toml:5: delivery.to 1: destination 70000 is over`:                     to + "form = \"binary\"\ndestinations = [70000]\n",
		`x.toml:5: delivery.to 1: path = "x"`:                                    to + "form = \"binary\"\npath = \"x\"\n",
		`x.toml:5: delivery.to 1: path = "/a\r\nb"`:                              to + "form = \"binary\"\npath = \"/a\\r\\nb\"\n",
		`x.toml:3: delivery.to 1: validate needs a printable origin`:             to + "form = \"binary\"\nvalidate = true\n",
		`x.toml:5: delivery.to 1: origin and rate are for`:                       to + "form = \"binary\"\norigin = \"a\"\n",
		`x.toml:7: delivery.to 1: rate = -1`:                                     to + "form = \"binary\"\nvalidate = true\norigin = \"a\"\nrate = -1\n",
		`x.toml:1: delivery.source = ""`:                                         "[delivery]\n[[delivery.to]]\nform = \"binary\"\n",
		`x.toml:2: undelivered.bytes = 7 is not from 1048576`:                    "[undelivered]\nbytes = 7\n",
		`x.toml:3: undelivered.age = 1s is not from 1m0s`:                        "[undelivered]\nbytes = 1048576\nage = \"1s\"\n",
		`x.toml:2: delivery.type = "a b"`:                                        "[delivery]\ntype = \"a b\"\nsource = \"/s\"\n[[delivery.to]]\nform = \"binary\"\n",
	} {
		if _, err := Parse("x.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), strings.ReplaceAll(says, "\r\n", `\r\n`)) {
			t.Errorf("%v, want %q", err, says)
		}
	}
}

// The shipped file turns nothing on, and the settings in its comments are valid.
func TestLoad_ShippedFile(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/saffronyard.toml")
	if err != nil {
		t.Fatal(err)
	}
	f, err := Parse("saffronyard.toml", raw)
	if err != nil || *f != (Features{}) {
		t.Errorf("%+v %v", f, err)
	}
	var on []string
	for _, l := range strings.Split(string(raw), "\n") { // lines that begin with "#: " are examples of settings
		if rest, ok := strings.CutPrefix(l, "#: "); ok {
			on = append(on, rest)
		}
	}
	if f, err := Parse("saffronyard.toml", []byte(strings.Join(on, "\n"))); err != nil || f.Quiet == nil || f.Events == nil || f.Delivery == nil || f.Undelivered == nil || f.Undelivered.Bytes != 256<<20 || f.Knowledge == nil || f.Peers == nil || f.Peers.Follow != 3 || f.DNS == nil || len(f.DNS.Members) != 1 || f.Work == nil || len(f.Undelivered.Resend) != 1 {
		t.Errorf("turned on: %+v %v", f, err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("[quiet]\nfold_after = \"5m\"\n")
	f.Add("[quiet]\nfold_after = 5\n[x]\n")
	f.Add("[events]\n" + eventRule + "[delivery]\nsource = \"/s\"\n[[delivery.to]]\nform = \"binary\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := Parse("x.toml", []byte(text))
		if err != nil {
			if !strings.HasPrefix(err.Error(), "x.toml:") {
				t.Errorf("an error without a position: %v", err)
			}
			return
		}
		if got.Quiet != nil && got.Quiet.FoldAfter.D() < minFoldAfter {
			t.Errorf("%+v", got.Quiet)
		}
	})
}
