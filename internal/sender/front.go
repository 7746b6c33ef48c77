package sender

import (
	"net/http"
	"time"
)

// A front turns what a client sends into submissions and the loop's answers into the client's words. All fronts share
// one listener, one path into the loop, and the checks on classes, tenants, deadlines and destinations.
type ingress interface {
	// readHead reads a request's head, before its body: an error is the answer, and nothing is taken on.
	readHead(r *http.Request) (ingressRequest, error)
	// maxBody is the bytes that a body may have.
	maxBody() int64
}

// ingressRequest is one request on its way.
type ingressRequest interface {
	// submissions reads a body that has come whole. Each submission's Deadline is a time on the clock, after arrived.
	submissions(body []byte, arrived time.Duration) ([]submission, error)
	// response gives the client's answer, from those to its submissions.
	response(all []response) response
}

// ingresses is the fronts by path.
func (s *server) ingresses() map[string]ingress {
	all := map[string]ingress{"/api": messageIngress{s}}
	if s.config.Events != nil {
		s.config.Events.Rules.Prepare()
		all[eventsPath] = &eventIngress{s.config, s.clock, s.config.Events}
	}
	return all
}

// messageIngress is the platform's protocol: one message a request.
type messageIngress struct{ server *server }

func (f messageIngress) maxBody() int64 { return maxBodyBytes }

func (f messageIngress) readHead(r *http.Request) (ingressRequest, error) {
	sub, err := f.server.parseMessageHead(r)
	if err != nil {
		return nil, err
	}
	return &messageRequest{submission: [1]submission{*sub}}, nil
}

type messageRequest struct{ submission [1]submission }

func (p *messageRequest) submissions(body []byte, arrived time.Duration) ([]submission, error) {
	p.submission[0].Body = body
	p.submission[0].Deadline += arrived
	return p.submission[:], nil
}

func (p *messageRequest) response(all []response) response { return all[0] }
