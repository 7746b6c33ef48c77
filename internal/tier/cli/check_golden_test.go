package cli

import (
	"testing"

	"gotest.tools/v3/golden"

	"saffronyard.example/saffronyard/internal/tier/settings"
)

// TestCheckTable_Golden compares the table of settings that check --table prints with the table in the operators' pages: names, types,
// defaults and meanings of settings must stay the same.
func TestCheckTable_Golden(t *testing.T) {
	golden.Assert(t, settings.Describe(), "settings_table.golden")
}
