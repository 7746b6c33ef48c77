package wal

import (
	"errors"
	"syscall"

	"github.com/joomcode/errorx"
)

var (
	errorTypes = errorx.NewNamespace("wal")
	// IO is the type of disk errors.
	IO = errorTypes.NewType("io")
	// Broken is the type of errors of a file that allows only Reopen, Rewrite and Close, after a failed write or sync.
	Broken = errorTypes.NewType("broken")
	// NoSpace is the type of the error of a Reopen that replayed the complete file and found it intact, but could not write
	// ReopenFreeSpace more bytes. The file stays broken. A Rewrite to fewer records may still succeed, and makes the file
	// usable.
	NoSpace = errorTypes.NewType("no_space")
	// Foreign is the type of errors of a file that has another magic or version.
	Foreign = errorTypes.NewType("foreign")
	// Misuse is the type of errors of calls that are not allowed, such as those on a closed file.
	Misuse = errorTypes.NewType("misuse")
	// TooLarge is the type, a subtype of Misuse, of the error that rejects a record over MaxRecord. Nothing was written, and
	// the file stays usable: this is not a disk error.
	TooLarge = Misuse.NewSubtype("too_large")
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

// IsDiskFull reports whether an error was caused by a disk without space or an exceeded quota.
func IsDiskFull(err error) bool {
	cause := Cause(err)
	return errors.Is(cause, syscall.ENOSPC) || errors.Is(cause, syscall.EDQUOT)
}
