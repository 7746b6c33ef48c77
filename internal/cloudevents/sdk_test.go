package cloudevents

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/cloudevents/sdk-go/v2/binding"
	"github.com/cloudevents/sdk-go/v2/event"
	cehttp "github.com/cloudevents/sdk-go/v2/protocol/http"
	"github.com/cloudevents/sdk-go/v2/types"
)

// The official Go SDK as a second opinion. Where the two differ, the difference is one of those judged below, or the
// test fails.

// stricter are the faults that we find and the SDK does not, by a part of our text, with the judgement.
var stricter = []string{
	"an attribute has no name",
	"more than once",                                                                                                  // the SDK takes the last member, the first header, or fails: two readers, two events
	"lower-case letters and digits",                                                                                   // core, Naming Conventions; the SDK takes upper case in JSON and more in headers
	"is longer than 64 bytes",                                                                                         // ours, and said so
	"holds the character",                                                                                             // core, String: no control characters, no noncharacters
	"half a character",                                                                                                // the SDK makes U+FFFD of it: ids that differ become equal
	"is empty",                                                                                                        // the SDK takes an empty extension, and an empty time as absent
	"holds a percent sign", "no URI does", "two fragments", "is no scheme", "has no scheme", "port that is no number", // RFC 3986; the SDK asks net/url, which takes nearly all
	"data_base64 is not Base64",          // line ends in it
	"data_base64 is not a string",        // the SDK takes null for absent
	"exclude each other",                 // the SDK takes the last
	"may be called",                      // an extension called data
	"an event has more than 256 members", // ours
	"is not UTF-8", "not UTF-8",          // the SDK replaces what is none
	"no time by RFC 3339",                      // the SDK takes an hour of one digit, and a comma before the fraction
	"not a whole number of 32 bits",            // the SDK takes numbers such as 1e3 and -0 for text
	"percent sign stands before",               // the SDK decodes nothing
	"quoted text is not closed",                // nor takes quotes off
	"neither printable nor UTF-8",              //
	"ce-datacontenttype",                       // the SDK knows an extension of that name
	"mime:", "is no media type", "plain ASCII", // the SDK looks at datacontenttype in structured mode only
	"is a JSON object or array",        // the SDK keeps some as text
	"an event is a JSON object",        // the SDK takes null for an empty event, which then lacks all: never accepted
	"the JSON can't be read",           // its JSON reader is milder than RFC 8259
	"is not a string",                  // the SDK makes text of a number or boolean
	"attribute specversion is missing", // so with null
	"specversion is",                   // 0.3 is a version of the SDK's
	"is missing",                       //
}

// milder are the SDK's errors for what we take, by a part of its text, with the judgement.
var milder = []string{
	"not in RFC3339 format",               // a leap second, or lower-case t and z, which RFC 3339, section 5.6, allows
	"MUST be a non-empty string",          // blanks alone: the SDK trims; the core asks for non-empty only
	"parse \"",                            // a URI that net/url can't read
	"failed to parse media type",          // blanks it does not take
	"ReadString:", "unexpected character", // it reads data "s" as text, and so fails at an object where it does not see that the type is JSON
	"invalid: the SDK panics", // at a header without a name
}

func listed(list []string, err error) bool {
	for _, part := range list {
		if strings.Contains(err.Error(), part) {
			return true
		}
	}
	return false
}

// notTakenForJSON is whether an event's data is JSON by its media type, and the SDK does not see that: it knows
// application/json, text/json and what ends with +json, which a parameter hides. It then reads data "s" as s, null as
// nothing, and fails at an object. The JSON format, section 3.1, goes by the subtype.
func notTakenForJSON(e *Event) bool {
	kind := e.Get("datacontenttype")
	return kind != "" && isJSON(kind) && kind != "application/json" && kind != "text/json" && !strings.HasSuffix(kind, "+json")
}

// uri is a text as the SDK keeps it: as net/url writes what it has read, the scheme in lower case; nothing if it can't
// read it. What goes on from here is what came.
func uri(v string) string {
	u, err := url.Parse(v)
	if err != nil {
		return ""
	}
	return u.String()
}

// same is how the SDK's event differs from ours; "" if it does not.
func same(e *Event, s *event.Event) string {
	text := func(name string, v any, want string) string {
		got, err := types.Format(v)
		if err != nil || got != want {
			return name + ": " + got + ", not " + want
		}
		return ""
	}
	extensions := 0
	for _, a := range e.Attributes {
		diff := ""
		switch a.Name {
		case "id":
			diff = text("id", s.ID(), a.Value)
		case "type":
			diff = text("type", s.Type(), a.Value)
		case "subject":
			diff = text("subject", s.Subject(), a.Value)
		case "source":
			diff = text("source", s.Source(), uri(a.Value))
		case "dataschema":
			diff = text("dataschema", s.DataSchema(), uri(a.Value))
		case "datacontenttype":
			diff = text("datacontenttype", s.DataContentType(), a.Value)
		case "specversion":
			diff = text("specversion", s.SpecVersion(), a.Value)
		case "time":
			at, err := time.Parse(time.RFC3339Nano, strings.ToUpper(a.Value))
			if err != nil || !at.Equal(s.Time()) {
				diff = "time: " + s.Time().String() + ", not " + a.Value
			}
		default:
			extensions++
			diff = text(a.Name, s.Extensions()[a.Name], a.Value)
		}
		if diff != "" {
			return diff
		}
	}
	if extensions != len(s.Extensions()) {
		return "there are other extensions"
	}
	if notTakenForJSON(e) {
		return ""
	}
	data := s.Data()
	if e.DataFormat == JSON {
		var a, b bytes.Buffer
		if json.Compact(&a, e.Data) == nil && json.Compact(&b, data) == nil && bytes.Equal(a.Bytes(), b.Bytes()) {
			return ""
		}
	}
	if !bytes.Equal(data, e.Data) {
		return "data: " + string(data) + ", not " + string(e.Data)
	}
	return ""
}

