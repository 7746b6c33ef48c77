package sender

import (
	"context"
	"log/slog"

	"saffronyard.example/saffronyard/brain"
)

// trace logs a step of one message, so that operators can follow the message by its id through all senders. Unless the level debug is
// enabled, nothing is formatted.
func (s *Sender) trace(step, id string, details ...slog.Attr) {
	if !s.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	s.log.LogAttrs(context.Background(), slog.LevelDebug, step, append([]slog.Attr{slog.String("id", id)}, details...)...)
}

// traceEnd logs how a call ended.
func (s *Sender) traceEnd(m *message, e callResult) {
	outcome := "served"
	if e.Outcome != brain.Served {
		outcome = string(outcomeOf(e.Outcome))
	}
	endpointID := ""
	if endpoint := s.endpoints.ByNumber[e.Endpoint]; endpoint != nil {
		endpointID = endpoint.ID
	}
	s.trace("call ended", m.ID, slog.Uint64("dest", uint64(m.Dest)), slog.Int("try", m.earlierAttempts+e.attempt), slog.String("endpoint", endpointID),
		slog.String("outcome", outcome), slog.Duration("took", e.Elapsed), slog.Duration("wait", e.RetryAfter),
		slog.Bool("crowded", e.ConnLimitReached), slog.Float64("left", e.Remaining), slog.Float64("limit", e.Limit))
}
