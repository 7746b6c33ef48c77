package cloudevents

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"reflect"
	"strings"
	"testing"
)

// header makes a request header from lines of "name: value".
func header(lines ...string) http.Header {
	h := http.Header{}
	for _, l := range lines {
		name, v, _ := strings.Cut(l, ": ")
		h.Add(name, v)
	}
	return h
}

var minimalHeaders = []string{"ce-specversion: 1.0", "ce-id: 1", "ce-source: /s", "ce-type: t"}

func with(more ...string) http.Header {
	return header(append(append([]string(nil), minimalHeaders...), more...)...)
}

// wantFault reports an error unless err is a Fault of the kind whose Text contains text.
func wantFault(t *testing.T, err error, kind Kind, text string) {
	t.Helper()
	var f *Fault
	if !errors.As(err, &f) || f.Kind != kind || !strings.Contains(f.Text, text) {
		t.Errorf("%v (%T), want kind %d with %q", err, err, kind, text)
	}
}

func TestModeOf(t *testing.T) {
	for text, want := range map[string]Mode{
		"application/cloudevents+json":                      StructuredMode,
		"Application/CloudEvents+JSON; charset=UTF-8":       StructuredMode,
		"application/cloudevents+json; charset=\"utf-8\"":   StructuredMode,
		"application/cloudevents-batch+json":                BatchedMode,
		"application/cloudevents-batch+json; charset=utf-8": BatchedMode,
	} {
		if m, err := ModeOf(header("Content-Type: " + text)); err != nil || m != want {
			t.Errorf("%s: mode %v, %v", text, m, err)
		}
	}
	if m, err := ModeOf(with("Content-Type: application/json")); err != nil || m != BinaryMode {
		t.Errorf("%v %v", m, err)
	}
	if m, err := ModeOf(with()); err != nil || m != BinaryMode { // no data, no Content-Type
		t.Errorf("%v %v", m, err)
	}
	for _, c := range []struct {
		h    http.Header
		kind Kind
		text string
	}{
		{header("Content-Type: application/cloudevents+xml"), Media, "are read as"},
		{header("Content-Type: application/cloudevents"), Media, "are read as"},
		{header("Content-Type: application/cloudevents+json; charset=utf-16"), Media, "utf-16"},
		{header("Content-Type: application/cloudevents+json", "Content-Type: text/plain"), Media, "more than once"},
		{header("Content-Type: application/cloudevents+json; charset"), Media, "Content-Type"},
		{header("Content-Type: application/json"), NotAnEvent, "ce-specversion"},
		{header(), NotAnEvent, "ce-specversion"},
	} {
		_, err := ModeOf(c.h)
		wantFault(t, err, c.kind, c.text)
	}
}

func TestReadBinary(t *testing.T) {
	h := with("Content-Type: text/plain; charset=utf-8", "ce-subject: Euro%20%E2%82%AC%20%F0%9F%98%80", "ce-time: 2026-12-01T10:00:00.5Z",
		"ce-dataschema: https://x.example/s", "Ce-Member: \"a \\\"b\\\" %25\"", "ce-raw: é", "X-Request-Id: 7")
	e, err := ReadBinary(h, []byte("hi"))
	if err != nil {
		t.Fatal(err)
	}
	want := &Event{DataFormat: Text, Data: []byte("hi"), Attributes: []Attribute{{"datacontenttype", String, "text/plain; charset=utf-8"},
		{"dataschema", String, "https://x.example/s"}, {"id", String, "1"}, {"member", String, `a "b" %`}, {"raw", String, "é"}, {"source", String, "/s"},
		{"specversion", String, "1.0"}, {"subject", String, "Euro € 😀"}, {"time", String, "2026-12-01T10:00:00.5Z"}, {"type", String, "t"}}}
	if !reflect.DeepEqual(e, want) {
		t.Errorf("%+v", e)
	}
	for _, c := range []struct {
		kind, body string
		form       DataFormat
	}{{"application/json", `{"a":1}`, JSON}, {"application/json", `{`, Bytes}, {"application/x+json", `1`, JSON}, {"", `1`, Bytes}, {"text/plain", "\xff", Bytes},
		{"text/plain; charset=latin1", "x", Bytes}, {"image/png", "x", Bytes}, {"application/json", "", NoData}} {
		lines := []string{}
		if c.kind != "" {
			lines = append(lines, "Content-Type: "+c.kind)
		}
		if e, err := ReadBinary(with(lines...), []byte(c.body)); err != nil || e.DataFormat != c.form {
			t.Errorf("%s %q: %+v %v", c.kind, c.body, e, err)
		}
	}
}

