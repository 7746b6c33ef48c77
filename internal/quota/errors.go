package quota

import "fmt"

// EpochError reports that a request is for another membership, or another process, than the server's.
type EpochError struct {
	ServerEpoch, RequestEpoch             uint64
	ServerIncarnation, RequestIncarnation uint64
}

// Error is the text that users and logs see.
func (e *EpochError) Error() string {
	return fmt.Sprintf("this sender goes by roster %d as process %x, the question by roster %d for %x", e.ServerEpoch, e.ServerIncarnation, e.RequestEpoch, e.RequestIncarnation)
}

// NoParticipantError reports that a client's process does not participate in the membership.
type NoParticipantError struct {
	Name  string
	Epoch uint64
}

// Error is the text that users and logs see.
func (e *NoParticipantError) Error() string {
	return fmt.Sprintf("%s takes no part in roster %d with that process", e.Name, e.Epoch)
}
