package gateway

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"strconv"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/tier/ingress"
	"saffronyard.example/saffronyard/internal/tier/routing"
)

// clientRequest is the request of a client while it is handled. One goroutine owns it.
type clientRequest struct {
	gateway           *Gateway
	exchange          *ingress.Exchange
	route             *routing.Route
	service           string
	attemptID         string
	deadline          time.Time // time by which it is answered or aborted
	promptTokens      int64     // X-Token-Usage: tokens of its prompt
	maxTokens         uint64    // X-Token-Usage: tokens that the turn may generate
	tokensPerEvent    uint64    // tokens charged for each event of the answer
	affinity          string    // key of the requests that share a prefix cache
	prefix            []string  // X-Prompt-Prefix: shared parts of its prompt, outermost first
	body              []byte    // as it is sent to endpoints
	avoid             []string  // instances that it was sent to, or at which earlier attempts of its program failed
	failedInstance    string    // instance at which its last attempt failed; empty: none
	preferredInstance string    // instance that ran the turn that it continues; empty: unknown
	sent              int       // attempts that were written to an endpoint
	sentAt            time.Time // start of the last attempt

	resumeAfter     string // Last-Event-Id of the next attempt, which resumes the stream; empty: the attempt starts where the client asked
	dropLastEventID bool   // the client's Last-Event-Id is not sent to endpoints

	ctx context.Context // canceled when the client is gone or the handler returns
}

// retryable reports whether the request may be executed more than once: its route is idempotent, or its stream can be resumed.
func (request *clientRequest) retryable() bool {
	return request.route.Kind == routing.Idempotent || request.route.Kind == routing.Streaming && request.route.Resumable
}

// readDeadline sets the deadline: the route's time-out after the request's arrival, or X-Deadline-Ms if that is earlier. The
// header must be a number of milliseconds, 0 or above.
func (request *clientRequest) readDeadline() error {
	timeout := request.route.Timeout
	if header := request.exchange.Header.Get("X-Deadline-Ms"); header != "" {
		ms, err := strconv.ParseFloat(header, 64)
		if err != nil && !errors.Is(err, strconv.ErrRange) || !(ms >= 0) {
			return errInvalidDeadline
		}
		if ms < float64(timeout)/float64(time.Millisecond) { // compared before the conversion: a larger value may overflow a time.Duration
			timeout = time.Duration(ms * float64(time.Millisecond))
		}
	}
	request.deadline = request.exchange.ArrivedAt.Add(timeout)
	return nil
}

// readTokens reads X-Token-Usage: the tokens of the prompt and, after a comma, the maximum that the turn may generate. A
// value that is not a number counts as 0.
func (request *clientRequest) readTokens() {
	header := request.exchange.Header.Get("X-Token-Usage")
	if header == "" {
		return
	}
	in, out, _ := strings.Cut(header, ",")
	request.promptTokens, _ = strconv.ParseInt(strings.TrimSpace(in), 10, 64)
	request.maxTokens, _ = strconv.ParseUint(strings.TrimSpace(out), 10, 64)
}

// readAffinity reads the parts that the prompt shares with those of other requests, in X-Prompt-Prefix, outermost first. The last
// part is the affinity key, unless the request has a Session.
func (request *clientRequest) readAffinity() {
	if request.route.Persisted { // a stored turn prefers the instance of the turn that it continues
		return
	}
	if header := request.exchange.Header.Get("X-Prompt-Prefix"); header != "" {
		for part := range strings.SplitSeq(header, ",") {
			id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
			request.prefix = append(request.prefix, id)
		}
		request.affinity = request.prefix[len(request.prefix)-1]
	}
	if session := request.exchange.Header.Get("Session"); session != "" {
		request.affinity = session
	}
}

// selectService picks one of the route's services by weight. On a route with session affinity all requests of a session go to the same
// service; on other routes the service is picked for each attempt ID.
func (request *clientRequest) selectService(table *routing.Table) {
	sticky := cmp.Or(request.exchange.Header.Get("Session"), request.affinity)
	if sticky == "" || !request.route.SessionAffinity {
		sticky = request.attemptID
	}
	hash := fnv.New64a()
	hash.Write([]byte(sticky))
	request.service = request.route.Pick(hash.Sum64())
	if service := table.Services[request.service]; service != nil && service.Engine != nil {
		request.tokensPerEvent = max(1, uint64(service.Engine.TokensPerEvent))
	}
}
