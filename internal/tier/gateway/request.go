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

// clientRequest is one request on its way.
type clientRequest struct {
	gateway           *Gateway
	x                 *ingress.Exchange
	route             *routing.Route
	service           string
	attemptID         string
	deadline          time.Time // by then it is answered or aborted
	promptTokens      int64     // of its prompt
	maxTokens         uint64    // that the turn may generate
	tokensPerEvent    uint64    // tokens that one event of the answer counts for
	affinity          string    // requests with the same one do best at one endpoint
	prefix            []string  // shared parts of its prompt, outermost first
	body              []byte    // as an endpoint gets it
	avoid             []string  // instances that it was sent to, or that earlier attempts of its program failed at
	failedInstance    string    // instance at which its last run ended without the answer; empty: none
	preferredInstance string    // instance that ran what it goes on from
	sent              int       // endpoints that it was sent to
	sentAt            time.Time // of the last send

	resumeAfter     string // the next run goes on after this event; empty: it begins as the client asked
	dropLastEventID bool   // the client's Last-Event-Id is not passed on

	ctx context.Context // ends when the client has left, or with the handler
}

// retryable reports whether the request may run more than once: its route is idempotent, or its stream may be resumed.
func (request *clientRequest) retryable() bool {
	return request.route.Kind == routing.Idempotent || request.route.Kind == routing.Streaming && request.route.Resumable
}

// readDeadline sets until when the request is answered or aborted: the route's time-out after its arrival, or what
// X-Deadline-Ms leaves of it. It is false where that header is not a number of milliseconds, 0 or above.
func (request *clientRequest) readDeadline() bool {
	left := request.route.Timeout
	if header := request.x.Header.Get("X-Deadline-Ms"); header != "" {
		ms, err := strconv.ParseFloat(header, 64)
		if err != nil && !errors.Is(err, strconv.ErrRange) || !(ms >= 0) {
			return false
		}
		if ms < float64(left)/float64(time.Millisecond) { // one beyond the route's time-out may be beyond all measure
			left = time.Duration(ms * float64(time.Millisecond))
		}
	}
	request.deadline = request.x.ArrivedAt.Add(left)
	return true
}

// readTokens reads X-Token-Usage: the tokens of the prompt and, behind a comma, how many the turn may generate. A
// figure that is no number counts as 0.
func (request *clientRequest) readTokens() {
	header := request.x.Header.Get("X-Token-Usage")
	if header == "" {
		return
	}
	in, out, _ := strings.Cut(header, ",")
	request.promptTokens, _ = strconv.ParseInt(strings.TrimSpace(in), 10, 64)
	request.maxTokens, _ = strconv.ParseUint(strings.TrimSpace(out), 10, 64)
}

// readAffinity reads what the prompt shares with those of other requests: the parts in X-Prompt-Prefix, outermost first,
// the last of which is the affinity unless there is a Session.
func (request *clientRequest) readAffinity() {
	if request.route.Persisted { // it goes to where its line ran, and the first of a line wherever the load is least
		return
	}
	if header := request.x.Header.Get("X-Prompt-Prefix"); header != "" {
		for part := range strings.SplitSeq(header, ",") {
			id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
			request.prefix = append(request.prefix, id)
		}
		request.affinity = request.prefix[len(request.prefix)-1]
	}
	if session := request.x.Header.Get("Session"); session != "" {
		request.affinity = session
	}
}

// selectService picks one of the route's services by weight. On a sticky route all requests of a session go to one
// service, on others each attempt is on its own.
func (request *clientRequest) selectService(table *routing.Table) {
	sticky := cmp.Or(request.x.Header.Get("Session"), request.affinity)
	if sticky == "" || !request.route.Sticky {
		sticky = request.attemptID
	}
	hash := fnv.New64a()
	hash.Write([]byte(sticky))
	request.service = request.route.Pick(hash.Sum64())
	if service := table.Services[request.service]; service != nil && service.Engine != nil {
		request.tokensPerEvent = max(1, uint64(service.Engine.TokensPerEvent))
	}
}
