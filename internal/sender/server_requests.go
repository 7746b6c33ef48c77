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

// clientRequest is a request that has come whole.
type clientRequest struct {
	head     *http.Request
	protocol ingressRequest // by which it submits something; nil if it does not
	body     []byte
}

// readRequest reads one request whole. Nothing of a request that is not sound goes further than here; what it leaves unread is not
// read as a further request, as the connection closes. Its errors are a *requestError, which is answered, or of the connection.
func (s *server) readRequest(c *client) (*clientRequest, error) {
	head, err := http.ReadRequest(c.r)
	switch {
	case err == nil:
	case c.Remaining <= 0: // whatever the parser makes of a line that was cut there
		return nil, errHeaderTooLarge
	case errors.As(err, new(net.Error)):
		return nil, err
	default:
		return nil, badRequest("the request can't be read: %v", err)
	}
	protocol, maxBody := s.ingressByPath[head.URL.Path], int64(maxBodyBytes)
	if protocol != nil {
		maxBody = protocol.maxBody()
	}
	if err := checkHead(head, maxBody); err != nil {
		return nil, err
	}
	r := &clientRequest{head: head}
	if r.protocol, err = routeRequest(head, protocol); err != nil {
		return nil, err
	}
	if head.ContentLength > 0 && strings.EqualFold(head.Header.Get("Expect"), "100-continue") {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	c.Remaining = int(maxBody) + 1
	if r.body, err = readBody(head); err != nil {
		return nil, fmt.Errorf("the body does not come whole: %w", err)
	}
	// A client waits for its answer before it sends more. What stands behind a body of which the length is
	// wrong is the rest of it: the message would go out cut short.
	if c.r.Buffered() > 0 || !calls.IdleConnUsable(c.Conn) && !atEOF(c) {
		return nil, badRequest("more comes than the Content-Length says")
	}
	return r, nil
}

// checkHead says what of a request's head is not sound, whoever it is for.
func checkHead(head *http.Request, maxBody int64) error {
	switch {
	// net/http takes the length from the one and forgets the other: what a peer that heeds the other took
	// for the body would be read as the next request, and a message hidden there would be sent on.
	case len(head.TransferEncoding) > 0 || head.Header.Get("Transfer-Encoding") != "":
		return badRequest("requests come with a Content-Length, not with a Transfer-Encoding")
	case !validHeaderNames(head.Header):
		return badRequest("a header's name is not a word")
	case head.Host == "" && head.ProtoAtLeast(1, 1):
		return badRequest("Host is missing")
	case head.ContentLength > maxBody:
		return &requestError{http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is over %d bytes", maxBody)}
	}
	return nil
}

// routeRequest has the protocol of a request's path read its head, and says what is wrong with one that is for none; nil for the paths
// that ask for the sender's state.
func routeRequest(head *http.Request, protocol ingress) (ingressRequest, error) {
	path := head.URL.Path
	switch {
	case protocol != nil && head.Method == http.MethodPost:
		return protocol.readHead(head)
	case protocol != nil:
		return nil, &requestError{http.StatusMethodNotAllowed, "messages are handed in with POST"}
	case path != readyPath && path != healthPath:
		return nil, &requestError{http.StatusNotFound, "there is nothing here"}
	case head.Method != http.MethodGet:
		return nil, &requestError{http.StatusMethodNotAllowed, "this is asked with GET"}
	}
	return nil, nil
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
