package sender

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

// response is the answer to a client.
type response struct {
	status      int
	retryAfter  time.Duration // Retry-After of a rejection, 0 for the default
	text        string
	contentType string // its Content-Type, "" for plain text
	messageID   string // the message's id, if the client did not choose it
}

// requestError is an error that is sent to the client as a response with its status and text.
type requestError struct {
	status int
	text   string
}

// Error returns the text of the response.
func (r *requestError) Error() string { return r.text }

// badRequest returns a requestError with status 400.
func badRequest(format string, args ...any) error {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// errHeaderTooLarge is the answer to a request with a head over maxHeaderBytes.
var errHeaderTooLarge = &requestError{http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("the head is over %d bytes", maxHeaderBytes)}

// reject answers a request that can't be processed, unless the connection has failed, and then reads further input for a short time:
// closing with unread input would send a reset, which may overtake the response.
func (s *server) reject(c *client, err error) {
	var r *requestError
	switch {
	case errors.As(err, &r):
	case errors.Is(err, os.ErrDeadlineExceeded):
		r = &requestError{http.StatusRequestTimeout, "the request does not come whole in time"}
	case errors.Is(err, io.ErrUnexpectedEOF):
		r = &requestError{http.StatusBadRequest, err.Error()}
	default:
		return
	}
	if !writeResponse(c, response{status: r.status, text: r.text}, true) {
		return
	}
	if tc, ok := c.Conn.(*net.TCPConn); ok {
		tc.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes))
}

// writeResponse writes a response; last announces that the connection closes after it. It reports whether the write succeeded.
func writeResponse(c *client, a response, last bool) bool {
	b := append(make([]byte, 0, 256), "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.status), 10)
	b = append(append(append(b, ' '), http.StatusText(a.status)...), "\r\n"...)
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	b = time.Now().UTC().AppendFormat(append(b, "Date: "...), http.TimeFormat)
	if a.status == http.StatusServiceUnavailable {
		if a.retryAfter <= 0 {
			a.retryAfter = defaultRetryAfter
		}
		b = strconv.AppendFloat(append(b, "\r\nRetry-After: "...), a.retryAfter.Seconds(), 'f', 3, 64)
	}
	if a.messageID != "" {
		b = append(append(b, "\r\nX-Request-Id: "...), a.messageID...)
	}
	if a.text == "" {
		b = append(b, "\r\nContent-Length: 0\r\n\r\n"...)
	} else {
		kind := a.contentType
		if kind == "" {
			kind = "text/plain; charset=utf-8"
		}
		b = append(append(append(b, "\r\nContent-Type: "...), kind...), "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(a.text)+1), 10)
		b = append(append(append(b, "\r\n\r\n"...), a.text...), '\n')
	}
	c.SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	_, err := c.Write(b)
	return err == nil
}
