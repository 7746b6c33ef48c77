package quota

import "fmt"

// EpochError reports that a request was made under another membership epoch, or addressed to another process, than the server's.
type EpochError struct {
	ServerEpoch, RequestEpoch             uint64
	ServerIncarnation, RequestIncarnation uint64
}

// Error implements error. The text is sent to the client.
func (e *EpochError) Error() string {
	return fmt.Sprintf("this sender goes by roster %d as process %x, the question by roster %d for %x", e.ServerEpoch, e.ServerIncarnation, e.RequestEpoch, e.RequestIncarnation)
}

// NoParticipantError reports that a client's process is not a participant of the membership.
type NoParticipantError struct {
	Name  string
	Epoch uint64
}

// Error implements error. The text is sent to the client.
func (e *NoParticipantError) Error() string {
	return fmt.Sprintf("%s takes no part in roster %d with that process", e.Name, e.Epoch)
}
