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

const (
	maxAnswerBody     = 64 << 10               // bytes of a body that are read so that the connection can be used again
	maxStatusLine     = 4 << 10                // bytes of a status line, and of what is read at once
	maxAnswer         = 128 << 10              // bytes of an answer: head, interim answers and body
	maxInterimAnswers = 16                     // ahead of the final one
	answerTimeout     = 200 * time.Millisecond // from the first byte of an answer to its last
	maxRateLimitWait  = time.Minute            // longest X-RateLimit-Wait-Ms; what is beyond counts as not told
	maxRate           = 1e6                    // calls a second in a load report; what is beyond makes it unusable
)

// httpVersion is what a status line begins with, up to the minor version.
const httpVersion = "HTTP/1."

var (
	// errAnswerTooLong says that an answer exceeds maxAnswer.
	errAnswerTooLong = errors.New("the answer is too long")
	// errMalformedAnswer says that an answer has come that cannot be read: the call may have run.
	errMalformedAnswer = errors.New("the answer can't be read")
)

// readAnswer reads the answer to a call into end, and returns whether the connection can be used again and whether the
// endpoint wants no more calls. A 200 in a complete status line holds whatever follows. Any other status holds only if
// the whole answer is sound: a malformed one, which comes from an endpoint that has run the call, may read as a
// rejection, and says nothing but that the call may have run. Once the answer has begun, the rest gets answerTimeout: a
// body that keeps coming, or a head without end, must not hold the slot and the outcome until the time-out.
func (p *Pool) readAnswer(ctx context.Context, c *conn, f *requestFormat, result *brain.AttemptResult) (reusable, gone bool, err error) {
	c.Remaining = maxAnswer
	for range maxInterimAnswers {
		status, err := c.readStatus(ctx)
		if err != nil {
			return false, false, err
		}
		served := f.isDelivered(status)
		if served {
			result.Outcome, result.Final = brain.Served, true
		}
		resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
		if err != nil || status == http.StatusSwitchingProtocols { // no switch was requested
			return false, false, malformed(served)
		}
		if status < 200 {
			continue
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBody+1))
		if err != nil || n > maxAnswerBody {
			return false, false, malformed(served)
		}
		p.applyStatus(resp, result)
		// An endpoint that takes no more connections rejects the first call on a new one without any figures, and closes
		// it; one that has looked at the call tells how it stands.
		bare := result.Outcome == brain.Rejected && result.RetryAfter == 0 && !result.LimitReported
		result.ConnLimitReached = bare && c.idleSince.IsZero() && resp.Close
		gone := f.applyWebHookStatus(resp, result, time.Now())
		// What follows the answer would be read as the next one.
		return !resp.Close && c.r.Buffered() == 0, gone, nil
	}
	return false, false, errMalformedAnswer
}

// malformed is the error of an answer that is malformed after its status line: none if that said that it was served.
func malformed(served bool) error {
	if served {
		return nil
	}
	return errMalformedAnswer
}

// readStatus waits for an answer and returns the status of its first line, which is left to be read. From its first byte
// on the rest of the answer has answerTimeout. What can't become a status line is not waited for: after noise the
// connection may stay open and silent.
func (c *conn) readStatus(ctx context.Context) (int, error) {
	deadline, _ := ctx.Deadline()
	c.SetReadDeadline(deadline)
	if err := ctx.Err(); err != nil {
		return 0, err // its end may have set the deadline just before this did
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
		n := min(len(line), len(httpVersion))
		switch {
		case i >= 0 && ok:
			return status, nil
		case i >= 0 || len(line) >= maxStatusLine || string(line[:n]) != httpVersion[:n]:
			return 0, errMalformedAnswer
		}
		if _, err := c.r.Peek(len(line) + 1); err != nil {
			// Half a line has no status, whatever it begins with: "HTTP/1.1 200" may be the beginning of a malformed "2000" as
			// well, and a message that is wrongly taken for delivered is lost. An uncertain one is repeated where its class
			// allows it.
			if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
				return 0, errMalformedAnswer
			}
			return 0, err
		}
	}
}

// parseStatus reads the status of a first line. http.ReadResponse takes 2000 and 0200 for 200.
func parseStatus(line []byte) (int, bool) {
	rest, ok := bytes.CutPrefix(line, []byte(httpVersion))
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

// applyStatus translates an answer of the platform (doc.go has the table). Figures that no sound endpoint sends count as
// not told.
func (p *Pool) applyStatus(resp *http.Response, result *brain.AttemptResult) {
	switch resp.StatusCode {
	case http.StatusOK:
		result.Outcome, result.Final = brain.Served, true
	case http.StatusTooManyRequests:
		result.Outcome = brain.Rejected
		if ms, err := strconv.ParseFloat(resp.Header.Get("X-RateLimit-Wait-Ms"), 64); err == nil && ms > 0 && ms <= float64(maxRateLimitWait.Milliseconds()) {
			result.RetryAfter = time.Duration(ms * float64(time.Millisecond))
		}
	case http.StatusServiceUnavailable:
		result.Outcome = brain.Rejected
		if resp.Header.Get("X-Over-Slots") == "1" {
			result.Outcome = brain.NotSent
		}
	case http.StatusGatewayTimeout:
		result.Outcome = brain.NotSent
	case http.StatusGone:
		result.Outcome, result.Final = brain.NotSent, true
	default:
		result.Outcome = brain.Errored
	}
	result.Remaining, result.Limit, result.LimitReported = p.parseLoadReport(resp.Header.Get("X-Load"))
}

// parseLoadReport reads a load report: a list of name=value, of which x0 is the share of the allowance that is left and
// x1 the rate limit in calls a second. If any figure is impossible there is no report: the others are as doubtful.
func (p *Pool) parseLoadReport(text string) (remaining, limit float64, ok bool) {
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
	remaining, ok = report["x0"]
	return min(remaining, 1), report["x1"], ok
}