func TestReadBinary_Faults(t *testing.T) {
	for name, c := range map[string]struct {
		h    http.Header
		kind Kind
		text string
	}{
		"twice":               {with("ce-id: 2"), Malformed, "ce-id stands there more than once"},
		"twice, another case": {with("CE-ID: 2"), Malformed, "more than once"},
		"no id":               {header("ce-specversion: 1.0", "ce-source: /s", "ce-type: t"), Malformed, "id is missing"},
		"empty id":            {header("ce-specversion: 1.0", "ce-id: ", "ce-source: /s", "ce-type: t"), Malformed, "id is empty"},
		"no source":           {header("ce-specversion: 1.0", "ce-id: 1", "ce-type: t"), Malformed, "source is missing"},
		"no type":             {header("ce-specversion: 1.0", "ce-id: 1", "ce-source: /s"), Malformed, "type is missing"},
		"version":             {header("ce-specversion: 0.3", "ce-id: 1", "ce-source: /s", "ce-type: t"), Version, "0.3"},
		"datacontenttype":     {with("ce-datacontenttype: text/plain"), Malformed, "ce-datacontenttype"},
		"data":                {with("ce-data: x"), Malformed, `"data"`},
		"name":                {with("ce-some_thing: x"), Malformed, "some_thing"},
		"no name":             {with("ce-: x"), Malformed, "no name"},
		"long name":           {with("ce-" + strings.Repeat("a", 65) + ": x"), Malformed, "longer than 64"},
		"empty":               {with("ce-subject: "), Malformed, "subject is empty"},
		"raw bytes":           {with("ce-subject: \xe9"), UnfitHeader, "percent-encoded"},
		"control":             {with("ce-subject: a\tb"), UnfitHeader, "percent-encoded"},
		"encoded control":     {with("ce-subject: a%0D%0Ab"), Malformed, "U+000D"},
		"noncharacter":        {with("ce-subject: %EF%BF%BF"), Malformed, "U+FFFF"},
		"not UTF-8":           {with("ce-subject: %FF"), UnfitHeader, "UTF-8"},
		"percent":             {with("ce-subject: 50%"), UnfitHeader, "percent sign"},
		"percent, one digit":  {with("ce-subject: %4"), UnfitHeader, "percent sign"},
		"percent, no digits":  {with("ce-subject: %zz"), UnfitHeader, "percent sign"},
		"quoted":              {with(`ce-subject: "a`), UnfitHeader, "not closed"},
		"behind quoted":       {with(`ce-subject: "a"b`), UnfitHeader, "more stands behind"},
		"source no URI":       {header("ce-specversion: 1.0", "ce-id: 1", "ce-source: a%20b", "ce-type: t"), Malformed, "source"},
		"schema relative":     {with("ce-dataschema: /s"), Malformed, "no scheme"},
		"time":                {with("ce-time: 2026-12-01"), Malformed, "RFC 3339"},
		"time, comma":         {with("ce-time: 2026-12-01T10:00:00,5Z"), Malformed, "RFC 3339"},
		"time, no zone":       {with("ce-time: 2026-12-01T10:00:00"), Malformed, "RFC 3339"},
		"time, month":         {with("ce-time: 2026-13-01T10:00:00Z"), Malformed, "RFC 3339"},
		"media type":          {with("Content-Type: json"), Malformed, "datacontenttype"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ReadBinary(c.h, []byte("x"))
			wantFault(t, err, c.kind, c.text)
		})
	}
	for _, good := range []string{"2026-12-01T10:00:00Z", "2026-12-01t10:00:00z", "2026-12-31T23:59:60Z", "2026-12-01T10:00:00.123456789+05:30"} {
		if _, err := ReadBinary(with("ce-time: "+good), nil); err != nil {
			t.Errorf("%s: %v", good, err)
		}
	}
}

