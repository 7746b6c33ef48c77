package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/gateway"
	"saffronyard.example/saffronyard/internal/tier/settings"
	"saffronyard.example/saffronyard/internal/tier/tiertest"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// configurationOf returns a configuration with routes of each kind for the services "s" and "deep".
func configurationOf(revision int, extra string) string {
	route := func(name, prefix, kind, service, more string) string {
		return fmt.Sprintf(`{"name":"%s","hostname":"h.example","path_prefix":"%s","route_type":"%s","service_name":"%s",
			"timeout_ms":20000,"target_latency_ms":400,"max_attempts":2%s}`, name, prefix, kind, service, more)
	}
	routes := []string{
		route("plain", "/plain/", "idempotent", "s", ""),
		route("deep", "/plain/deep/", "idempotent", "deep", ""),
		route("once", "/once/", "non_idempotent", "s", ""),
		route("single", "/single/", "idempotent", "s", `,"max_attempts":1`),
		route("stream", "/stream/", "streaming", "s", ""),
		route("resumable", "/resumable/", "streaming", "s", `,"resumable":true,"retention_s":60`),
		route("resumable-turn", "/resumable-turn/", "streaming", "s", `,"resumable":true,"persisted":true,"retention_s":60`),
		route("turn", "/turn/", "streaming", "s", `,"persisted":true,"retention_s":60,"session_affinity":true`),
	}
	if extra != "" {
		routes = append(routes, extra)
	}
	return fmt.Sprintf(`{"revision":%d,"routes":[%s],"services":[{"name":"s"},{"name":"deep"}]}`, revision, strings.Join(routes, ","))
}

// harness is a gateway with its control plane and its turn stores.
type harness struct {
	t            *testing.T
	settings     settings.Settings
	controlPlane *tiertest.ControlPlane
	turnStores   *tiertest.TurnStores
	ingress      string
	probe        string
	stop         context.CancelFunc
	done         chan error
}

// startUnconfigured starts a gateway whose control plane has no updates for it yet.
func startUnconfigured(t *testing.T, change ...func(*settings.Settings)) *harness {
	t.Helper()
	s := tiertest.Settings("edge-1")
	for _, f := range change {
		f(&s)
	}
	r := &harness{t: t, settings: s, controlPlane: tiertest.NewControlPlane(), turnStores: tiertest.NewTurnStores(t, 3), ingress: s.Frontend, probe: s.Readiness, done: make(chan error, 1)}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	instance := gateway.New(gateway.Config{Settings: s, ControlPlane: func(string) tierv1.ControlPlane { return r.controlPlane }, TurnStore: func(address string) tierv1.TurnStore { return r.turnStores.Dial(address) }, Log: tiertest.DiscardLogger()})
	go func() {
		r.done <- instance.Run(ctx)
		close(r.done)
	}()
	t.Cleanup(func() {
		cancel()
		for err := range r.done {
			t.Log("the gateway ended:", err) // shown only if the test fails
		}
	})
	return r
}

// startGateway starts a gateway, and returns when it has acknowledged a configuration, these endpoints and a partition map: turn store 0 is
// primary, turn store 1 backup.
func startGateway(t *testing.T, endpoints ...*tiertest.Endpoint) *harness {
	t.Helper()
	r := startUnconfigured(t)
	r.configure(r.turnStores.Assign([2]int{0, 1}), endpoints...)
	return r
}

// startTwoGateways starts two gateways with the same turn stores, configured as by startGateway.
func startTwoGateways(t *testing.T, endpoints ...*tiertest.Endpoint) (first, second *harness) {
	t.Helper()
	first, second = startUnconfigured(t), startUnconfigured(t)
	second.turnStores = first.turnStores
	partitionMap := first.turnStores.Assign([2]int{0, 1})
	first.configure(partitionMap, endpoints...)
	second.configure(partitionMap, endpoints...)
	return first, second
}

// configure sends the gateway a configuration, these endpoints and a partition map, and returns when it has acknowledged them.
func (r *harness) configure(partitionMap *tierv1.PartitionMap, endpoints ...*tiertest.Endpoint) {
	r.t.Helper()
	r.controlPlane.SetConfiguration(configurationOf(1, ""))
	r.listEndpoints(endpoints...)
	r.controlPlane.SetPartitionMap(partitionMap)
	r.controlPlane.AwaitAcknowledged(r.t)
}

// listEndpoints makes the control plane list exactly these endpoints.
func (r *harness) listEndpoints(endpoints ...*tiertest.Endpoint) {
	var list []*tierv1.Endpoint
	for _, e := range endpoints {
		list = append(list, e.Entry())
	}
	r.controlPlane.SetEndpoints(list...)
}

func (r *harness) do(text string) tiertest.Reply {
	r.t.Helper()
	return tiertest.Do(r.t, r.ingress, text)
}

// post sends a POST request to a target.
func (r *harness) post(target, id, fields, body string) tiertest.Reply {
	r.t.Helper()
	return r.do(tiertest.Post(target, id, fields, body))
}

// turnRequest returns the text of a request for a turn.
func turnRequest(id, previous, program, fields, body string) string {
	if previous != "" {
		fields += "Previous: " + previous + "\r\n"
	}
	return tiertest.Post("/turn/x", id, fields+"Program: "+program+"\r\n", body)
}

