package tierdemo

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// response is what a client received in one attempt; status 0: no response.
type response struct {
	status       int
	signature    string
	retryAfter   time.Duration
	body         string   // of a tool call
	events       []string // data of the events of a turn
	idsInOrder   bool     // ids rise from 1 by one
	complete     bool     // received to its end
	firstEventAt time.Time
}

// notExecuted reports whether the response promises that the request was not executed and never will be.
func (response response) notExecuted() bool {
	return response.status == 408 || response.status == 421 || response.status == 429 || response.status == 503
}

// final reports whether a retry would get the same response.
func (response response) final() bool {
	return response.status == 400 || response.status == 401 || response.status == 402 || response.status == 403 || response.status == 404 || response.status == 410 || response.status == 413
}

// caller sends the requests of programs to gateways.
type caller struct {
	checker  *ruleChecker
	client   *http.Client
	gateways []string
	host     string
}

// newCaller returns a caller with its own connection pool.
func newCaller(checker *ruleChecker, gateways []string) *caller {
	dial := &net.Dialer{Timeout: time.Second}
	return &caller{checker: checker, gateways: gateways, host: routeHost, client: &http.Client{
		Transport: &http.Transport{DialContext: dial.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 32},
	}}
}

func (caller *caller) close() { caller.client.CloseIdleConnections() }

// request is sent in one or several attempts, each with its own id.
type request struct {
	path        string
	header      map[string]string
	attempt     attempt // without its id
	timeout     time.Duration
	maxAttempts int // only attempts that were not executed, or are idempotent, are retried
}

// send makes one attempt at a gateway.
func (caller *caller) send(ctx context.Context, gateway string, request request, left time.Duration) (id string, answer response) {
	attempt := request.attempt
	attempt.path = request.path
	attempt.id = strconv.FormatUint(rand.Uint64()|1<<63, 16)
	caller.checker.recordSent(attempt)
	defer func() { caller.checker.recordResponse(attempt.id, answer) }()
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	// The client of the standard library does not retry a POST by itself after it was written.
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+request.path, strings.NewReader(attempt.input))
	if err != nil {
		return attempt.id, answer
	}
	httpRequest.Host = caller.host
	httpRequest.Header.Set("X-Attempt-Id", attempt.id)
	httpRequest.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	for k, v := range request.header {
		httpRequest.Header.Set(k, v)
	}
	response, err := caller.client.Do(httpRequest)
	if err != nil {
		return attempt.id, answer
	}
	defer response.Body.Close()
	answer.status, answer.signature = response.StatusCode, response.Header.Get("X-Response-Signature")
	if s, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		answer.retryAfter = time.Duration(s * float64(time.Second))
	}
	if attempt.program != nil && answer.status == http.StatusOK {
		answer.read(response.Body)
		return attempt.id, answer
	}
	body, err := io.ReadAll(response.Body)
	answer.body, answer.complete, answer.firstEventAt = string(body), err == nil, time.Now()
	return attempt.id, answer
}

// read reads a stream of events to its end.
func (response *response) read(body io.Reader) {
	response.idsInOrder = true
	lines := bufio.NewReader(body)
	id, data, has := "", "", false
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			response.complete = err == io.EOF && line == "" && !has
			return
		}
		switch line = strings.TrimRight(line, "\r\n"); {
		case line == "" && has:
			if len(response.events) == 0 {
				response.firstEventAt = time.Now()
			}
			response.events = append(response.events, data)
			response.idsInOrder = response.idsInOrder && id == strconv.Itoa(len(response.events))
			id, data, has = "", "", false
		case strings.HasPrefix(line, "id: "):
			id = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			data, has = line[len("data: "):], true
		}
	}
}

// sendWithRetries makes attempts until it gets a success or a final response, within the request's time-out and number of attempts.
// It retries at another gateway after a response that promises that the request was not executed and, if the request is idempotent,
// after any failure.
func (caller *caller) sendWithRetries(ctx context.Context, request request) (id string, answer response) {
	until := time.Now().Add(request.timeout)
	gateway := rand.N(len(caller.gateways))
	for n := 1; ; n++ {
		left := time.Until(until)
		if left <= 0 || ctx.Err() != nil {
			return id, answer
		}
		id, answer = caller.send(ctx, caller.gateways[gateway], request, left)
		if answer.complete && answer.status/100 == 2 || answer.final() || n >= request.maxAttempts || !answer.notExecuted() && !request.attempt.idempotent {
			return id, answer
		}
		gateway = (gateway + 1) % len(caller.gateways)
		sleep(ctx, min(max(answer.retryAfter, 20*time.Millisecond), time.Until(until)/3))
	}
}

// sleep waits for a duration, or for the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
