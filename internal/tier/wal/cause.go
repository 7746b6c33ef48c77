package wal

import (
	"errors"
	"syscall"

	"github.com/joomcode/errorx"
)

// Cause returns the innermost error of a chain: for an error of this package, what the file system returned. It also unwraps
// errors that hide their cause from errors.Is.
func Cause(err error) error {
	for {
		wrapped := errorx.Cast(err)
		if wrapped == nil || wrapped.Cause() == nil {
			return err
		}
		err = wrapped.Cause()
	}
}

// Full reports whether an error is that of a disk without space, or of an exceeded quota.
func Full(err error) bool {
	cause := Cause(err)
	return errors.Is(cause, syscall.ENOSPC) || errors.Is(cause, syscall.EDQUOT)
}
