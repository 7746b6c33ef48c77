package rpc

import (
	"context"
	"net"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

// Listen passes each error to its caller's function, and returns errors that are not transient at once.
func TestListen_RetriesTransientErrorsOnly(t *testing.T) {
	busy, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer busy.Close()
	for _, retries := range []int{0, 1} {
		asked := 0
		_, err := Listen(context.Background(), net.ListenConfig{}, busy.Addr().String(), func(err error) bool {
			assert.Check(t, portInUse(err))
			asked++
			return asked <= retries
		})
		assert.Check(t, errorx.IsOfType(err, Bind))
		assert.Equal(t, asked, retries+1)
	}
	listener, err := Listen(context.Background(), net.ListenConfig{}, "127.0.0.1:0", func(error) bool { return false })
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
}
