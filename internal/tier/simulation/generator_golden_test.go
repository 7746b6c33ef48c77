package simulation

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestDraw_Golden compares generated scripts with the golden file: a seed must give the same script in each release, so that a seed
// named in a journal can be played again. The file has the scripts of the first 20 seeds, and a digest of those of 5000 seeds.
func TestDraw_Golden(t *testing.T) {
	digest := sha256.New()
	var out strings.Builder
	for seed := range uint64(5000) {
		for _, script := range []Script{Generate(seed), Generate(seed, FaultKinds()[seed%uint64(len(FaultKinds()))])} {
			body, err := json.Marshal(script)
			assert.NilError(t, err)
			digest.Write(body)
			if seed < 20 {
				fmt.Fprintf(&out, "%s\n%v", body, script)
			}
		}
	}
	fmt.Fprintf(&out, "kinds %v\nrules %v\nsha256 of 10000 scripts: %x\n", FaultKinds(), Rules(), digest.Sum(nil))
	golden.Assert(t, out.String(), "drawn_scripts.golden")
}
