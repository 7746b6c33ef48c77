package encoding

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

func message() Message {
	return Message{ID: "7f00" + BatchTail, Class: "card-event", Member: "sea & sound", Key: "k 1%", Order: "r0-k1", Dest: 7,
		Expires: time.Date(2026, 12, 1, 10, 0, 0, 500, time.UTC), Body: []byte("some text")}
}

func parse(t *testing.T, raw []byte) (*http.Request, []byte) {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || int64(len(body)) != r.ContentLength {
		t.Fatalf("%d of %d bytes, %v", len(body), r.ContentLength, err)
	}
	return r, body
}

// A receiver reads what a client wrote in the same format, and detects any change to it and any other format.
func TestWriteAndRead(t *testing.T) {
	for _, f := range []Format{Binary, Structured, Batched} {
		r, body := parse(t, f.Request(message()))
		ids, err := f.Read(r.Header, body)
		if err != nil || len(ids) != 1 || ids[0] != "7f00-0" || r.URL.Path != Path {
			t.Errorf("%s: %v %v", f, ids, err)
		}
		if want := map[bool]string{true: "7f00", false: "7f00-0"}[f == Batched]; r.Header.Get("X-Request-Id") != want {
			t.Errorf("%s: id %q", f, r.Header.Get("X-Request-Id"))
		}
		for _, other := range []Format{Binary, Structured, Batched} {
			if _, err := other.Read(r.Header, body); (err == nil) != (other == f) {
				t.Errorf("%s read as %s: %v", f, other, err)
			}
		}
		for was, is := range map[string]string{"some text": "some texx", "card-event": "card-evenx", "dest/7": "dest/8", "r0-k1": "r0-k2", `"1.0"`: `"1.1"`, "7f00-0": "7f00-1"} {
			raw := bytes.ReplaceAll(f.Request(message()), []byte(was), []byte(is))
			if bytes.Equal(raw, f.Request(message())) {
				continue
			}
			r, body := parse(t, raw)
			if _, err := f.Read(r.Header, body); err == nil {
				t.Errorf("%s: no error with %s instead of %s", f, is, was)
			}
		}
	}
	r, body := parse(t, Binary.Request(message()))
	if ids, err := Plain.Read(r.Header, body); err != nil || ids[0] != "7f00-0" {
		t.Errorf("event at a plain receiver: %v %v", ids, err)
	}
	if _, err := Plain.Read(r.Header, []byte("other text")); err == nil {
		t.Error("no error for a corrupted event at a plain receiver")
	}
	if ids, err := Plain.Read(http.Header{"X-Request-Id": {"a"}}, nil); err != nil || ids[0] != "a" {
		t.Errorf("%v %v", ids, err)
	}
	made := http.Header{"Ce-Specversion": {"1.0"}, "Ce-Id": {"a"}, "Ce-Source": {"/sender"}, "Ce-Type": {"x"}} // made by the sender from a plain message
	if ids, err := Binary.Read(made, []byte{0}); err != nil || ids[0] != "a" {
		t.Errorf("%v %v", ids, err)
	}
	if _, err := Batched.Read(http.Header{"Content-Type": {"application/cloudevents-batch+json"}}, []byte("[]")); err == nil {
		t.Error("no error for a call without events")
	}
}

func TestTexts(t *testing.T) {
	rules := Rules([]Class{{"a", true, false, 8 * time.Second}, {"b", false, true, time.Second}})
	for _, want := range []string{`type = "rehearsal.a"`, `deadline = "8s"`, `key = "{ext.idkey}"`, `order = "{ext.orderkey}"`} {
		if strings.Count(rules, want) != 1 {
			t.Errorf("%q stands %d times in\n%s", want, strings.Count(rules, want), rules)
		}
	}
	if d := Delivery(map[string]Format{"x": Binary, "y": Plain, "z": ""}); strings.Count(d, "[[delivery.to]]") != 1 || !strings.Contains(d, `kinds = ["x"]`) {
		t.Error(d)
	}
	if Delivery(map[string]Format{"y": Plain}) != "" {
		t.Error("delivery text for plain receivers only, want none")
	}
	if Mixed.Of(0) != Plain || Mixed.Of(7) != Batched || Binary.Of(3) != Binary || Mixed.Known(false) || !Mixed.Known(true) || Format("xml").Known(true) {
		t.Error("Of or Known is wrong for a format")
	}
}
