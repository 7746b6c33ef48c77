package calls

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"saffronyard.example/saffronyard/brain"
)

// addAllowedRate adds the rate that an endpoint allows to a call's end, which has no figures of its own: the module decides
// what it makes of that.
func (e *Endpoint) addAllowedRate(f *requestFormat, end *brain.AttemptResult) {
	if !f.Validate || end.LimitReported {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.allowedRate > 0 {
		end.LimitReported, end.Remaining, end.Limit = true, 1, e.allowedRate
	}
}

const (
	maxAnswerBody    = 64 << 10               // bytes of an answer that are read so that the connection serves again
	maxStatusLine    = 4 << 10                // bytes of a status line, and of what is read at once
	maxAnswer        = 128 << 10              // bytes of an answer: head, interim answers and body
	maxInterim       = 16                     // interim answers ahead of one
	answerTimeout    = 200 * time.Millisecond // what follows an answer's first byte comes within this
	maxRateLimitWait = time.Minute            // no endpoint is told to be left alone for longer
	maxRate          = 1e6                    // calls a second that a destination may take
)

var (
	errAnswerTooLong   = errors.New("the answer is too long")
	errMalformedAnswer = errors.New("the answer can't be read")
)

// readAnswer reads the answer to a call and says how the call ended, and whether the connection is of further
// use. A 200 in a first line that has come whole is true whatever follows. Any other status holds only if the answer is sound
// as a whole: a spoilt one, which comes from an endpoint that has run the call, may read as a refusal, and
// says nothing but that the call may have run. Once it has begun, the rest gets restTime: a body that keeps
// coming, or a head without end, must not hold the slot and the outcome until the time-out.
func (p *Pool) readAnswer(ctx context.Context, c *conn, f *requestFormat, end *brain.AttemptResult) (reusable, gone bool, err error) {
	c.Remaining = maxAnswer
	for range maxInterim {
		status, err := c.readStatus(ctx)
		if err != nil {
			return false, false, err
		}
		served := f.isDelivered(status)
		if served {
			end.Outcome, end.Final = brain.Served, true
		}
		resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
		if err != nil || status == http.StatusSwitchingProtocols { // the latter nobody asked for
			return false, false, malformed(served)
		}
		if status < 200 {
			continue
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBody+1))
		if err != nil || n > maxAnswerBody {
			return false, false, malformed(served)
		}
		p.applyStatus(resp, end)
		// An endpoint with no room for a connection answers the first call on it so, and ends it; one that has looked
		// at the call tells how it stands.
		end.ConnLimitReached = c.idleSince.IsZero() && resp.Close && end.Outcome == brain.Rejected && end.RetryAfter == 0 && !end.LimitReported
		gone := f.applyWebHookStatus(resp, end, time.Now())
		// What stands behind an answer would be read as the next one.
		return !resp.Close && c.r.Buffered() == 0, gone, nil
	}
	return false, false, errMalformedAnswer
}

// malformed is what becomes of an answer that goes wrong behind its status line.
func malformed(served bool) error {
	if served {
		return nil
	}
	return errMalformedAnswer
}

// readStatus waits for an answer and looks at its first line, which is left to be read. From its first byte on
// the rest of the answer has restTime. What can't become a status line is not waited for: behind noise the
// connection may stay open and silent.
func (c *conn) readStatus(ctx context.Context) (int, error) {
	deadline, _ := ctx.Deadline()
	c.SetReadDeadline(deadline)
	if err := ctx.Err(); err != nil {
		return 0, err // its end may have set the deadline just before we did
	}
	if _, err := c.r.Peek(1); err != nil {
		return 0, err
	}
	c.SetReadDeadline(time.Now().Add(answerTimeout))
	for {
		line, _ := c.r.Peek(c.r.Buffered())
		i := bytes.IndexByte(line, '\n')
		if i >= 0 {
			line = line[:i]
		}
		status, ok := parseStatus(line)
		const begin = "HTTP/1."
		n := min(len(line), len(begin))
		switch {
		case i >= 0 && ok:
			return status, nil
		case i >= 0 || len(line) >= maxStatusLine || string(line[:n]) != begin[:n]:
			return 0, errMalformedAnswer
		}
		if _, err := c.r.Peek(len(line) + 1); err != nil {
			// Half a line tells no status, whatever it begins with: "HTTP/1.1 200" may be that of a spoilt "2000" as well, and a
			// message that was taken for delivered is lost. Doubted, it has its end: a repeat where its class allows one.
			if waited := net.Error(nil); errors.As(err, &waited) && waited.Timeout() {
				return 0, errMalformedAnswer
			}
			return 0, err
		}
	}
}

// parseStatus reads the status of a first line. The parser proper takes 2000 and 0200 for 200.
func parseStatus(line []byte) (int, bool) {
	rest, ok := bytes.CutPrefix(line, []byte("HTTP/1."))
	if !ok || len(rest) < 5 || rest[0] != '0' && rest[0] != '1' || rest[1] != ' ' {
		return 0, false
	}
	code, more := rest[2:5], rest[5:]
	if len(more) > 0 && more[0] != ' ' && more[0] != '\r' {
		return 0, false
	}
	n, err := strconv.ParseUint(string(code), 10, 16)
	return int(n), err == nil && n >= 100
}

// applyStatus translates an answer. Figures that no sound endpoint sends count as not told.
func (p *Pool) applyStatus(resp *http.Response, end *brain.AttemptResult) {
	switch resp.StatusCode {
	case http.StatusOK:
		end.Outcome, end.Final = brain.Served, true
	case http.StatusTooManyRequests:
		end.Outcome = brain.Rejected
		if ms, err := strconv.ParseFloat(resp.Header.Get("X-RateLimit-Wait-Ms"), 64); err == nil && ms > 0 && ms <= float64(maxRateLimitWait.Milliseconds()) {
			end.RetryAfter = time.Duration(ms * float64(time.Millisecond))
		}
	case http.StatusServiceUnavailable:
		end.Outcome = brain.Rejected
		if resp.Header.Get("X-Over-Slots") == "1" {
			end.Outcome = brain.NotSent
		}
	case http.StatusGatewayTimeout:
		end.Outcome = brain.NotSent
	case http.StatusGone:
		end.Outcome, end.Final = brain.NotSent, true
	default:
		end.Outcome = brain.Errored
	}
	end.Remaining, end.Limit, end.LimitReported = p.parseLoadReport(resp.Header.Get("X-Load"))
}

// parseLoadReport reads a load report. One with a figure that can't be is no report: the others are as doubtful.
func (p *Pool) parseLoadReport(text string) (left, limit float64, ok bool) {
	report := map[string]float64{}
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !slices.Contains(p.loadFields, name) {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= maxRate) { // neither NaN nor infinite, too
			return 0, 0, false
		}
		report[name] = v
	}
	left, ok = report["x0"]
	return min(left, 1), report["x1"], ok
}
