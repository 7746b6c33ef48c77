package simulation

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestScript_WriteAndRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "script.json")
	want := Generate(12)
	assert.NilError(t, want.Write(path))
	got, err := Read(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
}

func TestRead_OtherVersion(t *testing.T) {
	path := filepath.Join(t.TempDir(), "script.json")
	s := Generate(12)
	s.Version++
	assert.NilError(t, s.Write(path))
	_, err := Read(path)
	assert.Assert(t, errors.Is(err, ErrVersion))
	assert.ErrorContains(t, err, "version 3, this program plays 2")
}

func TestRead_ReportsAllFindings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "script.json")
	assert.NilError(t, os.WriteFile(path, []byte(`{"version":2,"core":1,"stores":3,"gateways":2,"losses":1,
		"unit":"racks","faults":[{"at_ms":1,"kind":"flood"},{"at_ms":-1,"kind":"kill"}]}`), 0o600))
	_, err := Read(path)
	for _, part := range []string{"1 core", `unknown unit "racks"`, `faults[0]: unknown kind "flood"`, "faults[1]: negative time"} {
		assert.ErrorContains(t, err, part)
	}
}

func TestScript_ZoneFaultNeedsZones(t *testing.T) {
	s := Script{Core: 3, Stores: 3, Gateways: 2, Losses: 1, Faults: []Fault{{Kind: KillZone, Machine: "zone-1"}}}
	assert.ErrorContains(t, s.check(), "faults[0]: kind zone-kill requires the unit zones or regions")
	s.Unit = Zones
	assert.NilError(t, s.check())
	s.Unit = Regions
	assert.ErrorContains(t, s.check(), "1 regions are too few to tolerate 1 losses")
}
