package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestCommand_GoldenOutput runs operators' commands and compares exit codes, output and error texts, byte for byte, with the golden
// file. The stored messages are those of internal/undelivered/testdata.
func TestCommand_GoldenOutput(t *testing.T) {
	const stored = "../../internal/undelivered/testdata/v1.db"
	lines := []string{
		"help",
		"check", "check -h", "check /no/such/file", "check ../../deploy/saffronyard.toml", "check -event /no/such/event ../../deploy/saffronyard.toml",
		"check testdata/wrong.toml",
		"undelivered", "undelivered burn", "undelivered list -h", "undelivered list", "undelivered list -store " + stored,
		"undelivered list -json -store " + stored, "undelivered list -member ridge -reason errored -most 1 -store " + stored,
		"undelivered list -reason burnt -store " + stored, "undelivered list -since soon -store " + stored, "undelivered list -state x",
		"undelivered list -since 2026-09-21T14:13:25Z -until 2026-09-21T14:13:43Z -store " + stored,
		"undelivered list -folder /no/such/folder", "undelivered list -store /no/such/file", "undelivered list -store testdata/wrong.toml",
		"undelivered show -store " + stored, "undelivered show -store " + stored + " burnt",
		"undelivered show -store " + stored + " 00000000000000000000000000000000",
		"undelivered show -store " + stored + " 18d75b9003c93e0033208f6e4d0e14b9 18d75b88cc0ac8008a6cde237d42dc7e",
		"undelivered count -store " + stored, "undelivered count -json -store " + stored, "undelivered export -class ledger -store " + stored,
		"undelivered settle -store " + stored + " 18d75b9003c93e0033208f6e4d0e14b9",
		"undelivered settle -by a -why b -store " + stored + " 18d75b9003c93e0033208f6e4d0e14b9",
		"undelivered drop -store " + stored + " 18d75b9003c93e0033208f6e4d0e14b9", "undelivered resend -store " + stored,
		"work", "work -h", "work list", "work list -h", "work list -state /no/such/folder", "work show seven", "work show 7 8", "work pause", "work burn",
		"work drop -state /no/such/folder 7",
		"zone", "zone burn", "zone check -h", "zone show -h", "zone update -h", "zone check testdata/example.org.zone", "zone check -origin b..d testdata/example.org.zone",
		"zone check /no/such/file", "zone check testdata/wrong.toml", "zone diff testdata/example.org.zone", "zone show", "zone show -state /no/such/folder",
		"zone diff -origin example.org testdata/example.org.zone testdata/example.org.after", "zone diff testdata/example.org.zone testdata/example.org.after",
		"zone diff testdata/example.org.zone testdata/example.org.zone", "zone update", "zone update -zone b..d", "zone update -zone example.org",
		"zone update -zone example.org add", "zone update -zone example.org burn|a|A", "zone update -zone example.org add|a|3600|A",
		"zone update -zone example.org add|a|soon|A|127.0.0.1", "zone update -zone example.org add|a|60|A|nowhere", "zone update -zone example.org add|b..d|60|A|127.0.0.1",
		"zone update -zone example.org delete|a|BURN", "zone update -zone example.org delete|a|A|nowhere", "zone update -zone example.org need-no|a|A|127.0.0.1",
		"zone update -zone example.org -keys /no/such/file -key k add|a|60|A|127.0.0.1", "zone update -zone example.org -key k add|a|60|A|127.0.0.1",
		"peers", "peers -h", "peers -state /no/such/folder", "peers -state /no/such/folder seven",
		"knowledge", "knowledge seven", "knowledge -state /no/such/folder 7", "knowledge -state /no/such/folder seven",
		"fleet", "fleet -h", "fleet burn", "fleet status", "fleet status -h", "fleet status seven", "fleet status -state /no/such/folder", "fleet members -h", "fleet gone -h",
		"fleet gone", "fleet voters -h", "fleet voters change -h", "fleet voters change -state /no/such/folder a", "fleet vouch -h", "fleet vouch",
		"fleet status -burn",
		"policy", "policy -h", "policy check", "policy check -h", "policy check testdata/wrong.toml", "policy check testdata/policy.toml", "policy check /no/such/file",
		"policy diff -h", "policy diff -state /no/such/folder testdata/policy.toml", "policy propose -h", "policy propose -wait soon x", "policy status -h", "policy abort -h", "policy history -h",
		"policy show -h", "policy show 1 2", "policy back -h", "policy back",
		"limits", "limits -h", "limits list -h", "limits list", "limits show -h", "limits explain -h", "limits explain seven", "limits set -h", "limits set seven",
		"verdicts", "verdicts -h", "verdicts list -h", "verdicts show -h", "verdicts show seven", "verdicts suspend -h", "verdicts lift -h", "verdicts lift -state /no/such/folder 7",
	}
	var got strings.Builder
	for _, line := range lines {
		var out, errs bytes.Buffer
		args := strings.Fields(line)
		for i := range args { // an argument that contains spaces
			args[i] = strings.ReplaceAll(args[i], "|", " ")
		}
		code := command(args, func(string) string { return "" }, strings.NewReader(""), &out, &errs)
		fmt.Fprintf(&got, "$ saffronyard %s\nexit %d\n--- output\n%s--- errors\n%s\n", strings.Join(args, " "), code, out.String(), errs.String())
	}
	golden := filepath.Join("testdata", "commands.golden.txt")
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if got.String() == string(want) {
		return
	}
	wants := strings.Split(string(want), "\n$ ")
	for i, block := range strings.Split(got.String(), "\n$ ") {
		if i >= len(wants) || block != wants[i] {
			t.Errorf("%s\nwant\n%s", block, wants[min(i, len(wants)-1)])
		}
	}
}
