package simulation

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// A script that fails if two of its faults are present, one of them with a minimum duration, is shrunk to these two.
func TestShrink(t *testing.T) {
	s := Script{Faults: []Fault{{Kind: Kill, DurationMS: 3000}, {Kind: Wipe, DurationMS: 4000}, {Kind: Pause, DurationMS: 2000}, {Kind: Partition, DurationMS: 900}}}
	short := Shrink(s, func(s Script) bool {
		wipe := slices.IndexFunc(s.Faults, func(f Fault) bool { return f.Kind == Wipe && f.DurationMS >= 1000 })
		cut := slices.IndexFunc(s.Faults, func(f Fault) bool { return f.Kind == Partition })
		return wipe >= 0 && cut > wipe
	})
	assert.DeepEqual(t, short.Faults, []Fault{{Kind: Wipe, DurationMS: 1000}, {Kind: Partition, DurationMS: 112}})
}
