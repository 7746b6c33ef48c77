package http1

import "strings"

// Field is a header field: its name as sent, its value without the white space around it.
type Field struct{ Name, Value string }

// Header is a list of header fields in the order in which they were sent.
type Header []Field

// Get returns the value of the first field with the name, compared case-insensitively, or "" if there is none.
func (header Header) Get(name string) string {
	for i := range header {
		if strings.EqualFold(header[i].Name, name) {
			return header[i].Value
		}
	}
	return ""
}

// AppendEndToEnd appends the fields that a proxy forwards. It omits hop-by-hop fields, fields listed in Connection, Expect, which
// the server has already handled, and Host and Content-Length, which a request has apart from its header.
func (header Header) AppendEndToEnd(to []Field) []Field {
	for _, field := range header {
		if IsHopByHop(field.Name) || strings.EqualFold(field.Name, "Host") || strings.EqualFold(field.Name, "Expect") || header.namedByConnection(field.Name) {
			continue
		}
		to = append(to, field)
	}
	return to
}

// namedByConnection reports whether a Connection field lists the name.
func (header Header) namedByConnection(name string) bool {
	for _, field := range header {
		if len(field.Name) == len("Connection") && strings.EqualFold(field.Name, "Connection") && ListContains(field.Value, name) {
			return true
		}
	}
	return false
}

// ParseField parses a field line without its CRLF. ok is false if the line is not a valid field; a folded line is not.
func ParseField(line string) (field Field, ok bool) {
	name, value, ok := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	if !ok || !IsToken(name) || !IsFieldValue(value) {
		return Field{}, false
	}
	return Field{name, value}, true
}

// AppendField appends a field line with its CRLF.
func AppendField(to []byte, name, value string) []byte {
	return append(append(append(append(to, name...), ": "...), value...), "\r\n"...)
}

// ListContains reports whether a comma-separated list contains the element, compared case-insensitively.
func ListContains(list, element string) bool {
	for item := range strings.SplitSeq(list, ",") {
		if strings.EqualFold(strings.Trim(item, " \t"), element) {
			return true
		}
	}
	return false
}

// IsHopByHop reports whether a field applies to one connection only or to message framing (RFC 9110, 7.6.1).
func IsHopByHop(name string) bool {
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
