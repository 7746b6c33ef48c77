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

// These tests compare this package with the official Go SDK. Where the two differ, the difference must be one of those listed and
// explained below.

// strictFaults lists parts of the texts of faults that this package reports and the SDK does not, with the reason.
var strictFaults = []string{
	"an attribute has no name",
	"more than once",                                                                                                  // the SDK uses the last member or the first header, or fails: two readers may see two events
	"lower-case letters and digits",                                                                                   // core, Naming Conventions; the SDK accepts upper case in JSON and more in headers
	"is longer than 64 bytes",                                                                                         // a limit of this package, stated in the text
	"holds the character",                                                                                             // core, String: no control characters, no noncharacters
	"half a character",                                                                                                // the SDK replaces it by U+FFFD, so that different ids become equal
	"is empty",                                                                                                        // the SDK accepts an empty extension, and treats an empty time as absent
	"holds a percent sign", "no URI does", "two fragments", "is no scheme", "has no scheme", "port that is no number", // RFC 3986; the SDK uses net/url, which accepts nearly everything
	"data_base64 is not Base64",          // contains line ends
	"data_base64 is not a string",        // the SDK treats null as absent
	"exclude each other",                 // the SDK uses the last one
	"may be called",                      // an extension named data
	"an event has more than 256 members", // a limit of this package
	"is not UTF-8", "not UTF-8",          // the SDK replaces invalid bytes
	"no time by RFC 3339",                      // the SDK accepts an hour of one digit, and a comma before the fraction
	"not a whole number of 32 bits",            // the SDK reads numbers such as 1e3 and -0 as text
	"percent sign stands before",               // the SDK does not decode percent-encoding
	"quoted text is not closed",                // the SDK does not unquote
	"neither printable nor UTF-8",              //
	"ce-datacontenttype",                       // the SDK reads an extension of that name
	"mime:", "is no media type", "plain ASCII", // the SDK checks datacontenttype only in structured mode
	"is a JSON object or array",        // the SDK reads some as text
	"an event is a JSON object",        // the SDK reads null as an empty event, which it rejects for missing attributes
	"the JSON can't be read",           // its JSON parser is more lenient than RFC 8259
	"is not a string",                  // the SDK converts a number or boolean to text
	"attribute specversion is missing", // the same with null
	"specversion is",                   // the SDK supports 0.3
	"is missing",                       //
}

// lenientErrors lists parts of the SDK's error texts for events that this package accepts, with the reason.
var lenientErrors = []string{
	"not in RFC3339 format",               // a leap second, or lower-case t and z, which RFC 3339, section 5.6, allows
	"MUST be a non-empty string",          // only white space: the SDK trims it; the core only requires a non-empty value
	"parse \"",                            // a URI that net/url can't read
	"failed to parse media type",          // white space that the SDK rejects
	"ReadString:", "unexpected character", // the SDK fails at an object if it does not recognize the media type as JSON (isJSONUnknownToSDK)
	"invalid: the SDK panics", // on a header without a name
}

func containsAny(list []string, err error) bool {
	for _, part := range list {
		if strings.Contains(err.Error(), part) {
			return true
		}
	}
	return false
}

// isJSONUnknownToSDK reports whether an event's media type denotes JSON, but the SDK does not recognize it. The SDK recognizes
// application/json, text/json and types that end with +json, but not with a parameter after it. For other types it reads data "s"
// as s, null as no data, and fails at an object. The JSON format, section 3.1, decides by the subtype.
func isJSONUnknownToSDK(e *Event) bool {
	contentType := e.Get("datacontenttype")
	return contentType != "" && isJSON(contentType) && contentType != "application/json" && contentType != "text/json" && !strings.HasSuffix(contentType, "+json")
}

// sdkURI returns a URI as the SDK represents it: parsed and formatted by net/url, with the scheme in lower case, or "" if net/url can't
// parse it. This package forwards the original text.
func sdkURI(v string) string {
	u, err := url.Parse(v)
	if err != nil {
		return ""
	}
	return u.String()
}

