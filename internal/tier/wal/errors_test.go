package wal

import (
	"errors"
	"syscall"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

func TestIsDiskFull(t *testing.T) {
	for _, full := range []error{syscall.ENOSPC, syscall.EDQUOT, IO.Wrap(syscall.ENOSPC, "write"),
		errorx.Decorate(Broken.Wrap(IO.Wrap(syscall.ENOSPC, "write"), "append"), "turn store")} {
		assert.Assert(t, IsDiskFull(full), "%v", full)
	}
	for _, other := range []error{nil, syscall.EIO, IO.Wrap(syscall.EIO, "sync"), Broken.New("closed"), errors.New("else")} {
		assert.Assert(t, !IsDiskFull(other), "%v", other)
	}
}

func TestCause(t *testing.T) {
	plain := errors.New("plain")
	assert.Equal(t, Cause(plain), plain)
	assert.Equal(t, Cause(nil), nil)
	assert.Equal(t, Cause(Broken.Wrap(IO.Wrap(syscall.EIO, "write"), "append")), syscall.EIO)
	bare := Broken.New("closed")
	assert.Equal(t, Cause(bare), error(bare))
}
