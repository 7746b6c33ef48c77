package rpc

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestNewIncarnation(t *testing.T) {
	a, b := NewIncarnation(), NewIncarnation()
	assert.Equal(t, len(a), 16)
	assert.Check(t, a != b)
}
