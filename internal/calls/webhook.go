package calls

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"saffronyard.example/saffronyard/brain"
)

// This file implements HTTP 1.1 Web Hooks for Event Delivery (CloudEvents): the answers of an endpoint, and the validation
// handshake by which it allows calls. Section numbers are those of that specification.

// maxRetryAfter is the longest Retry-After accepted from a web hook; a longer one is ignored.
const maxRetryAfter = 24 * time.Hour

// validationTimeout bounds a validation request and its answer.
const validationTimeout = 2 * time.Second

// errOriginNotAllowed means that an endpoint does not allow calls from the configured origin.
var errOriginNotAllowed = errors.New("endpoint does not allow calls from the configured origin")

// applyWebHookStatus translates statuses whose meaning for web hooks differs from the platform's. gone is true if the endpoint
// wants no more calls.
func (f *requestFormat) applyWebHookStatus(resp *http.Response, result *brain.AttemptResult, now time.Time) (gone bool) {
	if f.plain {
		return false
	}
	switch {
	case f.isDelivered(resp.StatusCode):
		result.Outcome, result.Final = brain.Served, true
	case resp.StatusCode == http.StatusGone: // the endpoint wants no more calls; the message may be sent to another one
		result.Outcome, result.Final = brain.NotSent, false
		return true
	case result.Outcome == brain.Rejected && result.RetryAfter == 0:
		result.RetryAfter = retryAfter(resp.Header.Get("Retry-After"), now)
	}
	return false
}

// retryAfter parses a Retry-After header (RFC 9110, section 10.2.3): seconds, or a date. It returns 0 if there is no usable value.
func retryAfter(text string, now time.Time) time.Duration {
	var d time.Duration
	if s, err := strconv.ParseFloat(text, 64); err == nil {
		if !(s > 0 && s <= maxRetryAfter.Seconds()) {
			return 0
		}
		d = time.Duration(math.Ceil(s*1000)) * time.Millisecond
	} else if at, err := http.ParseTime(text); err == nil {
		d = at.Sub(now)
	}
	if d <= 0 || d > maxRetryAfter {
		return 0
	}
	return d
}

// addAllowedRate adds the rate that an endpoint allowed in its validation to a result without a load report. The Brain decides
// how to use it.
func (e *Endpoint) addAllowedRate(f *requestFormat, result *brain.AttemptResult) {
	if !f.Validate || result.LimitReported {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.allowedRate > 0 {
		result.LimitReported, result.Remaining, result.Limit = true, 1, e.allowedRate
	}
}

// validate asks an endpoint, before the first call, whether it allows calls from the configured origin and at what rate
// (section 4). Only one call at a time sends the request; the others wait for its result. After an error no call may be made,
// and nothing of the message has been written.
func (p *Pool) validate(ctx context.Context, e *Endpoint, f *requestFormat, until time.Time) error {
	if !f.Validate {
		return nil
	}
	select {
	case e.validating <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-e.validating }()
	e.mu.Lock()
	addr, done := e.addr, e.validatedAddr == e.addr && e.addr != ""
	e.mu.Unlock()
	if done {
		return nil
	}
	c, err := p.acquire(ctx, e, until)
	if err != nil {
		return err
	}
	rate, reusable, err := c.requestPermission(ctx, f, until)
	if err != nil {
		c.Close()
		return err
	}
	e.mu.Lock()
	if e.addr == addr {
		e.validatedAddr, e.allowedRate = addr, rate
	}
	e.mu.Unlock()
	if reusable {
		p.release(e, c)
	} else {
		c.Close()
	}
	return nil
}

// requestPermission makes the validation request. It returns the rate that the endpoint allows, in calls a second (0 if
// it states none), and whether the connection can be reused.
func (c *conn) requestPermission(ctx context.Context, f *requestFormat, until time.Time) (rate float64, reusable bool, err error) {
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	request := f.appendValidation(make([]byte, 0, 256), c.addr)
	c.SetDeadline(time.Now().Add(min(validationTimeout, time.Until(until))))
	if ctx.Err() != nil {
		return 0, false, ctx.Err()
	}
	if _, err := c.Write(request); err != nil {
		return 0, false, fmt.Errorf("validation: %w", err)
	}
	c.Remaining = maxAnswer
	resp, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodOptions})
	if err != nil {
		return 0, false, fmt.Errorf("validation: %w", err)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBody+1))
	if err != nil || n > maxAnswerBody {
		return 0, false, fmt.Errorf("validation: %w", errMalformedAnswer)
	}
	if rate, err = f.permittedRate(resp); err != nil {
		return 0, false, err
	}
	if !stop() {
		return 0, false, ctx.Err()
	}
	c.SetDeadline(time.Time{})
	return rate, !resp.Close && c.r.Buffered() == 0, nil
}

// appendValidation appends a validation request (section 4.1).
func (f *requestFormat) appendValidation(b []byte, addr string) []byte {
	b = append(append(append(b, "OPTIONS "...), f.path...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, addr...), "\r\nUser-Agent: saffronyard\r\nWebHook-Request-Origin: "...)
	b = append(append(b, f.Origin...), "\r\n"...)
	if f.Rate > 0 {
		b = append(strconv.AppendInt(append(b, "WebHook-Request-Rate: "...), int64(f.Rate), 10), "\r\n"...)
	}
	return append(b, "Content-Length: 0\r\n\r\n"...)
}

// permittedRate evaluates the answer to a validation request. It returns the allowed rate in calls a second, 0 if none is stated,
// or errOriginNotAllowed.
func (f *requestFormat) permittedRate(resp *http.Response) (float64, error) {
	if resp.StatusCode/100 != 2 {
		return 0, fmt.Errorf("%w: %s", errOriginNotAllowed, resp.Status)
	}
	origins := resp.Header.Values("WebHook-Allowed-Origin")
	if len(origins) != 1 || origins[0] != "*" && !strings.EqualFold(origins[0], f.Origin) {
		return 0, fmt.Errorf("%w: the allowed origin is %q", errOriginNotAllowed, origins)
	}
	text := resp.Header.Get("WebHook-Allowed-Rate")
	if text == "" || text == "*" {
		return 0, nil
	}
	// Requests a minute (section 4.2.2). An invalid rate is ignored.
	perMinute, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, nil
	}
	return float64(perMinute) / 60, nil
}
