package ingress

import (
	"strings"

	"saffronyard.example/saffronyard/internal/tier/http1"
)

// scanHead looks for the empty line that ends a head, from an offset on, line being where the line there begins. It returns
// the length of the head or 0, where to go on, and whether a line ended in a bare LF.
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

// splitLine cuts a line with its CRLF off a head.
func splitLine(h string) (line, rest string) {
	i := strings.IndexByte(h, '\n')
	return h[:i-1], h[i+1:]
}

// framing is what a head says of its body and its connection.
type framing struct {
	length  int64 // of the body; -1: none announced
	chunked bool
	close   bool
	expect  bool // 100-continue
}

// fieldCounts are how often the fields stand in a head that may stand there once.
type fieldCounts struct{ hosts, ids, deadlines, lengths, codings int }

// parseHead reads a head, which ends with an empty line, into exchange. It returns the status of the refusal, 0 if there is none.
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

// applyField takes in a field that the server itself goes by. It returns the status of the refusal, 0 if there is none.
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

// parseRequestLine reads a request line.
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
			if authority[i] == '?' { // it would have to be changed to be sent on
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

// parseLength reads a Content-Length; one beyond all bounds is the largest number.
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

// parseChunkSize reads the line of a chunk, extensions being discarded. Sizes have up to 15 digits.
func parseChunkSize(line string) (int64, bool) {
	size, ext, has := strings.Cut(line, ";")
	if len(size) > 15 || has && !http1.AllOf(ext, http1.ValueChar) {
		return 0, false
	}
	n := int64(0)
	for i := 0; i < len(size); i++ {
		d := size[i]
		switch {
		case d >= '0' && d <= '9':
			d -= '0'
		case d >= 'a' && d <= 'f':
			d -= 'a' - 10
		case d >= 'A' && d <= 'F':
			d -= 'A' - 10
		default:
			return 0, false
		}
		n = n<<4 | int64(d)
	}
	return n, size != ""
}
