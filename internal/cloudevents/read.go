package cloudevents

import (
	"errors"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Mode is a content mode of the HTTP binding (section 3).
type Mode uint8

// The content modes.
const (
	BinaryMode Mode = iota
	StructuredMode
	BatchedMode
)

// String returns the mode's name.
func (m Mode) String() string { return [...]string{"binary", "structured", "batched"}[m] }

// The media types of the JSON event format.
const (
	structuredType = "application/cloudevents+json"
	batchType      = "application/cloudevents-batch+json"
	eventsPrefix   = "application/cloudevents"
	headerPrefix   = "Ce-"
)

// ModeOf determines a request's content mode from its Content-Type (HTTP binding, section 3: a media type that begins with
// application/cloudevents is structured or batched, any other is binary).
func ModeOf(h http.Header) (Mode, error) {
	values := h.Values("Content-Type")
	if len(values) > 1 {
		return 0, fault(Media, "Content-Type stands there more than once")
	}
	mode := BinaryMode
	if len(values) == 1 {
		t, params := values[0], map[string]string(nil)
		if !simpleType(t) {
			var err error
			if t, params, err = mime.ParseMediaType(t); err != nil {
				return 0, fault(Media, "Content-Type %q: %v", values[0], err)
			}
		}
		switch {
		case t == structuredType:
			mode = StructuredMode
		case t == batchType:
			mode = BatchedMode
		case strings.HasPrefix(t, eventsPrefix): // reserved for events in any format; only JSON is supported
			return 0, fault(Media, "Content-Type %s: events are read as %s, %s or in binary mode", t, structuredType, batchType)
		}
		if charset := strings.ToLower(params["charset"]); mode != BinaryMode && charset != "" && charset != "utf-8" && charset != "us-ascii" {
			return 0, fault(Media, "charset %s: events are read as UTF-8", charset)
		}
	}
	if mode == BinaryMode && len(h[headerPrefix+"Specversion"]) == 0 {
		return 0, fault(NotAnEvent, "neither a ce-specversion header nor a Content-Type of %s or %s", structuredType, batchType)
	}
	return mode, nil
}

// ReadBinary reads an event in binary mode (HTTP binding, section 3.1). The event refers to body without copying it.
func ReadBinary(h http.Header, body []byte) (*Event, error) {
	e, err := BinaryHead(h)
	if err == nil {
		e.SetBody(body)
	}
	return e, err
}

// SetBody sets the data of an event that was read in binary mode.
func (e *Event) SetBody(body []byte) {
	if e.DataFormat = dataFormatOf(e.Get("datacontenttype"), body); e.DataFormat != NoData {
		e.Data = body
	}
}

// BinaryHead reads an event in binary mode without its data.
func BinaryHead(h http.Header) (*Event, error) {
	e := &Event{Attributes: make([]Attribute, 0, 10)}
	for name, values := range h {
		rest, ok := strings.CutPrefix(name, headerPrefix)
		if !ok {
			continue
		}
		rest = strings.ToLower(rest)
		if len(values) != 1 {
			return nil, fault(Malformed, "header ce-%s stands there more than once", rest)
		}
		if rest == "datacontenttype" { // the Content-Type is this attribute; the header could contradict it
			return nil, fault(Malformed, "header ce-datacontenttype: in binary mode that is the Content-Type")
		}
		v, err := unescape(values[0])
		if err != nil {
			return nil, fault(UnfitHeader, "header ce-%s: %v", rest, err)
		}
		if err := e.add(Attribute{Name: rest, Value: v}); err != nil {
			return nil, err
		}
	}
	contentType := h.Get("Content-Type")
	if contentType != "" {
		if err := e.add(Attribute{Name: "datacontenttype", Value: contentType}); err != nil {
			return nil, err
		}
	}
	if err := e.check(); err != nil {
		return nil, err
	}
	return e, nil
}

var (
	errBytes   = errors.New("it holds bytes that are neither printable nor UTF-8; such are percent-encoded")
	errPercent = errors.New("a percent sign stands before something else than two hexadecimal digits")
	errQuoted  = errors.New("a quoted text is not closed, or more stands behind it")
	errUTF8    = errors.New("what it encodes is not UTF-8")
)

// unescape reads a header's value (HTTP binding, section 3.1.3.2): a quoted string is unquoted first (RFC 7230,
// section 3.2.6), then percent-encoding is decoded, once. Unencoded non-ASCII text is accepted unchanged if it is UTF-8:
// it has no other interpretation, and the Go SDK writes such headers.
func unescape(v string) (string, error) {
	for _, c := range []byte(v) {
		if c < 0x20 || c == 0x7f {
			return "", errBytes
		}
	}
	if !utf8.ValidString(v) {
		return "", errBytes
	}
	if strings.HasPrefix(v, `"`) {
		plain := make([]byte, 0, len(v))
		closed := false
		for i := 1; i < len(v); i++ {
			switch {
			case closed:
				return "", errQuoted
			case v[i] == '"':
				closed = true
			case v[i] == '\\' && i+1 < len(v):
				i++
				plain = append(plain, v[i])
			default:
				plain = append(plain, v[i])
			}
		}
		if !closed {
			return "", errQuoted
		}
		v = string(plain)
	}
	if strings.IndexByte(v, '%') < 0 {
		return v, nil
	}
	out := make([]byte, 0, len(v))
	for i := 0; i < len(v); i++ {
		if v[i] != '%' {
			out = append(out, v[i])
			continue
		}
		if i+2 >= len(v) || !isHex(v[i+1]) || !isHex(v[i+2]) {
			return "", errPercent
		}
		n, _ := strconv.ParseUint(v[i+1:i+3], 16, 8) // two hexadecimal digits
		out = append(out, byte(n))
		i += 2
	}
	if !utf8.Valid(out) {
		return "", errUTF8
	}
	return string(out), nil
}
