package ingress

import (
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/tier/http1"
)

// scanHead searches b for the empty line that ends a head, beginning at offset from; line is where the line at that offset begins.
// It returns the length of the head, or 0 if the head is incomplete, the two offsets with which to continue, and whether a line
// ended in a bare LF.
func scanHead(b []byte, from, line int) (end, next, lineNext int, bad bool) {
	for i := from; i < len(b); i++ {
		if b[i] != '\n' {
			continue
		}
		if i == line || b[i-1] != '\r' {
			return 0, 0, 0, true
		}
		if i == line+1 {
			return i + 1, 0, 0, false
		}
		line = i + 1
	}
	return 0, len(b), line, false
}

// splitLine splits the first line off a head, without its CRLF.
func splitLine(h string) (line, rest string) {
	i := strings.IndexByte(h, '\n')
	return h[:i-1], h[i+1:]
}

// framing is what a head specifies about the request's body and its connection.
type framing struct {
	length  int64 // Content-Length; -1: there is none
	chunked bool
	close   bool // the connection closes after this request
	expect  bool // Expect: 100-continue
}

// fieldCounts counts the fields that may occur at most once in a head.
type fieldCounts struct{ hosts, ids, deadlines, lengths, codings int }

// parseHead parses a head, which ends with an empty line, into exchange. It returns the status of a rejection, or 0 if the head is valid.
func parseHead(head string, exchange *Exchange) (f framing, status int) {
	f.length = -1
	line, head := splitLine(head)
	if status = parseRequestLine(line, exchange); status != 0 {
		return f, status
	}
	exchange.Header = exchange.fields[:0]
	var seen fieldCounts
	for {
		if line, head = splitLine(head); line == "" {
			break
		}
		field, ok := http1.ParseField(line)
		if !ok {
			return f, 400
		}
		exchange.Header = append(exchange.Header, field)
		if status := f.applyField(field, exchange, &seen); status != 0 {
			return f, status
		}
	}
	if seen.hosts != 1 || seen.ids > 1 || seen.deadlines > 1 || seen.lengths > 1 || seen.codings > 1 ||
		seen.lengths > 0 && seen.codings > 0 || f.chunked && exchange.http10 {
		return f, 400
	}
	f.close = f.close || exchange.http10
	f.expect = f.expect && !exchange.http10
	return f, 0
}

// applyField interprets the fields that the server itself acts on. It returns the status of a rejection, or 0 if the field is valid.
func (f *framing) applyField(field http1.Field, exchange *Exchange, seen *fieldCounts) (status int) {
	var ok bool
	switch name := field.Name; len(name) {
	case 4:
		if strings.EqualFold(name, "Host") {
			seen.hosts++
			if seen.hosts > 1 || !http1.AllOf(field.Value, http1.HostChar) || exchange.Host != "" && !strings.EqualFold(exchange.Host, field.Value) {
				return 400
			}
			exchange.Host = field.Value
		}
	case 6:
		if strings.EqualFold(name, "Expect") {
			if f.expect = strings.EqualFold(field.Value, "100-continue"); !f.expect {
				return 417
			}
		}
	case 10:
		if strings.EqualFold(name, "Connection") && http1.ListContains(field.Value, "close") {
			f.close = true
		}
	case 12:
		if strings.EqualFold(name, "X-Attempt-Id") {
			seen.ids++
		}
	case 13:
		if strings.EqualFold(name, "X-Deadline-Ms") {
			seen.deadlines++
		}
	case 14:
		if strings.EqualFold(name, "Content-Length") {
			seen.lengths++
			if f.length, ok = parseLength(field.Value); !ok {
				return 400
			}
		}
	case 17:
		if strings.EqualFold(name, "Transfer-Encoding") {
			seen.codings++
			if f.chunked = strings.EqualFold(field.Value, "chunked"); !f.chunked {
				return 501
			}
		}
	}
	return 0
}

