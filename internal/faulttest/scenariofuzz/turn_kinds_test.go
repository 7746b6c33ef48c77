package scenariofuzz

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// Over some seeds turns of every sort are drawn: kept or not, resumable or not.
func TestTurns_OfEveryKind(t *testing.T) {
	text, err := os.ReadFile("testdata/site.toml")
	assert.NilError(t, err)
	sorts := map[[2]bool]int{}
	for seed := range int64(40) {
		drawn, err := Draw(text, seed, "turns of every sort")
		assert.NilError(t, err)
		for _, class := range tables(drawn.Site["classes"]) {
			agent, ok := class["agent"].(Table)
			if !ok {
				continue
			}
			sorts[[2]bool{agent["kept"].(bool), class["stream"].(Table)["resume"].(bool)}]++
		}
	}
	assert.Equal(t, len(sorts), 4, "%v", sorts)
}

// An engine's memory holds a long prompt in each of its few places, and no more than some.
func TestFewPlacesAndLittleMemory(t *testing.T) {
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
			places, memory := engine["batch"].(int), engine["kv_tokens"].(int)
			assert.Assert(t, places >= 4 && places <= 12 && memory >= 4000*places && memory <= 15000*places)
			assert.Equal(t, service["slots"].(int), places)
		}
	}
}
