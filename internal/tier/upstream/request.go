package upstream

import (
	"net"
	"strconv"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/tier/http1"
)

// Request is a request as the client sent it, with what the gateway adds.
type Request struct {
	Method        string
	Target        string // path and query, exactly as received
	Host          string
	Header        http1.Header // in the order received, without hop-by-hop fields
	AttemptID     string       // X-Attempt-Id; empty: there was none
	Body          [][]byte
	Deadline      time.Time // the time until then is sent as X-Deadline-Ms; zero: none
	Priority      int       // 0 to 9; below 0: the client's own field is forwarded
	ForceStream   bool      // a success is a Stream, whatever its type
	LastEventID   string    // event ids must follow this one (IDIncreases); empty: any
	Turn          bool      // the request is a turn of a program
	AllowUnsigned bool      // a success needs no X-Response-Signature, as for health checks and reports

	// Permit is called just before the first byte is written; false: the call ends as NotSent. Nil: always permitted.
	Permit func() bool
}

const maxCopiedBody = 32 << 10 // bytes of a body that are copied after the head, so that one write sends both

// rewritten reports whether a client's field is not forwarded: the gateway handles it or writes its own, or it is hop-by-hop.
func (request *Request) rewritten(name string) bool {
	switch len(name) {
	case 4:
		return strings.EqualFold(name, "Host")
	case 6:
		return strings.EqualFold(name, "Expect")
	case 8:
		return request.Priority >= 0 && strings.EqualFold(name, "Priority")
	case 12:
		return strings.EqualFold(name, "X-Attempt-Id")
	case 13:
		return strings.EqualFold(name, "X-Deadline-Ms")
	case 17:
		return strings.EqualFold(name, "X-Target-Instance") || http1.IsHopByHop(name)
	}
	return http1.IsHopByHop(name)
}

// valid reports whether no part of the request contains characters that an endpoint could read as the end of a line (request smuggling).
func (request *Request) valid(target Target) bool {
	if !http1.IsToken(request.Method) || request.Target == "" || !http1.IsFieldValue(request.Host) || !http1.IsFieldValue(request.AttemptID) || !http1.IsFieldValue(target.Instance) {
		return false
	}
	for i := range len(request.Target) {
		if c := request.Target[i]; c <= ' ' || c == 0x7f {
			return false
		}
	}
	for _, f := range request.Header {
		if !http1.IsToken(f.Name) || !http1.IsFieldValue(f.Value) {
			return false
		}
	}
	return true
}

// appendHead appends the head. size is the length of the body in bytes.
func (request *Request) appendHead(b []byte, target Target, size int, now time.Time) []byte {
	b = append(append(append(append(b, request.Method...), ' '), request.Target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, request.Host...), "\r\n"...)
	for _, f := range request.Header {
		if !request.rewritten(f.Name) {
			b = http1.AppendField(b, f.Name, f.Value)
		}
	}
	if request.AttemptID != "" {
		b = http1.AppendField(b, "X-Attempt-Id", request.AttemptID)
	}
	if !request.Deadline.IsZero() {
		b = strconv.AppendInt(append(b, "X-Deadline-Ms: "...), max(1, request.Deadline.Sub(now).Milliseconds()), 10)
		b = append(b, "\r\n"...)
	}
	if target.Instance != "" {
		b = http1.AppendField(b, "X-Target-Instance", target.Instance)
	}
	if request.Priority >= 0 {
		b = strconv.AppendInt(append(b, "Priority: "...), int64(request.Priority), 10)
		b = append(b, "\r\n"...)
	}
	if size > 0 || request.Method != "GET" && request.Method != "HEAD" {
		b = strconv.AppendInt(append(b, "Content-Length: "...), int64(size), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// write writes a request. It returns how many bytes the kernel accepted, and the buffer of the head, which may have grown.
func write(c net.Conn, head []byte, body [][]byte, size int) (int64, []byte, error) {
	if size <= maxCopiedBody {
		for _, part := range body {
			head = append(head, part...)
		}
		n, err := c.Write(head)
		return int64(n), head, err
	}
	parts := make(net.Buffers, 0, 1+len(body))
	parts = append(append(parts, head), body...)
	n, err := parts.WriteTo(c)
	return n, head, err
}
