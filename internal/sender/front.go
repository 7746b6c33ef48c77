package sender

import (
	"net/http"
	"time"
)

// A front turns what a client sends into submissions and the loop's answers into the client's words. All fronts share
// one listener, one path into the loop, and the checks on classes, tenants, deadlines and destinations.
type front interface {
	// begin reads a request's head, before its body: an error is the answer, and nothing is taken on.
	begin(r *http.Request) (handIn, error)
	// most is the bytes that a body may have.
	most() int64
}

// handIn is one request on its way.
type handIn interface {
	// take reads a body that has come whole. Each submission's Deadline is a time on the clock, after arrived.
	take(body []byte, arrived time.Duration) ([]submission, error)
	// answer gives the client's answer, from those to its submissions.
	answer(all []answerLine) answerLine
}

// fronts is the fronts by path.
func (s *server) fronts() map[string]front {
	all := map[string]front{"/api": plainFront{s}}
	if s.c.Events != nil {
		s.c.Events.Rules.Prepare()
		all[eventsPath] = &eventsFront{s.c, s.clock, s.c.Events}
	}
	return all
}

// plainFront is the platform's protocol: one message a request.
type plainFront struct{ s *server }

func (f plainFront) most() int64 { return maxBody }

func (f plainFront) begin(r *http.Request) (handIn, error) {
	sub, err := f.s.parse(r)
	if err != nil {
		return nil, err
	}
	return &plainHandIn{one: [1]submission{*sub}}, nil
}

type plainHandIn struct{ one [1]submission }

func (p *plainHandIn) take(body []byte, arrived time.Duration) ([]submission, error) {
	p.one[0].Body = body
	p.one[0].Deadline += arrived
	return p.one[:], nil
}

func (p *plainHandIn) answer(all []answerLine) answerLine { return all[0] }
