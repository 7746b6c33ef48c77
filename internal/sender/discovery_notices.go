package sender

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// notice is a line that reports to the platform a message that was accepted and not delivered.
type notice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMS *int64 `json:"retry_in_ms,omitempty"`
}

// postNotices posts each batch of notices until the platform acknowledges it, to discovery's current address, and ends with ctx. The
// connection of the previous batch may have died since, and notices are urgent, so the first failure is retried at once on a new
// connection.
func (d *discovery) postNotices(ctx context.Context, notices <-chan []notice, acknowledged func([]notice)) {
	for {
		var batch []notice
		select {
		case batch = <-notices:
		case <-ctx.Done():
			return
		}
		var lines bytes.Buffer
		enc := json.NewEncoder(&lines)
		for _, n := range batch {
			enc.Encode(n) // strings and numbers only: it cannot fail
		}
		for failures := 0; ; {
			o := d.registry()
			limit := noticeTimeout
			if failures == 0 {
				limit = firstNoticeTimeout
			}
			if o.post(ctx, lines.Bytes(), limit) == nil {
				acknowledged(batch)
				break
			}
			o.notices.CloseIdleConnections()
			if failures++; failures > 1 && !o.backoff(ctx, failures-1) || ctx.Err() != nil {
				return
			}
			if o.moved.Err() != nil {
				failures = 0
			}
		}
	}
}

// post posts lines of notices; nil once the platform has acknowledged them with 204.
func (o *registry) post(ctx context.Context, lines []byte, limit time.Duration) error {
	ctx, done := o.callContext(ctx, limit)
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+o.addr+"/v1/notices", bytes.NewReader(lines))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/x-ndjson")
	resp, err := o.notices.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes))
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%w %s", errNoticesRejected, resp.Status)
	}
	return nil
}

// notice is the notice of a message that has ended.
func (m *storedMessage) notice() notice {
	n := notice{Message: m.ID, Outcome: m.outcome}
	if m.outcome == outcomeHandedBack && m.retryAfterMS > 0 {
		n.RetryMS = &m.retryAfterMS
	}
	return n
}

// recordNotified records that the platform has acknowledged notices, which are the first of the pending ones.
func (s *Sender) recordNotified(acknowledged []notice) {
	s.noticesInFlight = false
	s.pendingNotices = s.pendingNotices[len(acknowledged):]
	for _, n := range acknowledged {
		if m := s.journal.byID[n.Message]; m != nil && m.outcome != "" && !m.notified {
			s.journal.update(m, record{Op: opNotified})
		}
	}
}

// sendNotices hands the pending notices to postNotices, one batch at a time.
func (s *Sender) sendNotices() {
	if !s.noticesInFlight && len(s.pendingNotices) > 0 {
		s.noticesInFlight = true
		s.notices <- s.pendingNotices[:min(len(s.pendingNotices), maxNoticesPerCall)]
	}
}
