package upstream

import (
	"bufio"
	"errors"
	"math"
	"strconv"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/tier/http1"
)

const (
	maxHeadBytes        = 16 << 10 // bytes of a head
	maxHeadFields       = 100      // lines of a head
	maxInterimResponses = 4        // 1xx ahead of a response
	maxStaleResponses   = 3        // responses to earlier requests that are skipped
	maxContentLength    = 1 << 40  // largest Content-Length
)

// Load is what an endpoint reports in X-Instance-Load.
type Load struct {
	Running int // requests being executed
	Waiting int // requests in its queue
	Slots   int // requests that may be executed at once
}

// Response is the head of an endpoint's response.
type Response struct {
	Status        int
	Reason        string
	Header        http1.Header // without hop-by-hop and framing fields
	Length        int64        // Content-Length; -1: there was none
	AttemptID     string
	Signature     string // X-Response-Signature
	NotExecuted   bool   // X-Not-Executed
	IsEventStream bool   // the body is text/event-stream
	RetryAfter    time.Duration
	Load          Load
	HasLoad       bool   // the endpoint reported Load
	Versions      string // of the model weights, as reported

	closesConnection bool // no further response follows on the connection
	explicitClose    bool // closesConnection was set by Connection: close
	chunked          bool
	encoded          bool
	keepAlive        time.Duration
}

// readHead reads one complete head into scratch, which it returns for reuse. The error is errMalformed if the bytes read are not a
// valid head; any other error is the connection's.
func readHead(reader *bufio.Reader, scratch []byte) (*Response, []byte, error) {
	head := scratch[:0]
	// Bytes that can't begin a status line are rejected without waiting for more: the connection may stay open and send nothing else.
	if _, err := reader.Peek(1); err != nil {
		return nil, head, err
	}
	if first, _ := reader.Peek(reader.Buffered()); !mayBeStatusLine(first) {
		return nil, head, errMalformed
	}
	for {
		line, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, head, errMalformed
		}
		if len(head) == 0 && !mayBeStatusLine(line) {
			return nil, head, errMalformed // takes precedence over an error of the connection
		}
		if err != nil {
			return nil, head, err
		}
		if len(line) < 2 || line[len(line)-2] != '\r' || len(head)+len(line) > maxHeadBytes {
			return nil, head, errMalformed
		}
		head = append(head, line...)
		if len(line) == 2 {
			break
		}
	}
	response, ok := parseHead(string(head))
	if !ok {
		return nil, head, errMalformed
	}
	return response, head, nil
}

// mayBeStatusLine reports whether a line may be the beginning of a status line.
func mayBeStatusLine(line []byte) bool {
	const begin = "HTTP/1."
	n := min(len(line), len(begin))
	return string(line[:n]) == begin[:n]
}

// parseHead parses a head: lines that end with CRLF, the last of them empty.
func parseHead(head string) (*Response, bool) {
	line, head, _ := strings.Cut(head, "\r\n")
	if len(line) < 12 || line[7] != '0' && line[7] != '1' || line[8] != ' ' || len(line) > 12 && line[12] != ' ' || !http1.IsFieldValue(line) {
		return nil, false
	}
	status, ok := parseDigits(line[9:12], 599)
	if !ok || status < 100 {
		return nil, false
	}
	response := &Response{Status: int(status), Length: -1, closesConnection: line[7] == '0', Header: make(http1.Header, 0, 12)}
	if len(line) > 13 {
		response.Reason = line[13:]
	}
	var connection string
	var seen uint16
	for n := 0; ; n++ {
		line, head, _ = strings.Cut(head, "\r\n")
		if line == "" {
			break
		}
		field, ok := http1.ParseField(line)
		if !ok || n == maxHeadFields {
			return nil, false
		}
		forward, valid := response.parseField(field.Name, field.Value, &seen, &connection)
		if !valid {
			return nil, false
		}
		if forward {
			response.Header = append(response.Header, field)
		}
	}
	response.applyConnection(connection)
	return response, !(response.chunked && response.Length >= 0)
}

