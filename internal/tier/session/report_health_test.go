package session_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/session"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Ejections are requested only by processes that act on them. Each version is delivered once, and acknowledged.
func TestSession_EjectionsDeliveredWhereAccepted(t *testing.T) {
	for _, accepted := range []bool{true, false} {
		h := newHarness(t, 1)
		c := h.primary(1)
		h.run(func(config *session.Config) {
			if accepted {
				config.Ejections = func(v *tierv1.Ejections) { h.record(fmt.Sprint("ejections ", v.Version)) }
			}
		})
		c.SetConfiguration("1")
		c.AwaitAcknowledged(t)                                   // the session is active: its next call acknowledges
		h.client.ReportHealth(t.Context(), []string{"i-1"}, nil) // the fake publishes each report at once
		if accepted {
			c.Await(t, "ejections are acknowledged", func(q *tierv1.WatchRequest) bool {
				return isLongPoll(q) && q.AcceptsEjections && q.EjectionsVersion == 1
			})
			assert.DeepEqual(t, h.recorded(), []string{"configuration 1", "ejections 1"})
			continue
		}
		c.SetConfiguration("2")
		c.AwaitAcknowledged(t)
		assert.DeepEqual(t, h.recorded(), []string{"configuration 1", "configuration 2"})
	}
}

// Without a session nothing is reported.
func TestReportHealth_WithoutSession(t *testing.T) {
	h := newHarness(t, 1)
	h.run(func(config *session.Config) { config.Ejections = func(*tierv1.Ejections) { h.record("ejections") } })
	h.at(1).Await(t, "a search for the primary", func(q *tierv1.WatchRequest) bool { return !isLongPoll(q) })
	h.client.ReportHealth(t.Context(), []string{"i-1"}, nil)
	c := h.primary(1)
	c.SetConfiguration("1")
	c.AwaitAcknowledged(t)
	assert.DeepEqual(t, h.recorded(), []string{"configuration 1"})
}