const minimalJSON = `"specversion":"1.0","id":"1","source":"/s","type":"t"`

func TestReadStructured(t *testing.T) {
	for text, want := range map[string]*Event{
		``:                              {},
		`,"data":{"a": [1, 2]}`:         {DataFormat: JSON, Data: []byte(`{"a": [1, 2]}`)},
		`,"data":"x"`:                   {DataFormat: JSON, Data: []byte(`"x"`)},
		`,"data":null`:                  {DataFormat: JSON, Data: []byte(`null`)},
		`,"data_base64":"AP8="`:         {DataFormat: Bytes, Data: []byte{0, 255}},
		`,"n":-7,"b":true,"u":"\u00e9"`: {Attributes: []Attribute{{"b", Boolean, "true"}, {"n", Integer, "-7"}, {"u", String, "é"}}},
		`,"subject":null`:               {},
	} {
		for _, a := range []Attribute{{"id", String, "1"}, {"source", String, "/s"}, {"specversion", String, "1.0"}, {"type", String, "t"}} {
			if err := want.add(a); err != nil {
				t.Fatal(err)
			}
		}
		e, err := ReadStructured([]byte(" {" + minimalJSON + text + "}\n"))
		if err != nil || !reflect.DeepEqual(e, want) {
			t.Errorf("%s: %+v, %v", text, e, err)
		}
	}
	e, err := ReadStructured([]byte(`{` + minimalJSON + `,"datacontenttype":"text/plain","data":"a\nb"}`))
	if err != nil || e.DataFormat != Text || string(e.Data) != "a\nb" {
		t.Errorf("%+v %v", e, err)
	}
	if e, err = ReadStructured([]byte(`{` + minimalJSON + `,"datacontenttype":"application/xml","data":{"a":1}}`)); err != nil || e.DataFormat != JSON {
		t.Errorf("%+v %v", e, err)
	}
}

