package scenariofuzz

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// All four kinds of turns are drawn: persisted or not, resumable or not.
func TestTurns_OfEveryKind(t *testing.T) {
	text, err := os.ReadFile("testdata/site.toml")
	assert.NilError(t, err)
	counts := map[[2]bool]int{}
	for seed := range int64(40) {
		drawn, err := Draw(text, seed, "turns of every sort")
		assert.NilError(t, err)
		for _, class := range tables(drawn.Site["classes"]) {
			agent, ok := class["agent"].(Table)
			if !ok {
				continue
			}
			counts[[2]bool{agent["kept"].(bool), class["stream"].(Table)["resume"].(bool)}]++
		}
	}
	assert.Equal(t, len(counts), 4, "%v", counts)
}

// An engine has 4 to 12 slots, and memory for 4,000 to 15,000 tokens in each slot.
func TestScarceEngines(t *testing.T) {
	text, err := os.ReadFile("testdata/site.toml")
	assert.NilError(t, err)
	for seed := range int64(10) {
		drawn, err := Draw(text, seed, "few places, little memory and tight aims")
		assert.NilError(t, err)
		for _, service := range tables(drawn.Site["services"]) {
			engine, ok := service["llm"].(Table)
			if !ok {
				continue
			}
			slots, memory := engine["batch"].(int), engine["kv_tokens"].(int)
			assert.Assert(t, slots >= 4 && slots <= 12 && memory >= 4000*slots && memory <= 15000*slots)
			assert.Equal(t, service["slots"].(int), slots)
		}
	}
}
