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
		// The request arrived just as the wait ended, by its time-out or by an eviction: it must be answered.
		c.SetReadDeadline(time.Now().Add(requestTimeout))
		_, err = c.r.Peek(1)
	}
	return err == nil
}

// clientRequest is a request that has been received completely.
type clientRequest struct {
	head     *http.Request
	protocol ingressRequest // reads the submissions in the body; nil if the request submits nothing
	body     []byte
}

// readRequest reads one complete request. An invalid request is not processed any further; what is left unread of it is not parsed as
// another request, as the connection closes. Its error is a *requestError, which is sent to the client, or one of the connection.
func (s *server) readRequest(c *client) (*clientRequest, error) {
	head, err := http.ReadRequest(c.r)
	switch {
	case err == nil:
	case c.Remaining <= 0: // whatever error the parser reports for the truncated line
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
	// A client waits for its response before it sends more. Input behind the body therefore means that the
	// Content-Length is too small: the message would be delivered truncated.
	if c.r.Buffered() > 0 || !calls.IdleConnUsable(c.Conn) && !atEOF(c) {
		return nil, badRequest("more comes than the Content-Length says")
	}
	return r, nil
}

// checkHead returns an error if the head of a request is invalid, whatever its path.
func checkHead(head *http.Request, maxBody int64) error {
	switch {
	// Given both headers, net/http takes the length from one and drops the other. What a peer that honours the
	// other takes for the body would be read as the next request, and a message smuggled in there would be delivered.
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

// routeRequest lets the protocol of a request's path read its head, and returns an error if path or method are wrong. It returns nil
// for the paths that query the sender's state.
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

// readBody reads a complete body. Memory for a long one is allocated as it arrives, since the Content-Length may be false.
func readBody(r *http.Request) ([]byte, error) {
	const atOnce = 4 << 10
	if r.ContentLength > atOnce {
		return io.ReadAll(r.Body)
	}
	body := make([]byte, max(0, r.ContentLength))
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

// validHeaderNames reports whether all header names are tokens (RFC 9110, 5.1). net/http accepts others as different names, such as
// "Transfer-Encoding " with a trailing space, which another parser may take for the header itself.
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

// atEOF reports whether the connection has ended without further input: a client may close its sending side.
func atEOF(c *client) bool {
	_, err := c.r.Peek(1)
	return err != nil
}
