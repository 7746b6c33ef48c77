package cloudevents

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// ReadStructured reads an event in structured mode: one JSON object (JSON format, section 3).
func ReadStructured(body []byte) (*Event, error) {
	if err := checkJSON(body); err != nil {
		return nil, err
	}
	return readObject(body)
}

// checkJSON returns a fault for a body that is not one JSON value in UTF-8 and nothing else.
func checkJSON(body []byte) error {
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

// readObject reads an event from valid JSON.
func readObject(raw []byte) (*Event, error) {
	e := &Event{Attributes: make([]Attribute, 0, 10)}
	var data, base []byte // as they are in the JSON; nil if absent
	err := forEachMember(raw, func(name string, v []byte) error {
		switch name {
		case "data":
			data = v
			return nil
		case "data_base64":
			base = v
			return nil
		}
		return e.addMember(name, v)
	})
	if err != nil {
		return nil, err
	}
	if err := e.check(); err != nil {
		return nil, err
	}
	if err := e.readData(data, base); err != nil {
		return nil, err
	}
	return e, nil
}

// addMember adds a member of the JSON object as an attribute.
func (e *Event) addMember(name string, v []byte) error {
	a := Attribute{Name: name}
	switch v[0] {
	case 'n': // null means absent (JSON format, section 2.2); only the name is checked
		return checkName(name)
	case 't', 'f':
		a.Type, a.Value = Boolean, string(v)
	case '"':
		s, err := parseString(v)
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
}

// readData sets the event's data from its members data and data_base64 (JSON format, section 3.1). An absent member is nil.
func (e *Event) readData(data, base []byte) error {
	contentType := e.Get("datacontenttype")
	isText := contentType != "" && !isJSON(contentType)
	switch {
	case data != nil && base != nil:
		return fault(Malformed, "data and data_base64 exclude each other")
	case base != nil:
		s, err := parseString(base)
		if base[0] != '"' || err != nil {
			return fault(Malformed, "data_base64 is not a string")
		}
		if e.Data, err = base64.StdEncoding.Strict().DecodeString(s); err != nil || strings.ContainsAny(s, "\r\n") {
			return fault(Malformed, "data_base64 is not Base64 by RFC 4648, section 4")
		}
		e.DataFormat = Bytes
	case data != nil && data[0] == '"' && isText:
		s, err := parseString(data)
		if err != nil {
			return fault(Malformed, "data: %v", err)
		}
		e.DataFormat, e.Data = Text, []byte(s)
	case data != nil && data[0] == 'n' && isText: // null instead of a text: there is no data
	case data != nil:
		e.DataFormat, e.Data = JSON, bytes.Clone(data)
	}
	return nil
}

// forEachMember calls f with each member of a valid JSON object, in order. A duplicate name, however it is escaped, is a Fault:
// readers differ on which of the two members they use.
func forEachMember(raw []byte, f func(name string, v []byte) error) error {
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

// maxMembers bounds the members of an event in JSON. In binary mode, the limit on a request's head bounds the attributes.
const maxMembers = 256

var (
	errSurrogate = errors.New("an escape stands for half a character")
	errNotString = errors.New("it is not a string")
)

// parseString reads a JSON string. It rejects the escape of a lone surrogate, which is no character: encoding/json replaces each by
// U+FFFD, so that different texts would become equal.
func parseString(raw []byte) (string, error) {
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		return "", errNotString
	}
	if strings.ContainsRune(s, utf8.RuneError) && !bytes.ContainsRune(raw, utf8.RuneError) && !bytes.Contains(bytes.ToLower(raw), []byte(`\ufffd`)) {
		return "", errSurrogate
	}
	if bytes.Contains(raw, []byte(`\u`)) && hasLoneSurrogate(raw) {
		return "", errSurrogate
	}
	return s, nil
}

// hasLoneSurrogate reports whether a valid JSON string contains the escape of a surrogate without its other half.
func hasLoneSurrogate(raw []byte) bool {
	for i := 0; i < len(raw); i++ {
		if raw[i] != '\\' {
			continue
		}
		if i++; i >= len(raw) || raw[i] != 'u' {
			continue
		}
		n, _ := strconv.ParseUint(string(raw[i+1:i+5]), 16, 32) // valid JSON has four digits here
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

// Item is one event of a batch, or the error if it can't be read.
type Item struct {
	Event *Event
	Err   error
}

// ReadBatch reads a batch: a JSON array of events (JSON format, section 4). A truncated batch, or one with more than maxEvents, is
// rejected as a whole. Otherwise each event succeeds or fails by itself; an event longer than maxBytes is a Fault.
func ReadBatch(body []byte, maxEvents, maxBytes int) ([]Item, error) {
	if err := checkJSON(body); err != nil {
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(body))
	if first, err := d.Token(); err != nil || first != json.Delim('[') {
		return nil, fault(Malformed, "a batch is a JSON array of events")
	}
	var items []Item
	for d.More() {
		if len(items) == maxEvents {
			return nil, fault(TooMany, "a batch holds %d events at most", maxEvents)
		}
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return nil, fault(Incomplete, "the JSON can't be read: %v", err)
		}
		var it Item
		if len(raw) > maxBytes {
			it.Err = fault(TooLarge, "the event is over %d bytes", maxBytes)
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
