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
	maxStatusLine     = 4 << 10                // bytes of a status line, and of a single read
	maxAnswer         = 128 << 10              // bytes of an answer: head, interim answers and body
	maxInterimAnswers = 16                     // before the final answer
	answerTimeout     = 200 * time.Millisecond // from the first byte of an answer to its last
	maxRateLimitWait  = time.Minute            // longest X-RateLimit-Wait-Ms; a longer one is ignored
	maxRate           = 1e6                    // calls a second in a load report; a higher figure makes the report unusable
)

// httpVersion is the beginning of a status line, up to the minor version.
const httpVersion = "HTTP/1."

var (
	// errAnswerTooLong means that an answer exceeds maxAnswer.
	errAnswerTooLong = errors.New("answer exceeds the size limit")
	// errMalformedAnswer means that an answer arrived that cannot be parsed: the call may have run.
	errMalformedAnswer = errors.New("malformed answer")
)

// readAnswer reads the answer to a call into result, and returns whether the connection can be reused and whether the endpoint
// wants no more calls. A 200 in a complete status line is valid whatever follows. Any other status is valid only if the
// complete answer is well-formed: a malformed answer may look like a rejection although the endpoint has run the call, so it
// proves only that the call may have run. Once the answer has begun, the rest must arrive within answerTimeout: an endless body
// or head must not occupy the slot and delay the outcome until the time-out.
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
		// An endpoint at its connection limit rejects the first call on a new connection without a wait or load report, and
		// closes the connection. An endpoint that has processed the call sends them.
		bare := result.Outcome == brain.Rejected && result.RetryAfter == 0 && !result.LimitReported
		result.ConnLimitReached = bare && c.idleSince.IsZero() && resp.Close
		gone := f.applyWebHookStatus(resp, result, time.Now())
		// Bytes after the answer would be read as the next answer.
		return !resp.Close && c.r.Buffered() == 0, gone, nil
	}
	return false, false, errMalformedAnswer
}

// malformed returns the error for an answer that is malformed after its status line; nil if the status line reported that the call
// was served.
func malformed(served bool) error {
	if served {
		return nil
	}
	return errMalformedAnswer
}

// readStatus waits for an answer and returns the status of its first line, without consuming the line. From the first byte on,
// the rest of the answer must arrive within answerTimeout. It returns at once if the bytes received can't become a status line,
// as the endpoint may send nothing more and keep the connection open.
func (c *conn) readStatus(ctx context.Context) (int, error) {
	deadline, _ := ctx.Deadline()
	c.SetReadDeadline(deadline)
	if err := ctx.Err(); err != nil {
		return 0, err // the cancellation may have set its deadline just before SetReadDeadline overwrote it
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
			// An incomplete line has no status: "HTTP/1.1 200" may also be the beginning of a malformed "2000", and a message
			// that is wrongly taken for delivered is lost. If the outcome is uncertain, the message is retried where its class
			// allows it.
			if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
				return 0, errMalformedAnswer
			}
			return 0, err
		}
	}
}

// parseStatus parses the status of a first line. It is stricter than http.ReadResponse, which accepts 2000 and 0200 for 200.
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

// applyStatus translates an answer in the platform's format (doc.go has the table). It ignores figures that no correct endpoint
// sends.
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

// parseLoadReport parses a load report, a list of name=value: x0 is the remaining fraction of the allowance, and x1 the rate limit
// in calls a second. If any figure is impossible the whole report is ignored, as the others are not reliable either.
func (p *Pool) parseLoadReport(text string) (remaining, limit float64, ok bool) {
	report := map[string]float64{}
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !slices.Contains(p.loadFields, name) {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= maxRate) { // also excludes NaN and infinity
			return 0, 0, false
		}
		report[name] = v
	}
	remaining, ok = report["x0"]
	return min(remaining, 1), report["x1"], ok
}