func TestReadStructured_Faults(t *testing.T) {
	for text, c := range map[string]struct {
		kind Kind
		text string
	}{
		``:                                    {Incomplete, "byte"},
		`{` + minimalJSON:                     {Incomplete, "byte"},
		`{` + minimalJSON + `} {}`:            {Incomplete, "byte"},
		`[]`:                                  {Malformed, "object"},
		`"x"`:                                 {Malformed, "object"},
		"{\"id\":\"\xff\"}":                   {Malformed, "UTF-8"},
		`{` + minimalJSON + `,"id":"2"}`:      {Malformed, `"id" stands there more than once`},
		`{` + minimalJSON + `,"\u0069d":"2"}`: {Malformed, "more than once"},
		`{"id":null,` + minimalJSON + `}`:     {Malformed, "more than once"},
		`{` + minimalJSON + `,"data":1,"data":2}`:                  {Malformed, "more than once"},
		`{` + minimalJSON + `,"data":1,"data_base64":""}`:          {Malformed, "exclude each other"},
		`{` + minimalJSON + `,"data_base64":"A"}`:                  {Malformed, "Base64"},
		`{` + minimalJSON + `,"data_base64":"AA==\n"}`:             {Malformed, "Base64"},
		`{` + minimalJSON + `,"data_base64":"_-8="}`:               {Malformed, "Base64"},
		`{` + minimalJSON + `,"data_base64":1}`:                    {Malformed, "not a string"},
		`{` + minimalJSON + `,"Id":"2"}`:                           {Malformed, `"Id"`},
		`{` + minimalJSON + `,"a":1.5}`:                            {Malformed, "32 bits"},
		`{` + minimalJSON + `,"a":1e3}`:                            {Malformed, "32 bits"},
		`{` + minimalJSON + `,"a":2147483648}`:                     {Malformed, "32 bits"},
		`{` + minimalJSON + `,"a":{}}`:                             {Malformed, "object or array"},
		`{` + minimalJSON + `,"a":""}`:                             {Malformed, "a is empty"},
		`{` + minimalJSON + `,"a":"\ud800"}`:                       {Malformed, "half a character"},
		`{` + minimalJSON + `,"a":"\ud83d\ude00\udc00"}`:           {Malformed, "half a character"},
		`{` + minimalJSON + `,"a":"\u0000"}`:                       {Malformed, "U+0000"},
		`{"specversion":"1.0","id":1,"source":"/s","type":"t"}`:    {Malformed, "id is not a string"},
		`{"specversion":1.0,"id":"1","source":"/s","type":"t"}`:    {Malformed, "32 bits"},
		`{"specversion":"1.1","id":"1","source":"/s","type":"t"}`:  {Version, "1.1"},
		`{"specversion":"1.0","id":null,"source":"/s","type":"t"}`: {Malformed, "id is missing"},
		`{"id":"1","source":"/s","type":"t"}`:                      {Malformed, "specversion is missing"},
	} {
		_, err := ReadStructured([]byte(text))
		if err == nil {
			t.Errorf("%s: no error", text)
			continue
		}
		wantFault(t, err, c.kind, c.text)
	}
	var many strings.Builder
	for i := range maxMembers {
		fmt.Fprintf(&many, `,"a%d":1`, i)
	}
	_, err := ReadStructured([]byte(`{` + minimalJSON + many.String() + `}`))
	wantFault(t, err, Malformed, "more than 256 members")
}

func TestReadBatch(t *testing.T) {
	good := `{` + minimalJSON + `}`
	items, err := ReadBatch([]byte(`[`+good+`,{"id":"2"},7,`+good+`]`), 4, 1000)
	if err != nil || len(items) != 4 {
		t.Fatalf("%+v %v", items, err)
	}
	wantFault(t, items[1].Err, Malformed, "specversion")
	wantFault(t, items[2].Err, Malformed, "object")
	if items[0].Event == nil || !reflect.DeepEqual(items[0], items[3]) {
		t.Errorf("%+v", items)
	}
	if items, err := ReadBatch([]byte(` [ ] `), 4, 1000); err != nil || len(items) != 0 {
		t.Errorf("%+v %v", items, err)
	}
	items, err = ReadBatch([]byte(`[`+good+`]`), 4, len(good)-1)
	if err != nil {
		t.Fatal(err)
	}
	wantFault(t, items[0].Err, TooLarge, "over")
	for text, c := range map[string]struct {
		kind Kind
		text string
	}{
		good:                           {Malformed, "array"},
		`[` + good + `,` + good:        {Incomplete, "byte"},
		`[` + good + `,{"id":`:         {Incomplete, "byte"},
		`[` + good + `][` + good + `]`: {Incomplete, "byte"},
		"[\"\xff\"]":                   {Malformed, "UTF-8"},
		`[1,2,3,4,5]`:                  {TooMany, "4 events"},
	} {
		_, err := ReadBatch([]byte(text), 4, 1000)
		wantFault(t, err, c.kind, c.text)
	}
}

