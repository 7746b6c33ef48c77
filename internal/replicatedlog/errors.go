package replicatedlog

import (
	"errors"
	"fmt"
)

var (
	// ErrUnknownCommand reports that the log has a command of a kind that this program does not support. The program must stop applying
	// the log; it must not skip the command.
	ErrUnknownCommand = errors.New("the fleet's log has a command that this program does not support; a newer program is needed")
	// ErrNotLeader reports that another voter leads, or none does.
	ErrNotLeader = errors.New("another voter leads, or none does")
	// ErrTooManyReads reports that too many lease requests already wait for the leader to be confirmed.
	ErrTooManyReads = errors.New("too many questions wait")
)

// DecodeError reports that bytes of the log, of a snapshot or of a request can't be decoded.
type DecodeError struct {
	What string // what the bytes should encode
	Err  error
}

// Error is the text that users and logs see.
func (e *DecodeError) Error() string { return fmt.Sprintf("%s can't be read: %v", e.What, e.Err) }

// Unwrap gives the decoder's error.
func (e *DecodeError) Unwrap() error { return e.Err }

// GapError reports that an entry does not follow the one applied last.
type GapError struct {
	Index   uint64
	Applied uint64
}

// Error is the text that users and logs see.
func (e *GapError) Error() string {
	return fmt.Sprintf("entry %d can't follow entry %d", e.Index, e.Applied)
}

// SnapshotFormatError reports that a snapshot has a format other than the one that this program reads.
type SnapshotFormatError struct{ Got, Want uint32 }

// Error is the text that users and logs see.
func (e *SnapshotFormatError) Error() string {
	return fmt.Sprintf("the snapshot has format %d; this program reads only format %d", e.Got, e.Want)
}

// RemovedMemberError reports a lease request from a sender that an operator has removed for good.
type RemovedMemberError struct{ Name string }

// Error is the text that users and logs see.
func (e *RemovedMemberError) Error() string {
	return fmt.Sprintf("%s was declared gone for good", e.Name)
}

// CommandTooLargeError reports that an encoded command is larger than maxCommandBytes.
type CommandTooLargeError struct{ Bytes int }

// Error is the text that users and logs see.
func (e *CommandTooLargeError) Error() string {
	return fmt.Sprintf("a command of %d bytes; %d are the most", e.Bytes, maxCommandBytes)
}
