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
	maxInterimResponses = 4        // 1xx ahead of an answer
	maxStaleResponses   = 3        // answers to former requests that are read over
	maxContentLength    = 1 << 40  // bytes that a body may claim
)

var (
	errConnectionLimit = errors.New("as many connections as there may be")
	errConnectionEnded = errors.New("the endpoint ended the connection")
	errMalformed       = errors.New("no sound answer to the request")
	errBodyTooLarge    = errors.New("an answer of unknown length is too long")
	errDeadlinePassed  = errors.New("no time is left")
	errNotPermitted    = errors.New("not permitted any longer")
)

// Load is what an endpoint reports in X-Instance-Load.
type Load struct{ Running, Waiting, Slots int }

// Response is the head of an endpoint's answer.
type Response struct {
	Status        int
	Reason        string
	Header        http1.Header // without those that concern one connection and the body's framing
	Length        int64        // of the body as announced; -1: none was
	AttemptID     string
	Signature     string // X-Response-Signature
	NotExecuted   bool   // X-Not-Executed
	IsEventStream bool   // the body is text/event-stream
	RetryAfter    time.Duration
	Load          Load
	HasLoad       bool   // the endpoint reported Load
	Versions      string // of the weights, as reported

	closesConnection bool // no further answer comes on the connection
	explicitClose    bool // Connection: close stands there
	chunked          bool
	encoded          bool
	keepAlive        time.Duration
}

// readHead reads one head, whole. What is no head gives errMalformed, anything else is the connection's.
func readHead(r *bufio.Reader, scratch []byte) (*Response, []byte, error) {
	head := scratch[:0]
	// What can't become a status line is not waited for: behind noise the connection may stay open and silent.
	if _, err := r.Peek(1); err != nil {
		return nil, head, err
	}
	if first, _ := r.Peek(r.Buffered()); !mayBeStatusLine(first) {
		return nil, head, errMalformed
	}
	for {
		line, err := r.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, head, errMalformed
		}
		if len(head) == 0 && !mayBeStatusLine(line) {
			return nil, head, errMalformed // whatever the connection does next
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
	a, ok := parseHead(string(head))
	if !ok {
		return nil, head, errMalformed
	}
	return a, head, nil
}

// mayBeStatusLine reports whether a line may be the beginning of a status line.
func mayBeStatusLine(line []byte) bool {
	const begin = "HTTP/1."
	n := min(len(line), len(begin))
	return string(line[:n]) == begin[:n]
}

// parseHead reads lines that end with CRLF, the last of them empty.
func parseHead(head string) (*Response, bool) {
	line, head, _ := strings.Cut(head, "\r\n")
	if len(line) < 12 || line[7] != '0' && line[7] != '1' || line[8] != ' ' || len(line) > 12 && line[12] != ' ' || !http1.IsFieldValue(line) {
		return nil, false
	}
	status, ok := parseDigits(line[9:12], 599)
	if !ok || status < 100 {
		return nil, false
	}
	a := &Response{Status: int(status), Length: -1, closesConnection: line[7] == '0', Header: make(http1.Header, 0, 12)}
	if len(line) > 13 {
		a.Reason = line[13:]
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
		pass, ok := a.parseField(field.Name, field.Value, &seen, &connection)
		if !ok {
			return nil, false
		}
		if pass {
			a.Header = append(a.Header, field)
		}
	}
	a.applyConnection(connection)
	return a, !(a.chunked && a.Length >= 0)
}

// applyConnection goes by the options of Connection: close, and the names of fields that concern this connection only, which
// are taken out.
func (answer *Response) applyConnection(connection string) {
	for connection != "" {
		var option string
		option, connection, _ = strings.Cut(connection, ",")
		option = strings.Trim(option, " \t")
		if strings.EqualFold(option, "close") {
			answer.closesConnection, answer.explicitClose = true, true
		}
		for i := len(answer.Header) - 1; i >= 0 && option != ""; i-- {
			if strings.EqualFold(answer.Header[i].Name, option) {
				answer.Header = append(answer.Header[:i], answer.Header[i+1:]...)
			}
		}
	}
}

// parseField takes one field in and says whether it is passed on, and whether it can stand there: fields that the outcome
// rests on stand once.
func (answer *Response) parseField(name, value string, seen *uint16, connection *string) (pass, ok bool) {
	once := func(bit int) bool {
		was := *seen & (1 << bit)
		*seen |= 1 << bit
		return was == 0
	}
	var room [32]byte // the longest name that is looked for is shorter
	if len(name) > len(room) {
		return true, true
	}
	lower := room[:len(name)]
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
		answer.keepAlive = parseKeepAlive(value)
		return false, true
	case "proxy-connection", "te", "trailer", "upgrade":
		return false, true
	case "content-length":
		n, ok := parseDigits(value, maxContentLength)
		answer.Length = n
		return false, ok && once(0)
	case "transfer-encoding":
		answer.chunked = true
		return false, strings.EqualFold(value, "chunked") && once(1)
	case "content-encoding":
		answer.encoded = true
	case "x-attempt-id":
		answer.AttemptID = value
		return true, once(2)
	case "x-response-signature":
		answer.Signature = value
		return true, once(3)
	case "x-not-executed":
		answer.NotExecuted = true
	case "content-type":
		kind, _, _ := strings.Cut(value, ";")
		answer.IsEventStream = strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
		return true, once(4)
	case "retry-after":
		if s, err := strconv.ParseFloat(value, 64); err == nil && s > 0 && s <= 3600 {
			answer.RetryAfter = time.Duration(s * float64(time.Second))
		}
	case "x-instance-load":
		answer.Load, answer.HasLoad = parseLoad(value)
	case "versions":
		answer.Versions = value
	}
	return true, true
}

// parseLoad reads running,waiting,slots. With a figure that can't be there is none.
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

// parseKeepAlive reads the seconds of "timeout=5, max=100" or "5".
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

// parseDigits reads a number of digits only that is not above limit.
func parseDigits(s string, limit int64) (int64, bool) {
	n := int64(0)
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
		if n = n*10 + int64(s[i]-'0'); n > limit {
			return 0, false
		}
	}
	return n, s != ""
}