// eventDiff returns the first difference between the SDK's event and ours, or "" if there is none.
func eventDiff(e *Event, s *event.Event) string {
	text := func(name string, v any, want string) string {
		got, err := types.Format(v)
		if err != nil || got != want {
			return name + ": " + got + ", want " + want
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
			diff = text("source", s.Source(), sdkURI(a.Value))
		case "dataschema":
			diff = text("dataschema", s.DataSchema(), sdkURI(a.Value))
		case "datacontenttype":
			diff = text("datacontenttype", s.DataContentType(), a.Value)
		case "specversion":
			diff = text("specversion", s.SpecVersion(), a.Value)
		case "time":
			at, err := time.Parse(time.RFC3339Nano, strings.ToUpper(a.Value))
			if err != nil || !at.Equal(s.Time()) {
				diff = "time: " + s.Time().String() + ", want " + a.Value
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
		return "the SDK's event has other extensions"
	}
	if isJSONUnknownToSDK(e) {
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
		return "data: " + string(data) + ", want " + string(e.Data)
	}
	return ""
}

func compareWithSDK(t *testing.T, what string, e *Event, err error, s *event.Event, sdk error) {
	t.Helper()
	switch {
	case err != nil && sdk == nil && !containsAny(strictFaults, err):
		t.Errorf("%s: only the SDK accepts the event: %v", what, err)
	case err == nil && sdk != nil && !containsAny(lenientErrors, sdk):
		t.Errorf("%s: only the SDK rejects the event: %v", what, sdk)
	case err == nil && sdk == nil:
		if diff := eventDiff(e, s); diff != "" {
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
		if p := recover(); p != nil { // for example at a header "ce-" without a name
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

// Generated events, unchanged and with one byte changed, are read by this package and the SDK.
func TestReadStructured_AgreesWithSDK(t *testing.T) {
	r := rand.New(rand.NewPCG(9, 5))
	unchanged, rejected := 0, 0
	for range 4000 {
		e := randomEvent(r)
		raw := e.AppendJSON(nil)
		s, sdk := sdkStructured(raw)
		if sdk != nil {
			if isJSONUnknownToSDK(e) {
				continue
			}
			t.Fatalf("%s: %v", raw, sdk)
		}
		if diff := eventDiff(e, s); diff != "" {
			t.Fatalf("%s: %s", raw, diff)
		}
		unchanged++
		raw[r.IntN(len(raw))] = byte(r.UintN(128))
		got, err := ReadStructured(raw)
		s, sdk = sdkStructured(raw)
		compareWithSDK(t, string(raw), got, err, s, sdk)
		if err != nil {
			rejected++
		}
	}
	if unchanged < 3000 || rejected < 500 {
		t.Errorf("only %d unchanged events compared, %d changed ones rejected", unchanged, rejected)
	}
}

// Events written by this package and then by the SDK are read unchanged.
func TestEvent_SDKWritesAndReads(t *testing.T) {
	r := rand.New(rand.NewPCG(9, 6))
	for range 2000 {
		e := randomEvent(r)
		if isJSONUnknownToSDK(e) {
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
		if diff := eventDiff(got, s); diff != "" {
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
		compareWithSDK(t, string(raw), e, err, s, sdk)
	})
}

func FuzzBinaryAgainstSDK(f *testing.F) {
	f.Add("subject", "a", "text/plain", []byte("x"))
	f.Add("ext", "b%c", "application/json", []byte("{}"))
	f.Fuzz(func(t *testing.T, name, value, kind string, body []byte) {
		name = http.CanonicalHeaderKey("ce-" + name)
		for _, c := range []byte(name + value + kind) { // net/http rejects these characters in a header
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
		compareWithSDK(t, name+": "+value, e, err, s, sdk)
	})
}
