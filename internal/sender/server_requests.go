package sender

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/calls"
)

// awaitRequest waits for a request's first byte; false if none comes.
func (s *server) awaitRequest(c *client) bool {
	_, err := c.r.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && !calls.IdleConnUsable(c.Conn) {
		// It came just as the wait ended, by itself or as the connection was asked to go: it is owed an answer.
		c.SetReadDeadline(time.Now().Add(requestTimeout))
		_, err = c.r.Peek(1)
	}
	return err == nil
}

// readRequest reads one request whole, and by which protocol it submits something, nil if it does not. Nothing of a request
// that is not sound goes further than here; what it leaves unread is not read as a further request, as the connection closes.
// Its errors are a *requestError, which is answered, or of the connection.
func (s *server) readRequest(c *client) (*http.Request, ingressRequest, []byte, error) {
	r, err := http.ReadRequest(c.r)
	var f ingress
	most := int64(maxBodyBytes)
	if err == nil {
		if f = s.ingressByPath[r.URL.Path]; f != nil {
			most = f.maxBody()
		}
	}
	switch {
	case err != nil && c.Remaining <= 0: // whatever the parser makes of a line that was cut there
		return nil, nil, nil, errHeaderTooLarge
	case err != nil && errors.As(err, new(net.Error)):
		return nil, nil, nil, err
	case err != nil:
		return nil, nil, nil, badRequest("the request can't be read: %v", err)
	// net/http takes the length from the one and forgets the other: what a peer that heeds the other took
	// for the body would be read as the next request, and a message hidden there would be sent on.
	case len(r.TransferEncoding) > 0 || r.Header.Get("Transfer-Encoding") != "":
		return nil, nil, nil, badRequest("requests come with a Content-Length, not with a Transfer-Encoding")
	case !validHeaderNames(r.Header):
		return nil, nil, nil, badRequest("a header's name is not a word")
	case r.Host == "" && r.ProtoAtLeast(1, 1):
		return nil, nil, nil, badRequest("Host is missing")
	case r.ContentLength > most:
		return nil, nil, nil, &requestError{http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is over %d bytes", most)}
	}
	var hand ingressRequest
	switch path := r.URL.Path; {
	case f != nil && r.Method == http.MethodPost:
		if hand, err = f.readHead(r); err != nil {
			return nil, nil, nil, err
		}
	case f != nil:
		return nil, nil, nil, &requestError{http.StatusMethodNotAllowed, "messages are handed in with POST"}
	case path != readyPath && path != healthPath:
		return nil, nil, nil, &requestError{http.StatusNotFound, "there is nothing here"}
	case r.Method != http.MethodGet:
		return nil, nil, nil, &requestError{http.StatusMethodNotAllowed, "this is asked with GET"}
	}
	if r.ContentLength > 0 && strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, nil, err
		}
	}
	c.Remaining = int(most) + 1
	body, err := readBody(r)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("the body does not come whole: %w", err)
	}
	// A client waits for its answer before it sends more. What stands behind a body of which the length is
	// wrong is the rest of it: the message would go out cut short.
	if c.r.Buffered() > 0 || !calls.IdleConnUsable(c.Conn) && !atEOF(c) {
		return nil, nil, nil, badRequest("more comes than the Content-Length says")
	}
	return r, hand, body, nil
}

// readBody reads a body whole. A long one gets its memory as it comes, since its length is only said.
func readBody(r *http.Request) ([]byte, error) {
	const atOnce = 4 << 10
	if r.ContentLength > atOnce {
		return io.ReadAll(r.Body)
	}
	body := make([]byte, max(0, r.ContentLength))
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

// validHeaderNames reports whether all header names are tokens (RFC 9110, 5.1). The parser lets others pass under a name of
// their own, such as "Transfer-Encoding " with a blank, which another reader may take for the header itself.
func validHeaderNames(h http.Header) bool {
	for name := range h {
		for _, c := range []byte(name) {
			if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
				return false
			}
		}
	}
	return true
}

// atEOF reports whether nothing but the end of the connection has come: a client may end its sending.
func atEOF(c *client) bool {
	_, err := c.r.Peek(1)
	return err != nil
}
