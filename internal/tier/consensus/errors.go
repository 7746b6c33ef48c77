package consensus

import (
	"errors"

	"github.com/joomcode/errorx"
)

var (
	// ErrNotPrimary reports that the epoch is over, and that nothing was written.
	ErrNotPrimary = errors.New("consensus: not the primary of this epoch")
	// ErrOutcomeUnknown reports that the write may or may not have been committed.
	ErrOutcomeUnknown = errors.New("consensus: the outcome is unknown")

	errorTypes = errorx.NewNamespace("consensus")
	// StateTooLarge is the type of the error of a Put that would make the control state larger than its limit. Nothing was
	// written, and the epoch continues.
	StateTooLarge = errorTypes.NewType("state_too_large")
	// DiskStuck is the type of Health.Disk while a write does not return.
	DiskStuck = errorTypes.NewType("disk_stuck")
	// CorruptRecord is the type of the error of Open and Run for a record of the file that this program cannot read.
	CorruptRecord = errorTypes.NewType("corrupt_record")
)
