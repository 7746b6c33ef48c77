package cloudevents

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"strconv"
	"unicode/utf8"
)

// AppendHeaders appends an event's header lines in binary mode, including Content-Type, each with its line end. The data is
// the request's body.
func (e *Event) AppendHeaders(b []byte) []byte {
	contentType := ""
	for _, a := range e.Attributes {
		if a.Name == "datacontenttype" {
			contentType = a.Value
			continue
		}
		b = append(append(append(b, "ce-"...), a.Name...), ": "...)
		b = append(escape(b, a.Value), "\r\n"...)
	}
	if contentType == "" && e.DataFormat == JSON {
		contentType = "application/json" // absence means JSON in the JSON format (section 3.1), but not in binary mode
	}
	if contentType != "" {
		b = append(append(append(b, "Content-Type: "...), contentType...), "\r\n"...)
	}
	return b
}

// escape percent-encodes a header's value (HTTP binding, section 3.1.3.2): spaces, quotes, percent signs and everything
// but printable ASCII.
func escape(b []byte, v string) []byte {
	const digits = "0123456789ABCDEF"
	for _, c := range []byte(v) {
		if c <= ' ' || c >= 0x7f || c == '"' || c == '%' {
			b = append(b, '%', digits[c>>4], digits[c&15])
			continue
		}
		b = append(b, c)
	}
	return b
}

// AppendJSON appends the event as a JSON object (JSON format, section 3).
func (e *Event) AppendJSON(b []byte) []byte {
	b = e.appendMembers(append(b, '{'))
	switch e.DataFormat {
	case JSON:
		b = append(b, `,"data":`...)
		var compact bytes.Buffer
		if json.Compact(&compact, e.Data) == nil { // white space is allowed, but costs bytes
			b = append(b, compact.Bytes()...)
		} else {
			b = append(b, "null"...) // can't happen: the data was valid JSON when it was read
		}
	case Text:
		b = appendString(append(b, `,"data":`...), string(e.Data))
	case Bytes:
		b = base64.StdEncoding.AppendEncode(append(b, `,"data_base64":"`...), e.Data)
		b = append(b, '"')
	case NoData:
	}
	return append(b, '}')
}

func (e *Event) appendMembers(b []byte) []byte {
	for i, a := range e.Attributes {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(append(append(b, '"'), a.Name...), `":`...)
		if a.Type == String {
			b = appendString(b, a.Value)
		} else {
			b = append(b, a.Value...)
		}
	}
	return b
}

// AppendBatch appends events as a JSON array (JSON format, section 4).
func AppendBatch(b []byte, events []*Event) []byte {
	b = append(b, '[')
	for i, e := range events {
		if i > 0 {
			b = append(b, ',')
		}
		b = e.AppendJSON(b)
	}
	return append(b, ']')
}

// ContentType returns the Content-Type of requests in a mode, or "" in binary mode, where AppendHeaders writes it.
func ContentType(m Mode) string {
	switch m {
	case StructuredMode:
		return structuredType + "; charset=utf-8"
	case BatchedMode:
		return batchType + "; charset=utf-8"
	default:
		return ""
	}
}

// appendString appends a JSON string. Plain ASCII comes first, as nearly all attributes are.
func appendString(b []byte, s string) []byte {
	b = append(b, '"')
	for i := 0; i < len(s); {
		c := s[i]
		switch {
		case c >= 0x20 && c < 0x7f && c != '"' && c != '\\':
			b = append(b, c)
			i++
		case c < utf8.RuneSelf:
			switch c {
			case '"', '\\':
				b = append(b, '\\', c)
			default:
				const digits = "0123456789abcdef"
				b = append(b, '\\', 'u', '0', '0', digits[c>>4], digits[c&15])
			}
			i++
		default:
			_, n := utf8.DecodeRuneInString(s[i:])
			b = append(b, s[i:i+n]...)
			i += n
		}
	}
	return append(b, '"')
}

// AppendHead appends the part of an event that is stored besides its data: a JSON object with the data format and attributes.
func (e *Event) AppendHead(b []byte) []byte {
	b = strconv.AppendInt(append(b, `{"form":`...), int64(e.DataFormat), 10)
	b = e.appendMembers(append(b, `,"attributes":{`...))
	return append(b, "}}"...)
}

// ReadHead reads an event written by AppendHead. The caller sets its data.
func ReadHead(raw []byte) (*Event, error) {
	var head struct {
		Form       DataFormat      `json:"form"`
		Attributes json.RawMessage `json:"attributes"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return nil, fault(Malformed, "an event's head can't be read: %v", err)
	}
	e, err := readObject(head.Attributes)
	if err != nil {
		return nil, err
	}
	if head.Form > Bytes {
		return nil, fault(Malformed, "an event's head has the form %d", head.Form)
	}
	e.DataFormat = head.Form
	return e, nil
}

// UnmarshalJSON reads an event written by AppendHead, without its data.
func (e *Event) UnmarshalJSON(raw []byte) error {
	got, err := ReadHead(raw)
	if err == nil {
		*e = *got
	}
	return err
}

// MarshalJSON writes the event as AppendHead does; the data is stored separately.
func (e *Event) MarshalJSON() ([]byte, error) { return e.AppendHead(nil), nil }
