package sender

import (
	"context"
	"errors"
)

// shutdown ends the process's work. Calls under way are cut off and stay in the journal as attempts that may have run. Events
// that have come by then still count: a message that was answered just now is not another process's to repeat.
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