// parseRequestLine parses a request line. It returns the status of a rejection, or 0 if the line is valid.
func parseRequestLine(line string, exchange *Exchange) int {
	method, rest, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !http1.IsToken(method) || !http1.AllOf(target, http1.TargetChar) {
		return 400
	}
	if len(version) != 8 || version[:5] != "HTTP/" || version[6] != '.' || version[5]-'0' > 9 || version[7]-'0' > 9 {
		return 400
	}
	switch version[5:] {
	case "1.1":
	case "1.0":
		exchange.http10 = true
	default:
		return 505
	}
	if target[0] != '/' && target != "*" {
		const scheme = "http://"
		if len(target) < len(scheme) || !strings.EqualFold(target[:len(scheme)], scheme) {
			return 400
		}
		authority := target[len(scheme):]
		target = "/"
		if i := strings.IndexAny(authority, "/?"); i >= 0 {
			if authority[i] == '?' { // the target would have to be rewritten to be forwarded
				return 400
			}
			authority, target = authority[:i], authority[i:]
		}
		if !http1.AllOf(authority, http1.HostChar) {
			return 400
		}
		exchange.Host = authority
	}
	if target == "*" && method != "OPTIONS" {
		return 400
	}
	exchange.Method, exchange.Target = method, target
	exchange.Path, _, _ = strings.Cut(target, "?")
	exchange.head = method == "HEAD"
	return 0
}

// parseLength parses a Content-Length. A value that overflows is returned as the largest int64.
func parseLength(s string) (int64, bool) {
	n := int64(0)
	for i := 0; i < len(s); i++ {
		d := s[i] - '0'
		if d > 9 {
			return 0, false
		}
		if n > (1<<63-1-9)/10 {
			n = 1<<63 - 1
			continue
		}
		n = 10*n + int64(d)
	}
	return n, s != ""
}

// readRequest reads a complete request. It returns the status of a rejection, or the error of the connection.
func (conn *conn) readRequest(exchange *Exchange) (status int, err error) {
	exchange.ArrivedAt = conn.readAt
	head, status, err := conn.readHead()
	if status != 0 || err != nil {
		return status, err
	}
	f, status := parseHead(head, exchange)
	if status != 0 {
		return status, nil
	}
	exchange.keepAlive = !f.close
	conn.readDeadline, conn.progress = time.Time{}, 0
	if f.length > int64(conn.limits.MaxBody) {
		return 413, nil
	}
	if f.expect && conn.consumed == conn.buffered && (f.length > 0 || f.chunked) {
		if err := conn.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return 0, err
		}
	}
	switch {
	case f.chunked:
		return conn.readChunked(exchange)
	case f.length > 0:
		exchange.Body, err = conn.readLength(nil, int(f.length), false)
		return 0, err
	}
	return 0, nil
}

// readHead reads a head with the empty line that ends it. The complete head has one time-out, which starts when readHead first waits
// for more bytes: the first bytes may have been received with the previous request, long before they are parsed.
func (conn *conn) readHead() (head string, status int, err error) {
	conn.readDeadline, conn.progress = time.Time{}, 0
	from, line, end, blank := 0, 0, 0, false
	for {
		b := (*conn.buffer)[conn.consumed:conn.buffered]
		if !blank && from == 0 && len(b) >= 2 && b[0] == '\r' && b[1] == '\n' { // one empty line may precede the head
			blank = true
			conn.consumed += 2
			continue
		}
		var bad bool
		if end, from, line, bad = scanHead(b, from, line); bad {
			return "", 400, nil
		}
		if end > conn.limits.MaxHeader || end == 0 && len(b) >= conn.limits.MaxHeader {
			return "", 431, nil
		}
		if end > 0 {
			break
		}
		if len(b) == 1 { // a CR may begin an empty line
			from, line = 0, 0
		}
		if conn.readDeadline.IsZero() {
			conn.readDeadline = time.Now().Add(conn.limits.HeaderTimeout)
			conn.socket.SetReadDeadline(conn.readDeadline)
		}
		conn.progress = 0 // progress in a head does not extend its time-out
		if err := conn.fill(); err != nil {
			return "", 0, err
		}
	}
	head = string((*conn.buffer)[conn.consumed : conn.consumed+end])
	conn.consumed += end
	return head, 0, nil
}
