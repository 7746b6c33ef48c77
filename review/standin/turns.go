package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// turn is one try of a client to have a turn run, and its answer.
type turn struct {
	attempt, previous, program, input string

	status   int
	body     string
	complete bool
	err      error
	sent     time.Time
	took     time.Duration
}

// maxTurnTokens is the most that a turn generates, the second number of X-Token-Usage.
const maxTurnTokens = 20

// do sends the turn to a gateway over a new connection and reads its answer. It gives up after the silence that ends a client's patience on
// the route: eight times gap_aim_ms, 3.2 s.
func (q *turn) do(address string) {
	q.sent = time.Now()
	defer func() { q.took = time.Since(q.sent) }()
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, ResponseHeaderTimeout: clientPatience}}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/turn/x", strings.NewReader(q.input))
	if err != nil {
		q.err = err
		return
	}
	request.Host = host
	for name, value := range map[string]string{"X-Attempt-Id": q.attempt, "Program": q.program, "Session": "s", "X-Model": "m", "X-Deadline-Ms": "6000",
		"X-Token-Usage": fmt.Sprintf("%d,%d", len(q.input), maxTurnTokens)} {
		request.Header.Set(name, value)
	}
	if q.previous != "" {
		request.Header.Set("Previous", q.previous)
	}
	response, err := client.Do(request)
	if err != nil {
		q.err = err
		return
	}
	defer response.Body.Close()
	q.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	q.body, q.err = string(body), err
	q.complete = err == nil && q.status == http.StatusOK
}

// clientPatience is how long a client waits for the first event of a turn.
const clientPatience = 3200 * time.Millisecond

// String describes the turn and its answer.
func (q *turn) String() string {
	return fmt.Sprintf("turn %s (Previous %q) answered %d %q after %v, whole %v, error %v", q.attempt, q.previous, q.status, firstLine(q.body), q.took.Round(time.Millisecond), q.complete, q.err)
}

// firstLine returns the first line of a body.
func firstLine(body string) string {
	line, _, _ := strings.Cut(body, "\n")
	return line
}