// assertAnswer checks an answer; a success must have the endpoint's signature.
func assertAnswer(t *testing.T, got tiertest.Reply, status int, body string) {
	t.Helper()
	assert.NilError(t, got.Err)
	assert.Equal(t, got.Status, status)
	assert.Equal(t, got.Body, body)
	if status/100 == 2 {
		assert.Assert(t, got.Header.Get("X-Response-Signature") != "", "a success without a signature")
	}
}

// assertNotExecuted checks that an answer is a 503 with Retry-After: the request was not executed.
func assertNotExecuted(t *testing.T, got tiertest.Reply) {
	t.Helper()
	assert.NilError(t, got.Err)
	assert.Equal(t, got.Status, 503)
	assert.Assert(t, got.Header.Get("Retry-After") != "", "503 without Retry-After")
	assertUnsigned(t, got)
}

// assertUnsigned checks that an answer of the gateway itself has no endpoint's signature (rule MIXED).
func assertUnsigned(t *testing.T, got tiertest.Reply) {
	t.Helper()
	assert.Equal(t, got.Header.Get("X-Response-Signature"), "", "status %d", got.Status)
}

// echo returns a handler that answers with the given name and the body.
func echo(name string) func(*tiertest.ReceivedRequest) {
	return func(a *tiertest.ReceivedRequest) { a.Respond(200, "", name+":"+a.BodyText) }
}

// pausedStream returns a handler that streams two events: it closes begun after the first, and continues when proceed is closed.
func pausedStream(begun chan<- struct{}, proceed <-chan struct{}) func(*tiertest.ReceivedRequest) {
	return func(a *tiertest.ReceivedRequest) {
		a.WriteStreamHead()
		a.WriteEvent(1, "one")
		close(begun)
		<-proceed
		a.WriteEvent(2, "two")
		a.EndStream()
	}
}

// resetOf returns a handler that resets the connection of one attempt, and answers others by streamTwoEvents.
func resetOf(id string) func(*tiertest.ReceivedRequest) {
	return func(a *tiertest.ReceivedRequest) {
		if a.AttemptID == id {
			a.Reset()
			return
		}
		streamTwoEvents(a)
	}
}

// streamTwoEvents answers with the events of twoEvents for the attempt.
func streamTwoEvents(a *tiertest.ReceivedRequest) { a.WriteStream(twoEvents(a.AttemptID)...) }

// twoEvents returns the data of the events that streamTwoEvents streams for an attempt.
func twoEvents(id string) []string { return []string{"one of " + id, "two of " + id} }

// transcriptOf returns the output of a turn that streamTwoEvents has answered.
func transcriptOf(id string) string { return "one of " + id + "\ntwo of " + id + "\n" }

// beginStream writes the head of a stream and its first n events.
func beginStream(a *tiertest.ReceivedRequest, n int) {
	a.WriteStreamHead()
	for i := range n {
		a.WriteEvent(i+1, "x")
	}
}

// events returns the body of a stream with one event for each of the data.
func events(data ...string) string {
	var text strings.Builder
	for i, d := range data {
		text.WriteString(tiertest.EventText(i+1, d))
	}
	return text.String()
}

// sendTurn sends the first turn of program p, and reads its answer up to the last event, without the end.
func sendTurn(t *testing.T, c *tiertest.Client, id string) *http.Response {
	t.Helper()
	c.Send(turnRequest(id, "", "p", "", "in"))
	head := c.ReadHead()
	for i, data := range twoEvents(id) {
		assert.Equal(t, c.ReadEvent(head.Body), tiertest.EventText(i+1, data))
	}
	return head
}

// twoEndpoints returns two endpoints. The first request is handled by first, at whichever endpoint it arrives; others are answered.
func twoEndpoints(t *testing.T, first func(*tiertest.ReceivedRequest)) (a, b *tiertest.Endpoint) {
	script := func(own, other **tiertest.Endpoint) func(*tiertest.ReceivedRequest) {
		return func(x *tiertest.ReceivedRequest) {
			if len((*other).Requests()) == 0 && x.Order == 0 {
				first(x)
				return
			}
			x.Respond(200, "", "second")
		}
	}
	a = tiertest.NewEndpoint(t, "i-a", "s", nil)
	b = tiertest.NewEndpoint(t, "i-b", "s", nil)
	a.SetHandler(script(&a, &b))
	b.SetHandler(script(&b, &a))
	return a, b
}

// endLimit bounds the time from the end of a client's connection, or of a deadline, to the end of the request.
const endLimit = 500 * time.Millisecond

// eventuallyWithinLimit repeats a measurement, up to ten times, until one is below endLimit: a busy machine may delay any of them, but none
// is shorter than the gateway's own delay.
func eventuallyWithinLimit(t *testing.T, measure func(try int) time.Duration) {
	t.Helper()
	var took []time.Duration
	for try := range 10 {
		took = append(took, measure(try))
		if took[try] < endLimit {
			return
		}
	}
	t.Fatalf("no measurement below %v: %v", endLimit, took)
}

// settlementsOf returns a channel of the settlements that a turn store has accepted from then on.
func settlementsOf(store *tiertest.TurnStore) <-chan *tierv1.SettleRequest {
	all := make(chan *tierv1.SettleRequest, 1000)
	store.SetInterceptor(func(m tiertest.RPC) error {
		err := m.Serve()
		if q, ok := m.Request.(*tierv1.SettleRequest); ok && err == nil {
			all <- q
		}
		return err
	})
	return all
}
