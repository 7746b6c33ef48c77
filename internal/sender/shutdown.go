package sender

import (
	"context"
	"errors"
)

// shutdown stops the sender. Calls in flight are cancelled and remain in the journal as attempts that may have run. Events that are
// queued by then are still handled: the next process must not repeat a message that was answered just now.
func (s *Sender) shutdown(stop context.CancelFunc) error {
	s.stopping = true
	for more := true; more; {
		select {
		case e := <-s.events:
			s.handle(e)
		default:
			more = false
		}
	}
	s.flush()
	stop()
	s.server.close()
	s.log.Info("stopped", "held", s.pending, "calls", s.inFlight, "notices", len(s.pendingNotices))
	var errs []error
	for _, p := range s.extensions {
		errs = append(errs, p.shutdown())
	}
	return errors.Join(append(errs, s.journal.close())...)
}
