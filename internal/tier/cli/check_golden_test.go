package cli

import (
	"testing"

	"gotest.tools/v3/golden"

	"saffronyard.example/saffronyard/internal/tier/settings"
)

// TestCheckTable_Golden compares the table of settings, as check --table prints it, with that of the operators' pages: names, types,
// defaults and meanings of settings are theirs.
func TestCheckTable_Golden(t *testing.T) {
	golden.Assert(t, settings.Describe(), "settings_table.golden")
}
