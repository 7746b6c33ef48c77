package cloudevents

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"math"
	"mime"
	"net/http"
	"slices"
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

func (m Mode) String() string { return [...]string{"binary", "structured", "batched"}[m] }

// The media types of the JSON event format.
const (
	structuredType = "application/cloudevents+json"
	batchType      = "application/cloudevents-batch+json"
	eventsPrefix   = "application/cloudevents"
	headerPrefix   = "Ce-"
)

// ModeOf finds a request's content mode from its Content-Type (HTTP binding, section 3: a media type that begins with
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
		case strings.HasPrefix(t, eventsPrefix): // these are events' for any format, and JSON is the one read here
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

// ReadBinary reads an event in binary mode (HTTP binding, section 3.1). The event keeps the body.
func ReadBinary(h http.Header, body []byte) (*Event, error) {
	e, err := BinaryHead(h)
	if err == nil {
		e.SetBody(body)
	}
	return e, err
}

// SetBody gives an event that came in binary mode its data.
func (e *Event) SetBody(body []byte) {
	if e.Form = dataForm(e.Get("datacontenttype"), body); e.Form != NoData {
		e.Data = body
	}
}

// BinaryHead reads all of an event in binary mode but its data.
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
		if rest == "datacontenttype" { // it is the Content-Type; beside that it could name another
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
	kind := h.Get("Content-Type")
	if kind != "" {
		if err := e.add(Attribute{Name: "datacontenttype", Value: kind}); err != nil {
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
// section 3.2.6), then percent signs are decoded, once. Text that should have been percent-encoded is taken as it is if
// it is UTF-8: there is no other reading of it, and the Go SDK writes it so.
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

// ReadStructured reads an event in structured mode: one JSON object (JSON format, section 3).
func ReadStructured(body []byte) (*Event, error) {
	if err := whole(body); err != nil {
		return nil, err
	}
	return readObject(body)
}

// whole is whether a body is one JSON value in UTF-8 and nothing else.
func whole(body []byte) error {
	if !utf8.Valid(body) {
		return fault(Malformed, "the body is not UTF-8")
	}
	if !json.Valid(body) {
		var v json.RawMessage
		err := json.Unmarshal(body, &v)
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			return fault(Incomplete, "the JSON can't be read at byte %d: %v", syntax.Offset, err)
		}
		return fault(Incomplete, "the JSON can't be read: %v", err)
	}
	return nil
}

// readObject reads an event from a JSON text that is sound.
func readObject(raw []byte) (*Event, error) {
	e := &Event{Attributes: make([]Attribute, 0, 10)}
	var data, base []byte // as they stand there; nil for absent
	err := members(raw, func(name string, v []byte) error {
		switch name {
		case "data":
			data = v
			return nil
		case "data_base64":
			base = v
			return nil
		}
		a := Attribute{Name: name}
		switch v[0] {
		case 'n': // null: as if it were not there (JSON format, section 2.2), but for its name
			return checkName(name)
		case 't', 'f':
			a.Type, a.Value = Boolean, string(v)
		case '"':
			s, err := text(v)
			if err != nil {
				return fault(Malformed, "attribute %s: %v", name, err)
			}
			a.Value = s
		case '{', '[':
			return fault(Malformed, "attribute %s is a JSON object or array; attributes are strings, numbers and booleans", name)
		default:
			n, err := strconv.ParseInt(string(v), 10, 64)
			if err != nil || n < math.MinInt32 || n > math.MaxInt32 {
				return fault(Malformed, "attribute %s = %.40s is not a whole number of 32 bits", name, v)
			}
			a.Type, a.Value = Integer, strconv.FormatInt(n, 10)
		}
		return e.add(a)
	})
	if err != nil {
		return nil, err
	}
	if err := e.check(); err != nil {
		return nil, err
	}
	switch kind := e.Get("datacontenttype"); {
	case data != nil && base != nil:
		return nil, fault(Malformed, "data and data_base64 exclude each other")
	case base != nil:
		s, err := text(base)
		if base[0] != '"' || err != nil {
			return nil, fault(Malformed, "data_base64 is not a string")
		}
		if e.Data, err = base64.StdEncoding.Strict().DecodeString(s); err != nil || strings.ContainsAny(s, "\r\n") {
			return nil, fault(Malformed, "data_base64 is not Base64 by RFC 4648, section 4")
		}
		e.Form = Bytes
	case data != nil && data[0] == '"' && kind != "" && !isJSON(kind):
		s, err := text(data)
		if err != nil {
			return nil, fault(Malformed, "data: %v", err)
		}
		e.Form, e.Data = Text, []byte(s)
	case data != nil && data[0] == 'n' && kind != "" && !isJSON(kind): // null is no text: there is none
	case data != nil:
		e.Form, e.Data = JSON, bytes.Clone(data)
	}
	return e, nil
}

// members calls f with each member of a JSON object that is sound, in order. A name that stands there twice, however
// it is escaped, is a fault: readers differ on which of the two counts.
func members(raw []byte, f func(name string, v []byte) error) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	first, err := d.Token()
	if err != nil || first != json.Delim('{') {
		return fault(Malformed, "an event is a JSON object")
	}
	names := make([]string, 0, 12)
	for d.More() {
		if len(names) == maxMembers {
			return fault(Malformed, "an event has more than %d members", maxMembers)
		}
		at := d.InputOffset()
		token, err := d.Token()
		if err != nil {
			return fault(Incomplete, "the JSON can't be read: %v", err)
		}
		name, _ := token.(string)
		if slices.Contains(names, name) {
			return fault(Malformed, "member %q stands there more than once, again at byte %d", name, at)
		}
		names = append(names, name)
		var v json.RawMessage
		if err := d.Decode(&v); err != nil {
			return fault(Incomplete, "the JSON can't be read: %v", err)
		}
		if err := f(name, v); err != nil {
			return err
		}
	}
	return nil
}

// maxMembers bounds the attributes of an event; headers have the bound of a request's head.
const maxMembers = 256

var errSurrogate = errors.New("an escape stands for half a character")

// text reads a JSON string. Escapes of half a surrogate pair stand for no character: encoding/json makes U+FFFD of
// each, so that texts which differ would become equal.
func text(raw []byte) (string, error) {
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		return "", errors.New("it is not a string")
	}
	if strings.ContainsRune(s, utf8.RuneError) && !bytes.ContainsRune(raw, utf8.RuneError) && !bytes.Contains(bytes.ToLower(raw), []byte(`\ufffd`)) {
		return "", errSurrogate
	}
	if bytes.Contains(raw, []byte(`\u`)) && halves(raw) {
		return "", errSurrogate
	}
	return s, nil
}

