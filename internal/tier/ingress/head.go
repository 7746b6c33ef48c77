package ingress

import "strings"

// Field is a header field: its name as sent, its value without the white space around.
type Field struct{ Name, Value string }

// Header is header fields in the order in which they came.
type Header []Field

// Get is the value of the first field of a name, in any case, or "".
func (h Header) Get(name string) string {
	for i := range h {
		if len(h[i].Name) == len(name) && strings.EqualFold(h[i].Name, name) {
			return h[i].Value
		}
	}
	return ""
}

const (
	tokenChar  = 1 << iota // RFC 9110, 5.6.2
	valueChar              // of a field's value: visible, obs-text, space and tab
	targetChar             // of a request target
	hostChar               // of a host with its port
)

var charClasses = func() (t [256]uint8) {
	for c := range 256 {
		alnum := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if alnum || c < 128 && strings.IndexByte("!#$%&'*+-.^_`|~", byte(c)) >= 0 {
			t[c] |= tokenChar
		}
		if c >= ' ' && c != 127 || c == '\t' {
			t[c] |= valueChar
		}
		if c > ' ' && c < 127 && c != '#' {
			t[c] |= targetChar
		}
		if alnum || c < 128 && strings.IndexByte("-._~!$&'()*+,;=:[]%", byte(c)) >= 0 {
			t[c] |= hostChar
		}
	}
	return
}()

// isAll reports whether s is made of one or more characters of a class.
func isAll(s string, class uint8) bool {
	for i := 0; i < len(s); i++ {
		if charClasses[s[i]]&class == 0 {
			return false
		}
	}
	return s != ""
}

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

// parseField reads a field line; no line may be folded.
func parseField(line string) (f Field, ok bool) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isAll(name, tokenChar) {
		return f, false
	}
	for value != "" && (value[0] == ' ' || value[0] == '\t') {
		value = value[1:]
	}
	for value != "" && (value[len(value)-1] == ' ' || value[len(value)-1] == '\t') {
		value = value[:len(value)-1]
	}
	return Field{name, value}, value == "" || isAll(value, valueChar)
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
		field, ok := parseField(line)
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
func (f *framing) applyField(field Field, exchange *Exchange, seen *fieldCounts) (status int) {
	var ok bool
	switch name := field.Name; len(name) {
	case 4:
		if strings.EqualFold(name, "Host") {
			seen.hosts++
			if seen.hosts > 1 || !isAll(field.Value, hostChar) || exchange.Host != "" && !strings.EqualFold(exchange.Host, field.Value) {
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
		if strings.EqualFold(name, "Connection") && hasToken(field.Value, "close") {
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
	if !ok || !ok2 || !isAll(method, tokenChar) || !isAll(target, targetChar) {
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
		if !isAll(authority, hostChar) {
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
	if len(size) > 15 || has && !isAll(ext, valueChar) {
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

// hasToken reports whether a comma-separated list holds a token, in any case.
func hasToken(list, token string) bool {
	for list != "" {
		var item string
		item, list, _ = strings.Cut(list, ",")
		if strings.EqualFold(strings.Trim(item, " \t"), token) {
			return true
		}
	}
	return false
}

// isHopByHop reports whether a field concerns one connection only, or the framing on it.
func isHopByHop(name string) bool {
	switch len(name) {
	case 2:
		return strings.EqualFold(name, "TE")
	case 7:
		return strings.EqualFold(name, "Trailer") || strings.EqualFold(name, "Upgrade")
	case 10:
		return strings.EqualFold(name, "Connection") || strings.EqualFold(name, "Keep-Alive")
	case 14:
		return strings.EqualFold(name, "Content-Length")
	case 16:
		return strings.EqualFold(name, "Proxy-Connection")
	case 17:
		return strings.EqualFold(name, "Transfer-Encoding")
	}
	return false
}

// AppendEndToEnd appends the fields that are to be passed on: without those that concern the connection only, those that
// Connection names, Expect (answered here), and Host and Content-Length, which stand in the exchange.
func (h Header) AppendEndToEnd(to []Field) []Field {
	for _, f := range h {
		if isHopByHop(f.Name) || strings.EqualFold(f.Name, "Host") || strings.EqualFold(f.Name, "Expect") || h.named(f.Name) {
			continue
		}
		to = append(to, f)
	}
	return to
}

// named reports whether a Connection field names a field.
func (h Header) named(name string) bool {
	for _, f := range h {
		if len(f.Name) == 10 && strings.EqualFold(f.Name, "Connection") && hasToken(f.Value, name) {
			return true
		}
	}
	return false
}
