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

// In the runs with the full fleet the platform preloads a library into the sender that redirects its sockets and clocks to a
// test bench. A program that is not linked dynamically against the C library bypasses that library unnoticed.
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
	// This is the deploy file's build command with another output folder.
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
