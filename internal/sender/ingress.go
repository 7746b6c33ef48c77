package sender

import (
	"net/http"
	"time"
)

// ingress is a protocol by which clients submit messages: it turns requests into submissions and the loop's answers into the
// client's. All share one listener, one path into the loop, and the checks on classes, tenants, deadlines and destinations.
type ingress interface {
	// readHead reads a request's head, before its body: an error is the answer, and nothing is accepted.
	readHead(r *http.Request) (ingressRequest, error)
	// maxBody is the bytes that a body may have.
	maxBody() int64
}

// ingressRequest is one request of an ingress.
type ingressRequest interface {
	// submissions decodes a complete body. Each submission's Deadline is a time on the clock, after arrived.
	submissions(body []byte, arrived time.Duration) ([]submission, error)
	// response is the client's answer, made from the answers to its submissions.
	response(all []response) response
}

// ingresses is the protocols by the path of their requests.
func (s *server) ingresses() map[string]ingress {
	all := map[string]ingress{"/api": messageIngress{s}}
	if s.config.Events != nil {
		s.config.Events.Rules.Prepare()
		all[eventsPath] = &eventIngress{s.config, s.clock, s.config.Events}
	}
	return all
}

// submission is a message that a client submits, on its way to the loop.
type submission struct {
	record
	class, tenant int
	answer        chan response // buffered: the loop never waits for a client
}
