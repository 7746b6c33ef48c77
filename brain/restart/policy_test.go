package restart

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The deploy file names each file of this package among the decision module's, which stays within 1,200 lines.
func TestPolicyNamesTheDecidingFiles(t *testing.T) {
	const root, most = "../..", 1200
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	assert.NilError(t, err)
	line := regexp.MustCompile(`(?m)^policy = \[(.*)\]`).FindSubmatch(text)
	assert.Assert(t, line != nil)
	var policy []string
	for _, name := range regexp.MustCompile(`"([^"]*)"`).FindAllSubmatch(line[1], -1) {
		policy = append(policy, string(name[1]))
	}
	files, err := filepath.Glob("*.go")
	assert.NilError(t, err)
	for _, f := range files {
		if !strings.HasSuffix(f, "_test.go") {
			assert.Assert(t, slices.Contains(policy, "brain/restart/"+f), f)
		}
	}
	lines := 0
	for _, f := range policy {
		text, err := os.ReadFile(filepath.Join(root, f))
		assert.NilError(t, err)
		for l := range strings.Lines(string(text)) {
			if strings.TrimSpace(l) != "" {
				lines++
			}
		}
	}
	assert.Assert(t, lines <= most, "%d lines", lines)
}
