package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"saffronyard.example/saffronyard/internal/tier/http1"
	"saffronyard.example/saffronyard/internal/tier/ingress"
	"saffronyard.example/saffronyard/internal/tier/routing"
)

// unconfiguredRetryAfter is the Retry-After before the first configuration.
const unconfiguredRetryAfter = 500 * time.Millisecond

// clientWatchDelay is how long a request is handled before its client's connection is watched for being closed.
const clientWatchDelay = 300 * time.Millisecond

// badRequestError is an error of a client's request, which is answered with status 400. Clients see its text.
type badRequestError string

// Error implements error.
func (err badRequestError) Error() string { return string(err) }

const (
	errNoAttemptID            = badRequestError("no X-Attempt-Id")
	errInvalidDeadline        = badRequestError("X-Deadline-Ms is no number of milliseconds")
	errInvalidBudget          = badRequestError("Budget is no number of tokens")
	errBudgetWithoutMaxTokens = badRequestError("a Budget without the turn's most in X-Token-Usage")
)

// handle answers one request of a client.
func (gateway *Gateway) handle(exchange *ingress.Exchange) {
	gateway.activeRequests.Add(1)
	defer gateway.activeRequests.Add(-1)
	kind := kindNone
	defer func() {
		gateway.counters.countRequest(kind, outcomeOf(exchange.Status(), exchange.Signed(), exchange.Complete()))
	}()
	table := gateway.routing.Load()
	if table == nil {
		gateway.reject(exchange, unconfiguredRetryAfter)
		return
	}
	route := table.Match(exchange.Host, exchange.Path)
	if route == nil {
		exchange.Respond(http.StatusNotFound, nil, []byte("no route\n"))
		return
	}
	request := &clientRequest{gateway: gateway, exchange: exchange, route: route, attemptID: exchange.Header.Get("X-Attempt-Id"), body: exchange.Body, tokensPerEvent: 1}
	if request.attemptID == "" {
		request.rejectBad(errNoAttemptID)
		return
	}
	if route.Kind == routing.Streaming && !exchange.CanStream() {
		exchange.Respond(http.StatusHTTPVersionNotSupported, nil, nil)
		return
	}
	kind = request.kind()
	if err := request.readDeadline(); err != nil {
		request.rejectBad(err)
		return
	}
	request.readTokens()
	request.readAffinity()
	request.selectService(table)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request.ctx = ctx
	exchange.OnClientGone(clientWatchDelay, cancel)
	request.forward()
}

// forward serves a request by its kind: a turn is first begun at its turn store, a stream is relayed as it is received, and any other
// answer is sent to the client when it is complete.
func (request *clientRequest) forward() {
	switch {
	case request.route.Kind != routing.Streaming && !request.route.Persisted:
		request.forwardBuffered()
	case request.needsTurnStore():
		request.forwardTurn()
	default:
		request.forwardStream(accounting{})
	}
}

// reject answers with 503: the request was not executed and never will be. The client should retry after the given time.
func (gateway *Gateway) reject(exchange *ingress.Exchange, retryAfter time.Duration) {
	seconds := strconv.FormatFloat(max(retryAfter, time.Millisecond).Seconds(), 'f', 3, 64)
	exchange.Respond(http.StatusServiceUnavailable, []http1.Field{{Name: "Retry-After", Value: seconds}}, nil)
}

// rejectBad answers with 400 and the text of the error.
func (request *clientRequest) rejectBad(err error) {
	request.exchange.Respond(http.StatusBadRequest, nil, []byte(err.Error()+"\n"))
}
