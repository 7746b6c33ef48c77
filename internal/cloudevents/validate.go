package cloudevents

import (
	"fmt"
	"mime"
	"strings"
	"time"
	"unicode/utf8"
)

// checkName checks a name against the core's "Naming Conventions": ASCII lower-case letters and digits.
func checkName(name string) error {
	if name == "" {
		return fault(Malformed, "an attribute has no name")
	}
	if len(name) > maxName {
		return fault(Malformed, "an attribute's name is longer than %d bytes", maxName)
	}
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') {
			return fault(Malformed, "attribute name %q: names have lower-case letters and digits only", name)
		}
	}
	if name == "data" {
		return fault(Malformed, `no attribute may be called "data"`)
	}
	return nil
}

// checkText checks a value against the core's type String: no control characters and no noncharacters. It also requires
// valid UTF-8, as attributes are forwarded. An empty value is never valid: optional attributes must be non-empty if
// present.
func checkText(name, v string) error {
	if v == "" {
		return fault(Malformed, "attribute %s is empty", name)
	}
	if !utf8.ValidString(v) {
		return fault(Malformed, "attribute %s is not UTF-8", name)
	}
	for _, r := range v {
		if r < 0x20 || r >= 0x7f && r <= 0x9f || r >= 0xfdd0 && r <= 0xfdef || r&0xfffe == 0xfffe {
			return fault(Malformed, "attribute %s holds the character U+%04X", name, r)
		}
	}
	return nil
}

// check verifies an event against the rules for attributes (core).
func (e *Event) check() error {
	version := e.Get("specversion")
	if version == "" {
		return fault(Malformed, "attribute specversion is missing")
	}
	if version != "1.0" {
		return fault(Version, "specversion is %q; events of 1.0 are read here", version)
	}
	for _, name := range [...]string{"id", "source", "type"} {
		if e.Get(name) == "" {
			return fault(Malformed, "attribute %s is missing", name)
		}
	}
	for _, a := range e.Attributes {
		standard := true
		var err error
		switch a.Name {
		case "id", "type", "subject", "specversion":
		case "source":
			err = uriReference(a.Value, false)
		case "dataschema":
			err = uriReference(a.Value, true)
		case "datacontenttype":
			err = mediaType(a.Value)
		case "time":
			err = timestamp(a.Value)
		default:
			standard = false
		}
		if err != nil {
			return fault(Malformed, "attribute %s: %v", a.Name, err)
		}
		if standard && a.Type != String {
			return fault(Malformed, "attribute %s is not a string", a.Name)
		}
	}
	return nil
}

// SyntaxError reports an attribute whose value has invalid syntax.
type SyntaxError struct{ detail string }

func syntaxError(format string, args ...any) error {
	return &SyntaxError{detail: fmt.Sprintf(format, args...)}
}

// Error returns the value and the problem with it.
func (e *SyntaxError) Error() string { return e.detail }

// uriReference returns an error for a text that is not a URI reference (RFC 3986 4.1) or, with absolute, not an absolute URI (4.3). It
// checks the characters, percent-encoding, fragment, scheme and port. net/url accepts much more.
func uriReference(v string, absolute bool) error {
	for i := 0; i < len(v); i++ {
		c := v[i]
		switch {
		case c == '%':
			if i+2 >= len(v) || !isHex(v[i+1]) || !isHex(v[i+2]) {
				return syntaxError("%q holds a percent sign without two hexadecimal digits", v)
			}
		case c <= ' ' || c >= 0x7f || strings.IndexByte("\"<>\\^`{|}", c) >= 0:
			return syntaxError("%q holds %q, which no URI does", v, c)
		}
	}
	if strings.Count(v, "#") > 1 {
		return syntaxError("%q has two fragments", v)
	}
	first, _, _ := strings.Cut(v, "/")
	first, _, _ = strings.Cut(first, "?")
	first, _, _ = strings.Cut(first, "#")
	scheme, _, has := strings.Cut(first, ":")
	if has && !isScheme(scheme) {
		return syntaxError("%q begins with a colon's segment that is no scheme", v)
	}
	if absolute && !has {
		return syntaxError("%q has no scheme", v)
	}
	rest := v
	if has {
		rest = v[len(scheme)+1:]
	}
	if authority, ok := strings.CutPrefix(rest, "//"); ok {
		if i := strings.IndexAny(authority, "/?#"); i >= 0 {
			authority = authority[:i]
		}
		host := authority[strings.LastIndexByte(authority, '@')+1:]
		if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") && strings.Trim(host[i+1:], "0123456789") != "" {
			return syntaxError("%q has a port that is no number", v)
		}
	}
	return nil
}

func isScheme(s string) bool {
	for i, c := range []byte(strings.ToLower(s)) {
		letter := c >= 'a' && c <= 'z'
		if !letter && (i == 0 || (c < '0' || c > '9') && c != '+' && c != '-' && c != '.') {
			return false
		}
	}
	return s != ""
}

func isHex(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}

// mediaType returns an error for a text that is not a media type (RFC 2046).
func mediaType(v string) error {
	if simpleType(v) {
		return nil
	}
	for _, c := range []byte(v) {
		if c >= 0x7f {
			return syntaxError("%q is not plain ASCII", v)
		}
	}
	t, _, err := mime.ParseMediaType(v)
	if err != nil {
		return fmt.Errorf("%q: %w", v, err)
	}
	if major, minor, ok := strings.Cut(t, "/"); !ok || major == "" || minor == "" {
		return syntaxError("%q is no media type", v)
	}
	return nil
}

// timestamp returns an error for a text that is not a time by RFC 3339. time.Parse accepts a comma before the fraction and hours of one
// digit, and rejects leap seconds.
func timestamp(v string) error {
	leap := v
	if len(v) > 19 && v[17:19] == "60" {
		leap = v[:17] + "59" + v[19:]
	}
	if len(v) < 20 || v[10] != 'T' && v[10] != 't' || strings.Contains(v, ",") {
		return syntaxError("%q is no time by RFC 3339", v)
	}
	if _, err := time.Parse(time.RFC3339Nano, strings.ToUpper(leap)); err != nil {
		return syntaxError("%q is no time by RFC 3339", v)
	}
	return nil
}

// simpleType reports whether a media type is in lower case and without parameters, as most are.
func simpleType(v string) bool {
	slash := 0
	for i, c := range []byte(v) {
		switch {
		case c == '/' && i > 0 && i < len(v)-1:
			slash++
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9', c == '+', c == '-', c == '.':
		default:
			return false
		}
	}
	return slash == 1
}

// parseType parses a media type; it returns "" for an invalid one.
func parseType(v string) (string, map[string]string) {
	if simpleType(v) {
		return v, nil
	}
	t, params, err := mime.ParseMediaType(v)
	if err != nil {
		return "", nil
	}
	return t, params
}

// isJSON reports whether a media type denotes JSON (JSON format, section 3.1): the subtype is json or ends
// with +json.
func isJSON(contentType string) bool {
	t, _ := parseType(contentType)
	_, minor, _ := strings.Cut(t, "/")
	return minor == "json" || strings.HasSuffix(minor, "+json")
}

// isText reports whether a media type denotes text in UTF-8.
func isText(contentType string) bool {
	t, params := parseType(contentType)
	charset := strings.ToLower(params["charset"])
	return (strings.HasPrefix(t, "text/") || t == "application/xml" || strings.HasSuffix(t, "+xml")) && (charset == "" || charset == "utf-8" || charset == "us-ascii")
}