// halves is whether a sound JSON string holds the escape of a surrogate without its other half.
func halves(raw []byte) bool {
	for i := 0; i < len(raw); i++ {
		if raw[i] != '\\' {
			continue
		}
		if i++; i >= len(raw) || raw[i] != 'u' {
			continue
		}
		n, _ := strconv.ParseUint(string(raw[i+1:i+5]), 16, 32) // sound JSON has four digits here
		i += 4
		switch {
		case n >= 0xdc00 && n <= 0xdfff:
			return true
		case n >= 0xd800 && n <= 0xdbff:
			if i+6 >= len(raw) || raw[i+1] != '\\' || raw[i+2] != 'u' {
				return true
			}
			low, _ := strconv.ParseUint(string(raw[i+3:i+7]), 16, 32)
			if low < 0xdc00 || low > 0xdfff {
				return true
			}
			i += 6
		}
	}
	return false
}

// Item is one event of a batch, or why it is none.
type Item struct {
	Event *Event
	Err   error
}

// ReadBatch reads a batch: a JSON array of events (JSON format, section 4). One that is cut off or has too many is
// read not at all; of one that is whole, each event stands for itself. One longer than largest bytes is a fault.
func ReadBatch(body []byte, most, largest int) ([]Item, error) {
	if err := whole(body); err != nil {
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(body))
	if first, err := d.Token(); err != nil || first != json.Delim('[') {
		return nil, fault(Malformed, "a batch is a JSON array of events")
	}
	var items []Item
	for d.More() {
		if len(items) == most {
			return nil, fault(TooMany, "a batch holds %d events at most", most)
		}
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return nil, fault(Incomplete, "the JSON can't be read: %v", err)
		}
		var it Item
		if len(raw) > largest {
			it.Err = fault(TooLarge, "the event is over %d bytes", largest)
		} else {
			it.Event, it.Err = readObject(raw)
		}
		items = append(items, it)
	}
	if _, err := d.Token(); err != nil && err != io.EOF {
		return nil, fault(Incomplete, "the JSON can't be read: %v", err)
	}
	return items, nil
}