// applyConnection applies the options of Connection fields: close, and names of hop-by-hop fields, which it removes from Header.
func (response *Response) applyConnection(connection string) {
	for connection != "" {
		var option string
		option, connection, _ = strings.Cut(connection, ",")
		option = strings.Trim(option, " \t")
		if strings.EqualFold(option, "close") {
			response.closesConnection, response.explicitClose = true, true
		}
		for i := len(response.Header) - 1; i >= 0 && option != ""; i-- {
			if strings.EqualFold(response.Header[i].Name, option) {
				response.Header = append(response.Header[:i], response.Header[i+1:]...)
			}
		}
	}
}

// parseField interprets one field. forward means that the field is forwarded to the client. valid is false if the value is invalid,
// or if a field that the outcome depends on occurs a second time.
func (response *Response) parseField(name, value string, seen *uint16, connection *string) (forward, valid bool) {
	once := func(bit int) bool {
		was := *seen & (1 << bit)
		*seen |= 1 << bit
		return was == 0
	}
	var buffer [32]byte // no name in the switch below is longer
	if len(name) > len(buffer) {
		return true, true
	}
	lower := buffer[:len(name)]
	for i := range lower {
		lower[i] = name[i]
		if 'A' <= name[i] && name[i] <= 'Z' {
			lower[i] |= 0x20
		}
	}
	switch string(lower) {
	case "connection":
		*connection += value + ","
		return false, true
	case "keep-alive":
		response.keepAlive = parseKeepAlive(value)
		return false, true
	case "proxy-connection", "te", "trailer", "upgrade":
		return false, true
	case "content-length":
		n, ok := parseDigits(value, maxContentLength)
		response.Length = n
		return false, ok && once(0)
	case "transfer-encoding":
		response.chunked = true
		return false, strings.EqualFold(value, "chunked") && once(1)
	case "content-encoding":
		response.encoded = true
	case "x-attempt-id":
		response.AttemptID = value
		return true, once(2)
	case "x-response-signature":
		response.Signature = value
		return true, once(3)
	case "x-not-executed":
		response.NotExecuted = true
	case "content-type":
		kind, _, _ := strings.Cut(value, ";")
		response.IsEventStream = strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
		return true, once(4)
	case "retry-after":
		if s, err := strconv.ParseFloat(value, 64); err == nil && s > 0 && s <= 3600 {
			response.RetryAfter = time.Duration(s * float64(time.Second))
		}
	case "x-instance-load":
		response.Load, response.HasLoad = parseLoad(value)
	case "versions":
		response.Versions = value
	}
	return true, true
}

// parseLoad parses "running,waiting,slots". ok is false unless there are three numbers.
func parseLoad(text string) (l Load, ok bool) {
	for i, to := range []*int{&l.Running, &l.Waiting, &l.Slots} {
		var part string
		var more bool
		part, text, more = strings.Cut(text, ",")
		n, ok := parseDigits(strings.Trim(part, " \t"), math.MaxInt32)
		if !ok || more == (i == 2) {
			return Load{}, false
		}
		*to = int(n)
	}
	return l, true
}

// parseKeepAlive parses the time-out of "timeout=5, max=100" or "5", in seconds. It returns 0 if there is none.
func parseKeepAlive(text string) time.Duration {
	for text != "" {
		var part string
		part, text, _ = strings.Cut(text, ",")
		name, value, named := strings.Cut(strings.Trim(part, " \t"), "=")
		if !named {
			name, value = "timeout", name
		}
		if n, ok := parseDigits(strings.Trim(value, " \t"), 86400); ok && n > 0 && strings.EqualFold(strings.Trim(name, " \t"), "timeout") {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}

// parseDigits parses a number of digits only. It returns false for any other text and for a number above limit.
func parseDigits(digits string, limit int64) (int64, bool) {
	n := int64(0)
	for i := range len(digits) {
		if digits[i] < '0' || digits[i] > '9' {
			return 0, false
		}
		if n = n*10 + int64(digits[i]-'0'); n > limit {
			return 0, false
		}
	}
	return n, digits != ""
}
