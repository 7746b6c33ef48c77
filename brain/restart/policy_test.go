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

// excludedFiles are the files of package brain that make no decision: its documentation, its interface, and records.
var excludedFiles = []string{"actions.go", "destination.go", "doc.go", "events.go", "observations.go", "queue.go", "settings.go"}

// The deploy file names the files of the decision module: each of package restart, and each of package brain that decides
// something. A file that is split or renamed has to be named there.
func TestPolicy_NamesTheDecidingFiles(t *testing.T) {
	const root = "../.."
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	assert.NilError(t, err)
	line := regexp.MustCompile(`(?m)^policy = \[(.*)\]`).FindSubmatch(text)
	assert.Assert(t, line != nil)
	var policy []string
	for _, name := range regexp.MustCompile(`"([^"]*)"`).FindAllSubmatch(line[1], -1) {
		policy = append(policy, string(name[1]))
	}
	var want []string
	for _, folder := range []string{"brain", "brain/restart"} {
		files, err := filepath.Glob(filepath.Join(root, folder, "*.go"))
		assert.NilError(t, err)
		for _, file := range files {
			name := filepath.Base(file)
			if !strings.HasSuffix(name, "_test.go") && !(folder == "brain" && slices.Contains(excludedFiles, name)) {
				want = append(want, folder+"/"+name)
			}
		}
	}
	slices.Sort(policy)
	slices.Sort(want)
	assert.DeepEqual(t, policy, want)
}