// randomEvent generates an event with any combination of attributes, extensions and data.
func randomEvent(r *rand.Rand) *Event {
	texts := []string{"a", "a b", `"`, `\`, "%", "%25", "€", "😀", "é\u00a0x", "<&>", "\u2028", "\ufffd", "x=y;z"}
	word := func() string {
		s := "w"
		for range r.IntN(4) {
			s += texts[r.IntN(len(texts))]
		}
		return s
	}
	e := &Event{}
	e.Set("specversion", "1.0")
	e.Set("id", word())
	e.Set("type", word())
	e.Set("source", []string{"/s", "urn:x:y", "https://a.example/b?c=d#e", "a%20b"}[r.IntN(4)])
	if r.IntN(2) == 0 {
		e.Set("subject", word())
	}
	if r.IntN(2) == 0 {
		e.Set("time", "2026-12-01T10:00:00.25+01:00")
	}
	if r.IntN(3) == 0 {
		e.Set("dataschema", "https://a.example/schema")
	}
	for i := range r.IntN(4) {
		e.Set(fmt.Sprintf("ext%d", i), word())
	}
	switch r.IntN(4) {
	case 1:
		e.DataFormat, e.Data = JSON, []byte([]string{`{"a":[1,"€\n"]}`, `"s"`, `null`, `-1.5e9`, `{"a":{"a":1}}`}[r.IntN(5)])
		e.Set("datacontenttype", []string{"application/json", "application/vnd.x+json; v=1"}[r.IntN(2)])
	case 2:
		e.DataFormat, e.Data = Text, []byte(word())
		e.Set("datacontenttype", []string{"text/plain", "text/xml; charset=utf-8"}[r.IntN(2)])
	case 3:
		e.DataFormat, e.Data = Bytes, []byte{0, 255, byte(r.Uint32())}
		e.Set("datacontenttype", []string{"application/octet-stream", "image/png"}[r.IntN(2)])
	}
	return e
}

// binaryRequest returns an event's request in binary mode, with the header as a server parses it.
func binaryRequest(t testing.TB, e *Event) (http.Header, []byte) {
	t.Helper()
	h := http.Header{}
	for _, l := range strings.Split(strings.TrimSuffix(string(e.AppendHeaders(nil)), "\r\n"), "\r\n") {
		name, v, _ := strings.Cut(l, ": ")
		h.Add(name, v)
	}
	return h, e.Data
}

// Generated events are unchanged after writing and reading, in every mode and in the stored form.
func TestEvent_RoundTrip(t *testing.T) {
	r := rand.New(rand.NewPCG(9, 1))
	for range 5000 {
		e := randomEvent(r)
		h, body := binaryRequest(t, e)
		if got, err := ReadBinary(h, body); err != nil || !reflect.DeepEqual(got, e) {
			t.Fatalf("binary: %+v, %v; was %+v", got, err, e)
		}
		e.Attributes = append(e.Attributes[:0:0], e.Attributes...)
		if r.IntN(2) == 0 { // types that only JSON can represent
			if i, ok := e.find("ext0"); ok {
				e.Attributes[i] = []Attribute{{"ext0", Integer, "-2147483648"}, {"ext0", Boolean, "false"}}[r.IntN(2)]
			}
		}
		raw := e.AppendJSON(nil)
		if !json.Valid(raw) {
			t.Fatalf("invalid JSON: %s", raw)
		}
		if got, err := ReadStructured(raw); err != nil || !reflect.DeepEqual(got, e) {
			t.Fatalf("structured: %+v, %v; was %+v", got, err, e)
		}
		items, err := ReadBatch(AppendBatch(nil, []*Event{e, e}), 2, 1<<20)
		if err != nil || len(items) != 2 || !reflect.DeepEqual(items[1].Event, e) {
			t.Fatalf("batch: %+v, %v; was %+v", items, err, e)
		}
		got, err := ReadHead(e.AppendHead(nil))
		if err != nil {
			t.Fatal(err)
		}
		if got.Data = e.Data; !reflect.DeepEqual(got, e) {
			t.Fatalf("head: %+v; was %+v", got, e)
		}
	}
}

// An event submitted again in another mode has the same content; an event with any change has different content.
func TestReadStructured_Content(t *testing.T) {
	r := rand.New(rand.NewPCG(9, 2))
	for range 1000 {
		e := randomEvent(r)
		h, body := binaryRequest(t, e)
		a, err := ReadBinary(h, body)
		if err != nil {
			t.Fatal(err)
		}
		b, err := ReadStructured(e.AppendJSON(nil))
		if err != nil {
			t.Fatal(err)
		}
		if x, y := a.Content(nil), b.Content(nil); !bytes.Equal(x, y) {
			t.Fatalf("binary content %q, structured content %q", x, y)
		}
		was := string(a.Content(nil))
		a.Set("traceparent", "00-1") // an extension may differ between attempts
		if string(a.Content(nil)) != was {
			t.Error("an extension counts as content")
		}
		for _, name := range []string{"type", "subject", "time", "dataschema", "datacontenttype"} {
			v := a.Get(name)
			a.Set(name, v+"x")
			if string(a.Content(nil)) == was {
				t.Errorf("%s does not count as content", name)
			}
			a.Set(name, v)
		}
		a.Data = append(a.Data, 'x')
		if string(a.Content(nil)) == was {
			t.Error("data does not count as content")
		}
	}
	a := &Event{DataFormat: JSON, Data: []byte(`{"a": 1}`)}
	b := &Event{DataFormat: JSON, Data: []byte(`{"a":1}`)}
	b.Set("datacontenttype", "application/json")
	if string(a.Content(nil)) != string(b.Content(nil)) {
		t.Error("white space in JSON, or the default media type written out, changes the content")
	}
}

func FuzzReadStructured(f *testing.F) {
	f.Add([]byte(`{` + minimalJSON + `,"data":{"a":1}}`))
	f.Add([]byte(`{` + minimalJSON + `,"datacontenttype":"text/plain","data":"\ud83d\ude00","n":1,"b":false}`))
	f.Add([]byte(`{` + minimalJSON + `,"data_base64":"AAE="}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		e, err := ReadStructured(raw)
		if err != nil {
			if !errors.As(err, new(*Fault)) {
				t.Errorf("%v is not a Fault", err)
			}
			return
		}
		again, err := ReadStructured(e.AppendJSON(nil))
		if err != nil {
			t.Fatalf("%s can be read, but not after it was written again: %v", raw, err)
		}
		if again.AppendJSON(nil); string(again.AppendJSON(nil)) != string(e.AppendJSON(nil)) {
			t.Errorf("written as %s, then as %s", e.AppendJSON(nil), again.AppendJSON(nil))
		}
		h, body := binaryRequest(t, e)
		if b, err := ReadBinary(h, body); err != nil || b.Get("id") != e.Get("id") || b.Get("source") != e.Get("source") {
			t.Errorf("the event does not survive binary mode: %+v %v", b, err)
		}
	})
}

