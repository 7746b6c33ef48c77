package sender

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"

	st "saffronyard.example/saffronyard/internal/sendertest"
)

// Each event of a batch is accepted or rejected separately, and the answer has a result for each, in order.
func TestEventBatch_Results(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), acceptEvents)
	submitEvent(t, addr, "before", "keyed", 202)
	batch := `[` + strings.Join([]string{eventJSON("a", "keyed", ""), `{"id":"b"}`, eventJSON("before", "keyed", `,"data":{"n":1}`),
		eventJSON("c", "ask.order", ""), eventJSON("a", "keyed", ""), eventJSON("a", "keyed", `,"data":1`), `7`, eventJSON("d", "safe", "")}, ",") + `]`
	resp, text := post(t, addr, someJSON, batch)
	var got []eventResult
	if err := json.Unmarshal([]byte(text), &got); err != nil || resp.Header.Get("Content-Type") != "application/json" {
		t.Fatalf("%s %s: %v", resp.Status, text, err)
	}
	want := []struct {
		id     string
		status []int
	}{{"a", []int{202}}, {"", []int{400}}, {"before", []int{202, 200}}, {"c", []int{422}}, {"a", []int{202, 200}}, {"a", []int{409}}, {"", []int{400}}, {"d", []int{202}}}
	if len(got) != len(want) {
		t.Fatalf("%s", text)
	}
	for i, w := range want {
		ok := false
		for _, s := range w.status {
			ok = ok || got[i].Status == s
		}
		if !ok || got[i].ID != w.id {
			t.Errorf("event %d: %+v, want %+v", i, got[i], w)
		}
	}
	if resp.StatusCode != 422 {
		t.Errorf("the batch is answered %s", resp.Status)
	}
	seen := map[string]int{}
	for range 3 {
		seen[e.Next(t).Header.Get("Ce-Id")]++
	}
	if seen["before"] != 1 || seen["a"] != 1 || seen["d"] != 1 {
		t.Errorf("sent: %v", seen)
	}
	if resp, text := post(t, addr, someJSON, "[]"); resp.StatusCode != 200 || text != "[]\n" {
		t.Errorf("an empty batch: %s %s", resp.Status, text)
	}
}

func TestEventBatch_Status(t *testing.T) {
	for _, c := range []struct {
		all  []int
		want int
	}{{nil, 200}, {[]int{200, 200}, 200}, {[]int{200, 202}, 202}, {[]int{202, 200}, 202}, {[]int{202, 400, 200}, 400}, {[]int{400, 503, 500}, 503},
		{[]int{500, 202, 409}, 500}, {[]int{422, 400}, 422}, {[]int{202, 503}, 503}} {
		var all []eventResult
		for _, s := range c.all {
			all = append(all, eventResult{Status: s})
		}
		if got := batchStatus(all); got != c.want {
			t.Errorf("%v: %d, want %d", c.all, got, c.want)
		}
	}
}

// If a batch is larger than the room in the journal, the events that fit are accepted, and the others and the batch itself are
// answered 503. When the batch is submitted again, the accepted events count as repeats.
func TestEventBatch_LargerThanJournal(t *testing.T) {
	t.Parallel()
	statuses := make(chan int)
	e := st.NewEndpoint(t, gate(statuses))
	addr := run(t, st.NewPlatform(t, e.Addr), func(c *Config) {
		acceptEvents(c)
		c.Limits.DiskMB = 0.8
		c.Settings.MaxPending = 100
	})
	data := strings.Repeat("x", 50_000)
	var all []string
	for i := range 5 {
		all = append(all, eventJSON(strconv.Itoa(i), "keyed", `,"data":"`+data+`"`))
	}
	submit := func() (int, []eventResult) {
		resp, text := post(t, addr, someJSON, `[`+strings.Join(all, ",")+`]`)
		var got []eventResult
		if err := json.Unmarshal([]byte(text), &got); err != nil || len(got) != len(all) {
			t.Fatalf("%s %s: %v", resp.Status, text, err)
		}
		return resp.StatusCode, got
	}
	status, first := submit()
	accepted := map[string]string{}
	for i, a := range first {
		switch {
		case a.Status == 202:
			accepted[strconv.Itoa(i)] = a.MessageID
		case a.Status != 503 || a.RetryAfterMS <= 0 || !strings.Contains(a.Text, "room"):
			t.Errorf("event %d: %+v", i, a)
		}
	}
	if status != 503 || len(accepted) == 0 || len(accepted) == len(all) {
		t.Fatalf("status %d, %d of %d events are accepted", status, len(accepted), len(all))
	}
	_, again := submit()
	for i, a := range again {
		if id := accepted[strconv.Itoa(i)]; id != "" && (a.Status != 202 || a.MessageID != id) {
			t.Errorf("event %d again: %+v, was %s", i, a, id)
		}
	}
	close(statuses)
}
