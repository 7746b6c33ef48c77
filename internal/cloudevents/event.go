// Package cloudevents reads and writes CloudEvents 1.0.2 (core, JSON event format, HTTP protocol binding). It does no
// I/O and knows no clock: a request's header and body go in, an event or a Fault comes out, and back.
//
// It is stricter than a reader must be wherever two readers of one request could come to two events: attributes that
// stand twice, members of a JSON object that stand twice, names in the wrong case, text that is no UTF-8.
package cloudevents

import (
	"bytes"
	"encoding/json"
	"fmt"
	"mime"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// Event is one event. What is equal reads and writes the same: attributes are sorted by name.
type Event struct {
	Attributes []Attribute
	Form       Form
	Data       []byte
}

// Attribute is a context attribute or an extension (core, "Context Attributes"). Value is its canonical string.
type Attribute struct {
	Name  string
	Type  Type
	Value string
}

// Type is an attribute's type as far as the JSON format tells them apart (JSON format, section 2.2).
type Type uint8

// The types. Binary, URI, URI-reference and Timestamp are strings in JSON; HTTP headers hold strings only.
const (
	String Type = iota
	Integer
	Boolean
)

// Form is what is known of an event's data.
type Form uint8

// The forms of data. They say how it stands in JSON (JSON format, section 3.1); in a binary request it is the body.
const (
	NoData Form = iota
	JSON        // Data is a JSON value
	Text        // Data is UTF-8 and stands in JSON as a string
	Bytes       // Data is anything and stands in JSON as data_base64
)

// Kind says what is wrong with a request.
type Kind uint8

// The kinds of fault.
const (
	Malformed   Kind = iota // the event breaks a rule of the specification
	Version                 // its specversion is not 1.0
	Media                   // its media type, or the charset, is not one that is read here
	Incomplete              // the JSON ends early or is no JSON
	TooMany                 // a batch has more events than are allowed
	NotAnEvent              // the request does not claim to be an event
	TooLarge                // an event is longer than is allowed
	UnfitHeader             // the header of a binary event can't be read as an attribute
)

// Fault is why a request, or an event of a batch, is not read.
type Fault struct {
	Kind Kind
	Text string
}

func (f *Fault) Error() string { return f.Text }

func fault(kind Kind, format string, args ...any) error {
	return &Fault{kind, fmt.Sprintf(format, args...)}
}

// Get is the value of an attribute; "" if the event has none of that name, since no attribute is empty.
func (e *Event) Get(name string) string {
	if i, ok := e.find(name); ok {
		return e.Attributes[i].Value
	}
	return ""
}

// find looks from the front: there are few.
func (e *Event) find(name string) (int, bool) {
	for i := range e.Attributes {
		if n := e.Attributes[i].Name; n >= name {
			return i, n == name
		}
	}
	return len(e.Attributes), false
}

// Set gives the event an attribute; an empty value takes it away.
func (e *Event) Set(name, value string) {
	i, ok := e.find(name)
	switch {
	case ok && value == "":
		e.Attributes = slices.Delete(e.Attributes, i, i+1)
	case ok:
		e.Attributes[i].Type, e.Attributes[i].Value = String, value
	case value != "":
		e.Attributes = slices.Insert(e.Attributes, i, Attribute{Name: name, Value: value})
	}
}

// add takes in an attribute that was read. It may not stand there twice.
func (e *Event) add(a Attribute) error {
	i, ok := e.find(a.Name)
	if ok {
		return fault(Malformed, "attribute %s stands there more than once", a.Name)
	}
	if err := checkName(a.Name); err != nil {
		return err
	}
	if a.Type == String {
		if err := checkText(a.Name, a.Value); err != nil {
			return err
		}
	}
	e.Attributes = slices.Insert(e.Attributes, i, a)
	return nil
}

// checkName holds a name to the core's "Naming Conventions": lower-case letters and digits of ASCII.
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

// maxName bounds names. The specification asks for no more than 20 characters, which many senders overstep.
const maxName = 64

// checkText holds a value to the core's type String: no control characters, no noncharacters, and, as what this
// program keeps of an event goes on, sound UTF-8. An empty one is never right: each attribute that may be absent must
// not be empty when it is there.
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

// check holds a whole event to the core's attribute rules.
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

// uriReference holds a text to RFC 3986, section 4.1, or to 4.3 if it has to be absolute: its characters, and
// percent signs before two hexadecimal digits. net/url takes much more.
func uriReference(v string, absolute bool) error {
	for i := 0; i < len(v); i++ {
		c := v[i]
		switch {
		case c == '%':
			if i+2 >= len(v) || !isHex(v[i+1]) || !isHex(v[i+2]) {
				return fmt.Errorf("%q holds a percent sign without two hexadecimal digits", v)
			}
		case c <= ' ' || c >= 0x7f || strings.IndexByte("\"<>\\^`{|}", c) >= 0:
			return fmt.Errorf("%q holds %q, which no URI does", v, c)
		}
	}
	if strings.Count(v, "#") > 1 {
		return fmt.Errorf("%q has two fragments", v)
	}
	first, _, _ := strings.Cut(v, "/")
	first, _, _ = strings.Cut(first, "?")
	first, _, _ = strings.Cut(first, "#")
	scheme, _, has := strings.Cut(first, ":")
	if has && !isScheme(scheme) {
		return fmt.Errorf("%q begins with a colon's segment that is no scheme", v)
	}
	if absolute && !has {
		return fmt.Errorf("%q has no scheme", v)
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
			return fmt.Errorf("%q has a port that is no number", v)
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

// mediaType holds a text to RFC 2046.
func mediaType(v string) error {
	if simpleType(v) {
		return nil
	}
	for _, c := range []byte(v) {
		if c >= 0x7f {
			return fmt.Errorf("%q is not plain ASCII", v)
		}
	}
	t, _, err := mime.ParseMediaType(v)
	if err != nil {
		return fmt.Errorf("%q: %w", v, err)
	}
	if major, minor, ok := strings.Cut(t, "/"); !ok || major == "" || minor == "" {
		return fmt.Errorf("%q is no media type", v)
	}
	return nil
}

// timestamp holds a text to RFC 3339. time.Parse takes a comma before the fraction and hours of one digit; a leap
// second it does not take.
func timestamp(v string) error {
	leap := v
	if len(v) > 19 && v[17:19] == "60" {
		leap = v[:17] + "59" + v[19:]
	}
	if len(v) < 20 || v[10] != 'T' && v[10] != 't' || strings.Contains(v, ",") {
		return fmt.Errorf("%q is no time by RFC 3339", v)
	}
	if _, err := time.Parse(time.RFC3339Nano, strings.ToUpper(leap)); err != nil {
		return fmt.Errorf("%q is no time by RFC 3339", v)
	}
	return nil
}

// simpleType is whether a media type is in lower case and without parameters, as most are.
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

// parseType reads a media type; "" if it can't be read.
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

// isJSON is whether a media type says that data is JSON (JSON format, section 3.1): the subtype is json or ends
// with +json.
func isJSON(contentType string) bool {
	t, _ := parseType(contentType)
	_, minor, _ := strings.Cut(t, "/")
	return minor == "json" || strings.HasSuffix(minor, "+json")
}

// isText is whether a media type says that data is text in UTF-8.
func isText(contentType string) bool {
	t, params := parseType(contentType)
	charset := strings.ToLower(params["charset"])
	return (strings.HasPrefix(t, "text/") || t == "application/xml" || strings.HasSuffix(t, "+xml")) && (charset == "" || charset == "utf-8" || charset == "us-ascii")
}

// dataForm finds out what the body of a binary event is.
func dataForm(contentType string, body []byte) Form {
	switch {
	case len(body) == 0:
		return NoData
	case contentType != "" && isJSON(contentType) && utf8.Valid(body) && json.Valid(body):
		return JSON
	case contentType != "" && isText(contentType) && utf8.Valid(body):
		return Text
	}
	return Bytes
}

// Content is what makes two hand-ins of one identity the same event: all of it but its extensions, which may tell of
// the try (a trace, say), and JSON data without the blanks that its way here may have changed.
func (e *Event) Content(b []byte) []byte {
	for _, name := range []string{"type", "subject", "time", "dataschema"} {
		v := e.Get(name)
		b = strconv.AppendInt(b, int64(len(v)), 10)
		b = append(append(b, ':'), v...)
	}
	kind := e.Get("datacontenttype")
	if kind == "" && e.Form == JSON {
		kind = "application/json" // which is what its absence means
	}
	b = strconv.AppendInt(b, int64(len(kind)), 10)
	b = append(append(b, ':'), kind...)
	if e.Form == JSON {
		var tight bytes.Buffer
		if json.Compact(&tight, e.Data) == nil {
			return append(b, tight.Bytes()...)
		}
	}
	return append(b, e.Data...)
}
