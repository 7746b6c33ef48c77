package report

import (
	"encoding/xml"
	"errors"
	"io"
	"math"
	"strings"
	"testing"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/judge"
)

// log is a day of 12 s. Member a has one message a second, which is delivered after half a second, except that the message of
// second 3 is late and that of second 4 fails. Member b has one message, which is handed back and delivered at the second attempt.
func log() []eventlog.Event {
	const s = 1_000_000
	events := []eventlog.Event{{Kind: eventlog.World, Figures: &eventlog.Figures{Name: "x", Seconds: 12, SlowStart: 5000,
		Classes:   map[string]eventlog.Class{"c": {LatencyTarget: 1000, Deadline: 8000, Value: 0.25}},
		Receivers: []eventlog.Receiver{{Name: "r0"}, {Name: "<r1>"}}}}}
	call := int64(0)
	add := func(t int64, e eventlog.Event) { e.T = t; events = append(events, e) }
	message := func(t int64, msg, member string, after int64) {
		call++
		add(t, eventlog.Event{Kind: eventlog.HandIn, ID: msg + "-id", Msg: msg, Class: "c", Tenant: member})
		add(t+1, eventlog.Event{Kind: eventlog.Answer, ID: msg + "-id", Status: 202})
		add(t+2, eventlog.Event{Kind: eventlog.Call, ID: msg + "-id", Call: call})
		if after > 0 {
			add(t+after, eventlog.Event{Kind: eventlog.Done, ID: msg + "-id", Call: call, Status: 200})
		} else {
			add(t+s, eventlog.Event{Kind: eventlog.Done, ID: msg + "-id", Call: call, Status: 503})
			add(t+s, eventlog.Event{Kind: eventlog.Notice, ID: msg + "-id", Outcome: "given_up"})
		}
	}
	for i := range int64(12) {
		after := int64(s / 2)
		if i == 3 {
			after = 2 * s // late: half of its worth
		}
		if i == 4 {
			after = 0
		}
		message(i*s, string(rune('a'+i)), "a", after)
	}
	add(5*s, eventlog.Event{Kind: eventlog.HandIn, ID: "z1", Msg: "z", Class: "c", Tenant: "b"})
	add(5*s+1, eventlog.Event{Kind: eventlog.Answer, ID: "z1", Status: 503})
	add(6*s, eventlog.Event{Kind: eventlog.HandIn, ID: "z2", Msg: "z", Class: "c", Tenant: "b", Attempt: 1})
	add(6*s+1, eventlog.Event{Kind: eventlog.Answer, ID: "z2", Status: 202})
	add(6*s+2, eventlog.Event{Kind: eventlog.Call, ID: "z2", Call: 99, Dest: 1})
	add(8*s, eventlog.Event{Kind: eventlog.Done, ID: "z2", Call: 99, Dest: 1, Status: 200}) // 3 s: a quarter of its worth
	add(2*s, eventlog.Event{Kind: eventlog.FaultChanged, Dest: 1, Detail: "hang", State: "on"})
	add(2*s, eventlog.Event{Kind: eventlog.Outage, Dest: 1, State: "on"})
	add(4*s, eventlog.Event{Kind: eventlog.FaultChanged, Dest: 1, Detail: "hang", State: "off"})
	add(4*s, eventlog.Event{Kind: eventlog.Outage, Dest: 1, State: "off", Capacity: 5})
	add(7*s, eventlog.Event{Kind: eventlog.Killed, Sender: "n0"})
	add(8*s, eventlog.Event{Kind: eventlog.Ready, Sender: "n0"})
	add(12*s, eventlog.Event{Kind: eventlog.End})
	return events
}

func TestFigures(t *testing.T) {
	s := Make(log())
	near := func(what string, got, want float64) {
		t.Helper()
		if math.Abs(got-want) > 1e-9 {
			t.Errorf("%s: %v, want %v", what, got, want)
		}
	}
	near("share", s.ServedFraction, (10+0.5+0.25)/13)
	near("worst 10 s", s.Worst, (8+0.5+0.25)/11) // seconds 0 to 9, and the same from 1 and 2 on
	near("worst member", s.WorstMember.ServedFraction(), 0.25)
	if s.Messages != 13 || s.Delivered != 12 || s.Calls != 13 || s.HandIns != 14 || s.AboveLimit != 1 || s.Failed != 1 || s.WorstMember.Name != "b" {
		t.Errorf("%+v", s)
	}
	if s.Seconds[5].HandedBack != 1 || s.Seconds[5].Arrived != 2 || s.Seconds[5].Failed != 1 || s.Seconds[8].Delivered != 2 {
		t.Errorf("%+v", s.Seconds)
	}
	bands := map[string]Band{}
	for _, b := range s.Bands {
		bands[b.Kind] = b
	}
	if b := bands["trouble"]; b.Row != "<r1>" || b.From != 2 || b.To != 4 {
		t.Errorf("%+v", b)
	}
	if b := bands["cold"]; b.From != 4 || b.To != 9 {
		t.Errorf("%+v", b)
	}
	if b := bands["sender"]; b.Row != "n0" || b.From != 7 || b.To != 8 {
		t.Errorf("%+v", b)
	}
	// The call of message z is in flight at the second receiver from 6 to 8 s.
	if f := s.Flights[1].Out; f[29] != 0 || f[31] != 1 || f[39] != 1 || f[41] != 0 {
		t.Errorf("%v", f)
	}
}

