package sender

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cloudevents/sdk-go/v2/binding"
	ceclient "github.com/cloudevents/sdk-go/v2/client"
	"github.com/cloudevents/sdk-go/v2/event"
	"github.com/cloudevents/sdk-go/v2/protocol"
	cehttp "github.com/cloudevents/sdk-go/v2/protocol/http"
	"github.com/cloudevents/sdk-go/v2/types"

	"saffronyard.example/saffronyard/internal/calls"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

// sdkEvent returns a random event of the SDK. The SDK writes and reads headers without percent-encoding, so in binary mode
// values are limited to those that need none, and extensions to strings.
func sdkEvent(t *testing.T, r *rand.Rand, n int, binary bool) event.Event {
	t.Helper()
	word := func() string {
		if binary {
			return []string{"a", "a-b", "x=1;y", "[z]", "{q}", "<&>"}[r.IntN(6)]
		}
		return []string{"a b", "50%", "é€😀", `"q"`, `\`, "\u2028"}[r.IntN(6)]
	}
	e := event.New()
	e.SetID(fmt.Sprintf("%d-%s", n, word()))
	e.SetSource("https://a.example/s?x=1")
	e.SetType("keyed")
	e.SetSubject("0")
	if r.IntN(2) == 0 {
		e.SetTime(time.Date(2026, 12, 1, 10, 0, r.IntN(60), r.IntN(1e9), time.UTC))
	}
	if r.IntN(3) == 0 {
		e.SetDataSchema("https://a.example/schema")
	}
	e.SetExtension("word", word())
	if !binary {
		e.SetExtension("number", r.Int32()-r.Int32())
		e.SetExtension("flag", r.IntN(2) == 0)
	}
	var err error
	switch r.IntN(4) {
	case 0:
		err = e.SetData("application/json", map[string]any{"a": r.IntN(10), "b": []string{"é", "\n"}})
	case 1:
		err = e.SetData("text/plain", "some text, é")
	case 2:
		err = e.SetData("application/octet-stream", []byte{0, 255, '\r', '\n'})
	}
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// sdkTransport returns a transport for one SDK client. The default one is shared: closing any httptest.Server breaks connections of
// it that are just being taken into use.
func sdkTransport(t *testing.T) *http.Transport {
	t.Helper()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

// eventDiff returns how two events of the SDK differ; "" if they do not.
func eventDiff(a, b event.Event) string {
	if a.ID() != b.ID() || a.Source() != b.Source() || a.Type() != b.Type() || a.Subject() != b.Subject() || !a.Time().Equal(b.Time()) ||
		a.DataSchema() != b.DataSchema() || a.DataContentType() != b.DataContentType() {
		return "attributes"
	}
	if !bytes.Equal(a.Data(), b.Data()) {
		return fmt.Sprintf("data %q and %q", a.Data(), b.Data())
	}
	x, y := a.Extensions(), b.Extensions()
	for name, v := range x {
		s1, err1 := types.Format(v)
		s2, err2 := types.Format(y[name])
		if err1 != nil || err2 != nil || s1 != s2 {
			return fmt.Sprintf("extension %s: %v and %v", name, v, y[name])
		}
	}
	if len(x) != len(y) {
		return "number of extensions"
	}
	return ""
}

// Events that the official Go SDK submits, in all modes, are received by the SDK unchanged, in all forms.
func TestSDK_RoundTrip(t *testing.T) {
	t.Parallel()
	for _, in := range []string{"binary", "structured", "batched"} {
		for _, out := range []string{calls.Plain, calls.Binary, calls.Structured, calls.Batched} {
			t.Run(in+" to "+out, func(t *testing.T) {
				t.Parallel()
				got := make(chan event.Event, 1000)
				receiver := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if out == calls.Batched {
						all, err := cehttp.NewEventsFromHTTPRequest(r)
						if err != nil {
							t.Errorf("the SDK can't read the request: %v", err)
						}
						for _, e := range all {
							got <- e
						}
						return
					}
					e, err := cehttp.NewEventFromHTTPRequest(r)
					if err != nil || e.Validate() != nil {
						t.Errorf("the SDK can't read the request: %v %v", err, e)
						return
					}
					got <- *e
				}))
				t.Cleanup(receiver.Close)
				addr := run(t, st.NewPlatform(t, strings.TrimPrefix(receiver.URL, "http://")), combineEdits(acceptEvents,
					delivers(calls.Target{Form: out, BatchEvents: 5, BatchBytes: 65536}), func(c *Config) {
						c.Settings.MaxPending = 1000
						c.Settings.MaxAttempts = 1 // with more, an attempt may be repeated on a slow machine, and the event would rightly arrive twice
					}))
				p, err := cehttp.New(cehttp.WithTarget("http://"+addr+"/events"), cehttp.WithRoundTripper(sdkTransport(t)))
				if err != nil {
					t.Fatal(err)
				}
				c, err := ceclient.New(p)
				if err != nil {
					t.Fatal(err)
				}
				r := rand.New(rand.NewPCG(9, 7))
				binary := in == "binary" || out == calls.Binary || out == calls.Plain
				var sent []event.Event
				for n := range 60 {
					sent = append(sent, sdkEvent(t, r, n, binary))
				}
				switch in {
				case "batched":
					for i := 0; i < len(sent); i += 10 {
						req, err := cehttp.NewHTTPRequestFromEvents(context.Background(), "http://"+addr+"/events", sent[i:i+10])
						if err != nil {
							t.Fatal(err)
						}
						if resp, text := st.Do(t, req); resp.StatusCode != 202 {
							t.Fatalf("%s %s", resp.Status, text)
						}
					}
				default:
					ctx := binding.WithForceBinary(context.Background())
					if in == "structured" {
						ctx = binding.WithForceStructured(context.Background())
					}
					for _, e := range sent {
						if res := c.Send(ctx, e); !protocol.IsACK(res) {
							t.Fatalf("%v: %v", res, e)
						}
					}
				}
				arrived := map[string]event.Event{}
				for len(arrived) < len(sent) {
					e := st.Receive(t, got)
					if _, twice := arrived[e.ID()]; twice {
						t.Errorf("%s arrives twice", e.ID())
					}
					arrived[e.ID()] = e
				}
				for _, e := range sent {
					if diff := eventDiff(e, arrived[e.ID()]); diff != "" {
						t.Errorf("%s\nsent    %v\narrived %v", diff, e, arrived[e.ID()])
					}
				}
			})
		}
	}
}

// The SDK gets the status of a rejection and of an error.
func TestSDK_Rejections(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), func(c *Config) {
		acceptEvents(c)
		c.Events.MaxRemembered = 1
	})
	p, err := cehttp.New(cehttp.WithTarget("http://"+addr+"/events"), cehttp.WithRoundTripper(sdkTransport(t)))
	if err != nil {
		t.Fatal(err)
	}
	c, err := ceclient.New(p)
	if err != nil {
		t.Fatal(err)
	}
	status := func(id, kind string) int {
		ev := event.New()
		ev.SetID(id)
		ev.SetSource("/s")
		ev.SetType(kind)
		ev.SetSubject("0")
		var res *cehttp.Result
		if err := c.Send(context.Background(), ev); !protocol.ResultAs(err, &res) {
			t.Fatalf("%v", err)
		}
		return res.StatusCode
	}
	got := []int{status("1", "safe"), status("2", "safe"), status("3", "other")}
	if want := []int{202, 503, 422}; !reflect.DeepEqual(got, want) {
		t.Errorf("statuses %v, want %v", got, want)
	}
	if raw, err := json.Marshal(e.Next(t).Header); err != nil || !strings.Contains(string(raw), "Ce-Id") {
		t.Errorf("the endpoint got headers %s", raw)
	}
}