func FuzzReadBinary(f *testing.F) {
	f.Add("ce-subject", "a%20b", "text/plain", []byte("x"))
	f.Add("ce-ext", `"q\"q"`, "application/json", []byte("{}"))
	f.Fuzz(func(t *testing.T, name, value, kind string, body []byte) {
		h := header(minimalHeaders...)
		h.Add(name, value)
		h.Add("Content-Type", kind)
		e, err := ReadBinary(h, body)
		if err != nil {
			if !errors.As(err, new(*Fault)) {
				t.Errorf("%v is not a Fault", err)
			}
			return
		}
		h2, body2 := binaryRequest(t, e)
		again, err := ReadBinary(h2, body2)
		if err != nil || !reflect.DeepEqual(again, e) {
			t.Errorf("%+v, %v; was %+v", again, err, e)
		}
	})
}

func FuzzReadBatch(f *testing.F) {
	f.Add([]byte(`[{` + minimalJSON + `},7]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		items, err := ReadBatch(raw, 10, 1000)
		if err != nil {
			return
		}
		for _, it := range items {
			if (it.Event == nil) == (it.Err == nil) {
				t.Errorf("%+v", it)
			}
		}
	})
}

func BenchmarkReadBinary(b *testing.B) {
	e := randomEvent(rand.New(rand.NewPCG(9, 3)))
	h, body := binaryRequest(b, e)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ReadBinary(h, body); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkReadStructured(b *testing.B) {
	raw := randomEvent(rand.New(rand.NewPCG(9, 3))).AppendJSON(nil)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ReadStructured(raw); err != nil {
			b.Fatal(err)
		}
	}
}
