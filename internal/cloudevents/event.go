// Package cloudevents reads and writes CloudEvents 1.0.2 (core, JSON event format, HTTP protocol binding). It does no
// I/O and knows no clock: a request's header and body go in, an event or a Fault comes out, and back.
//
// It is stricter than a reader must be wherever two readers could understand one request as two different events: attributes that
// occur twice, members of a JSON object that occur twice, names in the wrong case, text that is no UTF-8.
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

// Type is an attribute's type as far as the JSON format tells them apart (JSON format, section 2.2).
type Type uint8

// Types. Binary, URI, URI-reference and Timestamp are strings in JSON; HTTP headers hold strings only.
const (
	String Type = iota
	Integer
	Boolean
)

// DataFormat is the format of an event's data.
type DataFormat uint8

// Data formats. They tell how the data is encoded in JSON (JSON format, section 3.1); in a binary request it is the body.
const (
	NoData DataFormat = iota
	JSON              // Data is a JSON value
	Text              // Data is UTF-8, a string in JSON
	Bytes             // Data is any bytes, data_base64 in JSON
)

// Kind is what is wrong with a request.
type Kind uint8

// Kinds of faults.
const (
	Malformed   Kind = iota // the event breaks a rule of the specification
	Version                 // its specversion is not 1.0
	Media                   // its media type, or the charset, is not supported
	Incomplete              // the JSON ends early or is no JSON
	TooMany                 // a batch has more events than are allowed
	NotAnEvent              // the request does not claim to be an event
	TooLarge                // an event is longer than is allowed
	UnfitHeader             // the header of a binary event can't be read as an attribute
)

// Fault is why a request, or an event of a batch, can't be read.
type Fault struct {
	Kind Kind
	Text string
}

// Error returns the text for the client.
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

// add adds an attribute that was read. A second one of the same name is a fault.
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

// maxName bounds names. The specification asks for no more than 20 characters, which many senders overstep.
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

// Content appends what makes two submissions under one identity the same event: all of it but its extensions, which may differ by attempt
// (a trace, say), and JSON data without the white space that intermediaries may have changed.
func (e *Event) Content(b []byte) []byte {
	for _, name := range []string{"type", "subject", "time", "dataschema"} {
		v := e.Get(name)
		b = strconv.AppendInt(b, int64(len(v)), 10)
		b = append(append(b, ':'), v...)
	}
	kind := e.Get("datacontenttype")
	if kind == "" && e.DataFormat == JSON {
		kind = "application/json" // which is what its absence means
	}
	b = strconv.AppendInt(b, int64(len(kind)), 10)
	b = append(append(b, ':'), kind...)
	if e.DataFormat == JSON {
		var tight bytes.Buffer
		if json.Compact(&tight, e.Data) == nil {
			return append(b, tight.Bytes()...)
		}
	}
	return append(b, e.Data...)
}
