package controlplane

import (
	"bytes"
	"fmt"
	"maps"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// operatorsWireFile lists calls of operators and their answers as returned by the program of revision eea23b3.
const operatorsWireFile = "testdata/operators_wire.txt"

// wireLog collects calls and their answers.
type wireLog struct {
	harness *harness
	text    strings.Builder
}

// call makes a call and records its answer: status, headers in the order of their names, and body.
func (l *wireLog) call(title, method, path string, header map[string]string, body string) *httptest.ResponseRecorder {
	w := l.harness.call(method, path, header, strings.NewReader(body))
	fmt.Fprintf(&l.text, "# %s\n%s %s\n%d\n", title, method, path, w.Code)
	for _, name := range slices.Sorted(maps.Keys(w.Header())) {
		fmt.Fprintf(&l.text, "%s: %s\n", name, strings.Join(w.Header()[name], ", "))
	}
	fmt.Fprintf(&l.text, "%s\n\n", w.Body)
	return w
}

func (l *wireLog) replace(title, base string, body []byte) {
	l.call(title, "POST", "Configuration.Replace", map[string]string{"X-Base-Revision": base}, string(body))
}

func (l *wireLog) retire(title, node, body string) {
	l.call(title, "POST", "Retire.Create/"+node, nil, body)
}

func (l *wireLog) describeRetire(title, node string) {
	l.call(title, "GET", "Retire.Describe/"+node, nil, "")
}

// Answers to operators stay the same, byte for byte.
func TestOperatorsWire_Unchanged(t *testing.T) {
	l := &wireLog{}
	withHarness(t, func(h *harness) {
		l.harness = h
		l.callsBeforeTurnStores()
		l.configurationCalls()
		l.retireCalls()
		l.callsDuringFaults()
	})
	compareGolden(t, l.text.String(), operatorsWireFile)
}

func (l *wireLog) callsBeforeTurnStores() {
	l.call("no configuration yet", "GET", "Configuration.Describe", nil, "")
	l.describeRetire("no order yet", "v1")
	l.call("unknown call", "POST", "Configuration.Other", nil, "")
	l.call("call without its argument", "POST", "Retire.Create", nil, "{}")
	l.call("call with an argument too many", "GET", "Configuration.Describe/x", nil, "")
	l.call("wrong method", "GET", "Configuration.Replace", nil, "")
	l.call("wrong method", "POST", "Configuration.Describe", nil, "")
	l.call("wrong method", "GET", "Retire.Create/v1", nil, "")
	l.call("wrong method", "PUT", "Retire.Describe/v1", nil, "")
}

func (l *wireLog) configurationCalls() {
	body := configuration(3, "s")
	l.replace("the first", "0", body)
	l.replace("the same again", "0", body)
	l.replace("the same on another base", " 7 ", body)
	l.replace("another on a base that is over", "0", configuration(3, "other"))
	l.replace("not above", "3", configuration(3, "other"))
	l.replace("below", "3", configuration(2, "other"))
	l.replace("on a base that is not there yet", "9", configuration(10, "other"))
	l.replace("the next", "3", configuration(7, "s"))
	l.replace("one before again", "0", body)
	l.call("read back", "GET", "Configuration.Describe", nil, "")
	l.call("no base", "POST", "Configuration.Replace", nil, string(configuration(8, "s")))
	l.replace("a base that is no number", "x", configuration(8, "s"))
	l.replace("an empty body", "7", nil)
	l.replace("no JSON", "7", []byte("{"))
	l.replace("a JSON string", "7", []byte(`"x"`))
	l.replace("no revision", "7", []byte("{}"))
	l.replace("half of it", "7", body[:len(body)/2])
	l.replace("a route's time-out is out of bounds", "7", bytes.Replace(configuration(8, "s"), []byte(`"timeout_ms":1000`), []byte(`"timeout_ms":0`), 1))
	l.replace("a route to no service", "7", bytes.Replace(configuration(8, "s"), []byte(`"service_name":"s"`), []byte(`"service_name":"t"`), 1))
	l.replace("too large", "7", append(configuration(8, "s"), bytes.Repeat([]byte(" "), 5<<20)...))
}

func (l *wireLog) retireCalls() {
	h := l.harness
	l.retire("right after a takeover", "v1", `{"duration_s":10}`)
	for _, node := range []string{"v1", "v2", "v3"} {
		h.join(roleTurnStore, node, func(p *testProcess) { p.acknowledgeDelay = 50 * time.Millisecond })
	}
	h.advance(2 * time.Second)
	l.retire("unknown machine", "v9", `{"duration_s":10}`)
	l.retire("no JSON", "v1", "{")
	l.retire("a duration that is no number", "v1", `{"duration_s":"x"}`)
	l.retire("too large", "v1", strings.Repeat(" ", 1<<17))
	l.describeRetire("not ordered", "v1")
	l.retire("the first", "v1", `{"duration_s":10}`)
	l.retire("the same again", "v1", `{"duration_s":10}`)
	l.retire("without a body", "v1", "")
	l.retire("too few would remain", "v2", `{"duration_s":10}`)
	l.describeRetire("under way", "v1")
	h.advance(10 * time.Second)
	l.describeRetire("over", "v1")
	l.retire("the same again, over", "v1", `{"duration_s":10}`)
}

func (l *wireLog) callsDuringFaults() {
	h := l.harness
	all := func(state string) {
		l.replace(state, "7", configuration(8, "s"))
		l.replace(state+", taken before", "0", configuration(3, "s"))
		l.replace(state+", no JSON", "7", []byte("{"))
		l.call(state, "GET", "Configuration.Describe", nil, "")
		l.retire(state, "v1", `{"duration_s":10}`)
		l.retire(state, "v9", `{"duration_s":10}`)
		l.describeRetire(state, "v1")
		l.call(state, "POST", "Configuration.Other", nil, "")
	}
	h.store.set(func() { h.store.tooLarge = func(map[string][]byte) bool { return true } })
	l.replace("the control state would be too large", "7", configuration(8, "s"))
	h.store.set(func() { h.store.tooLarge = nil })
	h.store.set(func() { h.store.failPut = func(map[string][]byte) (bool, bool) { return true, true } })
	all("the outcome of writes is unknown")
	h.store.set(func() { h.store.failPut = nil })
	h.advance(time.Second)
	h.store.set(func() { h.store.unconfirmed = true })
	l.replace("backups do not confirm, taken before", "0", configuration(3, "s"))
	l.call("backups do not confirm", "GET", "Configuration.Describe", nil, "")
	l.retire("backups do not confirm", "v1", `{"duration_s":10}`)
	l.describeRetire("backups do not confirm", "v1")
	h.store.set(func() { h.store.unconfirmed = false })
	h.store.set(func() { h.store.primary, h.store.hint = false, "10.0.0.2:7380" })
	synctest.Wait()
	all("another process is the primary")
	h.store.set(func() { h.store.hint = "" })
	synctest.Wait()
	all("no primary is known")
}
