// Package cloudevents reads and writes CloudEvents 1.0.2 (core, JSON event format, HTTP protocol binding). It does no
// I/O and reads no clock: it converts the header and body of a request to an event or a Fault, and an event to a header and body.
//
// It is stricter than the specification requires wherever two readers could take one request for two different events: duplicate
// attributes, duplicate members of a JSON object, names in the wrong case, text that is not UTF-8.
package cloudevents

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"unicode/utf8"
)

// Event is one event, in canonical form: attributes are sorted by name.
type Event struct {
	Attributes []Attribute
	DataFormat DataFormat
	Data       []byte
}

// Attribute is a context attribute or an extension (core, "Context Attributes"). Value is its canonical string.
type Attribute struct {
	Name  string
	Type  Type
	Value string
}

// Type is an attribute's type, as far as the JSON format distinguishes types (JSON format, section 2.2).
type Type uint8

// Types. Binary, URI, URI-reference and Timestamp are strings in JSON; HTTP headers hold strings only.
const (
	String Type = iota
	Integer
	Boolean
)

// DataFormat is the format of an event's data.
type DataFormat uint8

// Data formats. They determine how the data is encoded in JSON (JSON format, section 3.1). In a binary request the data is the body.
const (
	NoData DataFormat = iota
	JSON              // Data is a JSON value
	Text              // Data is UTF-8, a string in JSON
	Bytes             // Data is arbitrary bytes, data_base64 in JSON
)

// Kind is the kind of a Fault.
type Kind uint8

// Kinds of faults.
const (
	Malformed   Kind = iota // the event violates the specification
	Version                 // its specversion is not 1.0
	Media                   // its media type, or the charset, is not supported
	Incomplete              // the body is truncated or not JSON
	TooMany                 // a batch has more events than allowed
	NotAnEvent              // the request does not claim to be an event
	TooLarge                // an event is larger than allowed
	UnfitHeader             // the header of a binary event can't be read as an attribute
)

// Fault is the reason why a request, or an event of a batch, can't be read.
type Fault struct {
	Kind Kind
	Text string
}

// Error returns the text for the client.
func (f *Fault) Error() string { return f.Text }

func fault(kind Kind, format string, args ...any) error {
	return &Fault{kind, fmt.Sprintf(format, args...)}
}

// Get returns the value of an attribute, or "" if the event does not have it. No attribute has an empty value.
func (e *Event) Get(name string) string {
	if i, ok := e.find(name); ok {
		return e.Attributes[i].Value
	}
	return ""
}

// find searches linearly, as an event has few attributes. It returns the index of an attribute, or the index to insert it.
func (e *Event) find(name string) (int, bool) {
	for i := range e.Attributes {
		if n := e.Attributes[i].Name; n >= name {
			return i, n == name
		}
	}
	return len(e.Attributes), false
}

// Set sets an attribute; an empty value removes it.
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

// add adds an attribute that was read. A duplicate name is a Fault.
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

// maxName bounds names. The specification recommends at most 20 characters, which many producers exceed.
const maxName = 64

// dataFormatOf returns the format of the body of a binary event.
func dataFormatOf(contentType string, body []byte) DataFormat {
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

// Content appends the content by which two submissions with one identity are compared. It excludes extensions, which may differ between
// attempts (such as a trace), and white space in JSON data, which intermediaries may change.
func (e *Event) Content(b []byte) []byte {
	for _, name := range []string{"type", "subject", "time", "dataschema"} {
		v := e.Get(name)
		b = strconv.AppendInt(b, int64(len(v)), 10)
		b = append(append(b, ':'), v...)
	}
	contentType := e.Get("datacontenttype")
	if contentType == "" && e.DataFormat == JSON {
		contentType = "application/json" // the default if the attribute is absent
	}
	b = strconv.AppendInt(b, int64(len(contentType)), 10)
	b = append(append(b, ':'), contentType...)
	if e.DataFormat == JSON {
		var compact bytes.Buffer
		if json.Compact(&compact, e.Data) == nil {
			return append(b, compact.Bytes()...)
		}
	}
	return append(b, e.Data...)
}
