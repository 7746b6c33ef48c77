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

// answer is what a client had of one try; status 0: nothing that is an answer.
type answer struct {
	status     int
	signature  string
	retryAfter time.Duration
	body       string   // of a call
	events     []string // of a turn: their data
	inOrder    bool     // ids rise from 1 by one
	whole      bool     // it came to its end
	first      time.Time
}

// promised: it has not run and never will.
func (a answer) promised() bool {
	return a.status == 408 || a.status == 421 || a.status == 429 || a.status == 503
}

// final: the same again would get the same.
func (a answer) final() bool {
	return a.status == 400 || a.status == 401 || a.status == 402 || a.status == 403 || a.status == 404 || a.status == 410 || a.status == 413
}

// caller sends the requests of programs to gateways.
type caller struct {
	witness  *witness
	client   *http.Client
	gateways []string
	host     string
}

func newCaller(w *witness, gateways []string) *caller {
	dial := &net.Dialer{Timeout: time.Second}
	return &caller{witness: w, gateways: gateways, host: routeHost, client: &http.Client{
		Transport: &http.Transport{DialContext: dial.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 32},
	}}
}

func (c *caller) end() { c.client.CloseIdleConnections() }

// request is what is sent again and again, each time with another id.
type request struct {
	path    string
	header  map[string]string
	try     try // without its id
	timeout time.Duration
	tries   int // most, of those that end with a promise, or can be repeated
}

// send makes one try at a gateway.
func (c *caller) send(ctx context.Context, gateway string, r request, left time.Duration) (id string, a answer) {
	t := r.try
	t.path = r.path
	t.id = strconv.FormatUint(rand.Uint64()|1<<63, 16)
	c.witness.sent(t)
	defer func() { c.witness.got(t.id, a) }()
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	// With POST, the client of the standard library does not send one again by itself after it was written.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+r.path, strings.NewReader(t.input))
	if err != nil {
		return t.id, a
	}
	req.Host = c.host
	req.Header.Set("X-Attempt-Id", t.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	for k, v := range r.header {
		req.Header.Set(k, v)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return t.id, a
	}
	defer resp.Body.Close()
	a.status, a.signature = resp.StatusCode, resp.Header.Get("X-Response-Signature")
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	if t.program != nil && a.status == http.StatusOK {
		a.read(resp.Body)
		return t.id, a
	}
	body, err := io.ReadAll(resp.Body)
	a.body, a.whole, a.first = string(body), err == nil, time.Now()
	return t.id, a
}

// read takes a stream of events in, to its end.
func (a *answer) read(body io.Reader) {
	a.inOrder = true
	lines := bufio.NewReader(body)
	id, data, has := "", "", false
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			a.whole = err == io.EOF && line == "" && !has
			return
		}
		switch line = strings.TrimRight(line, "\r\n"); {
		case line == "" && has:
			if len(a.events) == 0 {
				a.first = time.Now()
			}
			a.events = append(a.events, data)
			a.inOrder = a.inOrder && id == strconv.Itoa(len(a.events))
			id, data, has = "", "", false
		case strings.HasPrefix(line, "id: "):
			id = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			data, has = line[len("data: "):], true
		}
	}
}

// ask tries until there is an answer that stands, within the request's time: after a promise, and where it can be repeated,
// after any failure, at another gateway.
func (c *caller) ask(ctx context.Context, r request) (id string, a answer) {
	until := time.Now().Add(r.timeout)
	at := rand.N(len(c.gateways))
	for n := 1; ; n++ {
		left := time.Until(until)
		if left <= 0 || ctx.Err() != nil {
			return id, a
		}
		id, a = c.send(ctx, c.gateways[at], r, left)
		if a.whole && a.status/100 == 2 || a.final() || n >= r.tries || !a.promised() && !r.try.repeatable {
			return id, a
		}
		at = (at + 1) % len(c.gateways)
		pause(ctx, min(max(a.retryAfter, 20*time.Millisecond), time.Until(until)/3))
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
