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

// answer is what a client received in one attempt; status 0: no answer.
type answer struct {
	status     int
	signature  string
	retryAfter time.Duration
	body       string   // of a tool call
	events     []string // data of the events of a turn
	inOrder    bool     // ids rise from 1 by one
	complete   bool     // it was received to its end
	first      time.Time
}

// notExecuted reports whether the answer promises that the request has not run and never will.
func (answer answer) notExecuted() bool {
	return answer.status == 408 || answer.status == 421 || answer.status == 429 || answer.status == 503
}

// final reports whether a retry would get the same answer.
func (answer answer) final() bool {
	return answer.status == 400 || answer.status == 401 || answer.status == 402 || answer.status == 403 || answer.status == 404 || answer.status == 410 || answer.status == 413
}

// caller sends the requests of programs to gateways.
type caller struct {
	witness  *witness
	client   *http.Client
	gateways []string
	host     string
}

// newCaller makes a caller with connections of its own.
func newCaller(witness *witness, gateways []string) *caller {
	dial := &net.Dialer{Timeout: time.Second}
	return &caller{witness: witness, gateways: gateways, host: routeHost, client: &http.Client{
		Transport: &http.Transport{DialContext: dial.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 32},
	}}
}

func (caller *caller) end() { caller.client.CloseIdleConnections() }

// request is sent in one or several attempts, each with its own id.
type request struct {
	path     string
	header   map[string]string
	attempt  attempt // without its id
	timeout  time.Duration
	maxTries int // maximum of attempts; only those that have not run, or can be repeated, are followed by another
}

// send makes one attempt at a gateway.
func (caller *caller) send(ctx context.Context, gateway string, request request, left time.Duration) (id string, answer answer) {
	attempt := request.attempt
	attempt.path = request.path
	attempt.id = strconv.FormatUint(rand.Uint64()|1<<63, 16)
	caller.witness.sent(attempt)
	defer func() { caller.witness.got(attempt.id, answer) }()
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
	answer.body, answer.complete, answer.first = string(body), err == nil, time.Now()
	return attempt.id, answer
}

// read reads a stream of events to its end.
func (answer *answer) read(body io.Reader) {
	answer.inOrder = true
	lines := bufio.NewReader(body)
	id, data, has := "", "", false
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			answer.complete = err == io.EOF && line == "" && !has
			return
		}
		switch line = strings.TrimRight(line, "\r\n"); {
		case line == "" && has:
			if len(answer.events) == 0 {
				answer.first = time.Now()
			}
			answer.events = append(answer.events, data)
			answer.inOrder = answer.inOrder && id == strconv.Itoa(len(answer.events))
			id, data, has = "", "", false
		case strings.HasPrefix(line, "id: "):
			id = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			data, has = line[len("data: "):], true
		}
	}
}

// ask makes attempts until there is a final answer, within the request's time. It retries at another gateway after an answer
// that promises that the request has not run and, where the request can be repeated, after any failure.
func (caller *caller) ask(ctx context.Context, request request) (id string, answer answer) {
	until := time.Now().Add(request.timeout)
	gateway := rand.N(len(caller.gateways))
	for n := 1; ; n++ {
		left := time.Until(until)
		if left <= 0 || ctx.Err() != nil {
			return id, answer
		}
		id, answer = caller.send(ctx, caller.gateways[gateway], request, left)
		if answer.complete && answer.status/100 == 2 || answer.final() || n >= request.maxTries || !answer.notExecuted() && !request.attempt.repeatable {
			return id, answer
		}
		gateway = (gateway + 1) % len(caller.gateways)
		pause(ctx, min(max(answer.retryAfter, 20*time.Millisecond), time.Until(until)/3))
	}
}

// pause waits for a duration or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
