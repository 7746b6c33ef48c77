package tiertest

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// An address with a listener is not free.
func TestFree(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.Assert(t, !isFree(address))
	assert.NilError(t, listener.Close())
	assert.Assert(t, isFree(address))
}

// The ports of the settings are free to listen at.
func TestSettingsAreOfAFreeAddress(t *testing.T) {
	s := Settings("edge-1")
	for _, address := range []string{s.Frontend, s.Readiness} {
		listener, err := net.Listen("tcp", address)
		assert.NilError(t, err)
		defer listener.Close()
	}
}