// A receiver reaches its usual service rate after a burst when it serves four fifths of its capacity over half a second, or when it
// has served the whole burst.
func TestWoken(t *testing.T) {
	day := func(capacity float64, messages int, at ...float64) Woken {
		events := []eventlog.Event{{Kind: eventlog.World, Figures: &eventlog.Figures{Receivers: []eventlog.Receiver{{Name: "r0", Capacity: capacity}},
			Wakes: []eventlog.Wake{{AtMS: 10_000, Messages: messages}}}}}
		for _, s := range append([]float64{9.8, 9.9}, at...) { // calls served before the burst do not count
			events = append(events, eventlog.Event{T: int64(s * 1e6), Kind: eventlog.Done, Status: 200})
		}
		return Make(events).Woken[0]
	}
	for name, c := range map[string]struct {
		got  Woken
		want float64
	}{
		"at its pace":       {day(10, 100, 10.5, 11.5, 11.6, 11.7, 11.8, 11.9), 1.8}, // four within half a second
		"never at its pace": {day(10, 100, 10.5, 11.5, 12.5, 13.5), -1},
		"all of the burst":  {day(10, 3, 10.5, 11.5, 12.5, 13.5), 2.5},
		"low capacity":      {day(1, 100, 10.25), 0.25},
	} {
		if math.Abs(c.got.Usual-c.want) > 1e-6 || c.got.At != 10 {
			t.Errorf("%s: %+v, want %v", name, c.got, c.want)
		}
	}
	s := Summary{Woken: []Woken{{Receiver: "a", Usual: 1}, {Receiver: "b", Usual: 3}, {Receiver: "c", Usual: 2}}}
	if w, ok := s.WorstWoken(); !ok || w.Receiver != "b" {
		t.Errorf("%+v %v", w, ok)
	}
	s.Woken[0].Usual = -1
	if w, ok := s.WorstWoken(); ok || w.Receiver != "a" {
		t.Errorf("%+v %v", w, ok)
	}
}

// A successful call for a hand-in whose client stopped waiting for the answer does not count as a delivery.
func TestVoidHandInDeliversNothing(t *testing.T) {
	events := []eventlog.Event{{Kind: eventlog.World, Figures: &eventlog.Figures{Classes: map[string]eventlog.Class{"c": {LatencyTarget: 1000, Deadline: 8000}}}},
		{T: 1, Kind: eventlog.HandIn, ID: "a", Msg: "m", Class: "c"}, {T: 400_000, Kind: eventlog.Answer, ID: "a", Detail: "patience"},
		{T: 500_000, Kind: eventlog.Done, ID: "a", Status: 200}}
	if s := Make(events); s.Delivered != 0 || s.ServedFraction != 0 {
		t.Errorf("%+v", s)
	}
}

// The page is a well-formed document that escapes names, refers to no other file and shows the verdict.
func TestHTML(t *testing.T) {
	v, err := judge.Judge(log())
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := HTML(&b, v, Make(log())); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	for _, want := range []string{"INCONCLUSIVE", "&lt;r1&gt;", "hang, 2.0 to 4.0 s", "<polyline", "no message is lost"} {
		if !strings.Contains(page, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	for _, never := range []string{"<r1>", "src=", "href=", "<script", "NaN", "Inf", "ZgotmplZ"} {
		if strings.Contains(page, never) {
			t.Errorf("the page has %q", never)
		}
	}
	d := xml.NewDecoder(strings.NewReader(page[strings.Index(page, "<svg"):strings.Index(page, "</svg>")] + "</svg>"))
	for {
		if _, err := d.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
}

// A day without events gives a page without NaN.
func TestEmptyDay(t *testing.T) {
	var b strings.Builder
	if err := HTML(&b, judge.Report{}, Make(nil)); err != nil || strings.Contains(b.String(), "NaN") {
		t.Error(err)
	}
}