func againstSDK(t *testing.T, what string, e *Event, err error, s *event.Event, sdk error) {
	t.Helper()
	switch {
	case err != nil && sdk == nil && !listed(stricter, err):
		t.Errorf("%s: the SDK takes it, and we do not: %v", what, err)
	case err == nil && sdk != nil && !listed(milder, sdk):
		t.Errorf("%s: the SDK does not take it: %v", what, sdk)
	case err == nil && sdk == nil:
		if diff := same(e, s); diff != "" {
			t.Errorf("%s: %s", what, diff)
		}
	}
}

func sdkStructured(raw []byte) (*event.Event, error) {
	s := &event.Event{}
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, err
	}
	return s, s.Validate()
}

func sdkBinary(h http.Header, body []byte) (s *event.Event, err error) {
	defer func() {
		if p := recover(); p != nil { // at a header "ce-" without a name, for one
			err = fmt.Errorf("invalid: the SDK panics: %v", p)
		}
	}()
	m := cehttp.NewMessage(h, io.NopCloser(bytes.NewReader(body)))
	if m.ReadEncoding() != binding.EncodingBinary {
		return nil, errors.New("invalid: not binary")
	}
	s, err = binding.ToEvent(context.Background(), m)
	if err != nil {
		return nil, err
	}
	return s, s.Validate()
}

// Generated events, whole and with a byte changed here and there, read by both.
func TestReadStructured_AgreesWithSDK(t *testing.T) {
	r := rand.New(rand.NewPCG(9, 5))
	whole, spoilt := 0, 0
	for range 4000 {
		e := random(r)
		raw := e.AppendJSON(nil)
		s, sdk := sdkStructured(raw)
		if sdk != nil {
			if notTakenForJSON(e) {
				continue
			}
			t.Fatalf("%s: %v", raw, sdk)
		}
		if diff := same(e, s); diff != "" {
			t.Fatalf("%s: %s", raw, diff)
		}
		whole++
		raw[r.IntN(len(raw))] = byte(r.UintN(128))
		got, err := ReadStructured(raw)
		s, sdk = sdkStructured(raw)
		againstSDK(t, string(raw), got, err, s, sdk)
		if err != nil {
			spoilt++
		}
	}
	if whole < 3000 || spoilt < 500 {
		t.Errorf("%d whole, %d spoilt", whole, spoilt)
	}
}

// What the SDK writes is read as it is, and the other way round.
func TestEvent_SDKWritesAndReads(t *testing.T) {
	r := rand.New(rand.NewPCG(9, 6))
	for range 2000 {
		e := random(r)
		if notTakenForJSON(e) {
			continue
		}
		s, err := sdkStructured(e.AppendJSON(nil))
		if err != nil {
			t.Fatal(err)
		}
		raw, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		got, err := ReadStructured(raw)
		if err != nil {
			t.Fatalf("%s: %v", raw, err)
		}
		if diff := same(got, s); diff != "" {
			t.Fatalf("%s: %s", raw, diff)
		}
	}
}

func FuzzStructuredAgainstSDK(f *testing.F) {
	f.Add([]byte(`{` + minimalJSON + `,"data":{"a":1},"time":"2026-12-31T23:59:60Z"}`))
	f.Add([]byte(`{` + minimalJSON + `,"datacontenttype":"text/plain","data":"x","n":1,"b":false}`))
	f.Add([]byte(`{` + minimalJSON + `,"data_base64":"AAE="}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		e, err := ReadStructured(raw)
		s, sdk := sdkStructured(raw)
		againstSDK(t, string(raw), e, err, s, sdk)
	})
}

func FuzzBinaryAgainstSDK(f *testing.F) {
	f.Add("subject", "a", "text/plain", []byte("x"))
	f.Add("ext", "b%c", "application/json", []byte("{}"))
	f.Fuzz(func(t *testing.T, name, value, kind string, body []byte) {
		name = http.CanonicalHeaderKey("ce-" + name)
		for _, c := range []byte(name + value + kind) { // what a request's reader lets through
			if c < 0x20 || c == 0x7f {
				return
			}
		}
		value, kind = strings.TrimSpace(value), strings.TrimSpace(kind)
		if strings.ContainsAny(value, `%"`) { // the SDK decodes neither percent signs nor quotes
			return
		}
		h := header(minimalHeaders...)
		h[name] = append(h[name], value)
		if kind != "" {
			h["Content-Type"] = []string{kind}
		}
		e, err := ReadBinary(h, body)
		s, sdk := sdkBinary(h, body)
		againstSDK(t, name+": "+value, e, err, s, sdk)
	})
}
