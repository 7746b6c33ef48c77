package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// The platform leads the sender's sockets and clocks to a bench of its own by a library that is loaded before it, on the
// days of the full fleet: a program that is not linked dynamically against the C library runs past that unseen.
func TestDeployFile_BuildsDynamicProgram(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Build, Run, Sim string }
	if err := toml.Unmarshal(raw, &deploy); err != nil {
		t.Fatal(err)
	}
	if deploy.Run != "exec bin/saffronyard" || deploy.Sim != "exec bin/simulator-adapter" {
		t.Errorf("run = %q, sim = %q: want one process each, by exec, and no features", deploy.Run, deploy.Sim)
	}
	// The very command, but for where it leaves the programs.
	bin := t.TempDir()
	const into = "-o bin/ ./cmd/..."
	if strings.Count(deploy.Build, into) != 1 {
		t.Fatalf("build = %q does not build all commands into bin/", deploy.Build)
	}
	build := exec.Command("/bin/sh", "-c", strings.Replace(deploy.Build, into, "-o '"+bin+"/' ./cmd/...", 1))
	build.Dir = "../.."
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", deploy.Build, err, out)
	}
	for _, run := range []string{deploy.Run, deploy.Sim} {
		name := filepath.Base(run)
		f, err := elf.Open(filepath.Join(bin, name))
		if err != nil {
			t.Fatal(err)
		}
		libs, err := f.ImportedLibraries()
		f.Close()
		if err != nil || !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
			t.Errorf("%s needs the libraries %v (%v): it is not linked dynamically against the C library", name, libs, err)
		}
	}
}
