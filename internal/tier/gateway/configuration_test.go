package gateway_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/tiertest"
)

func TestConfiguration_AppliesToNextRequest(t *testing.T) {
	s := tiertest.NewEndpoint(t, "i-s", "s", echo("s"))
	deep := tiertest.NewEndpoint(t, "i-deep", "deep", echo("deep"))
	r := startGateway(t, s, deep)
	const target = "/new/x"
	c := tiertest.Connect(t, r.ingress)
	send := func(id string) tiertest.Reply {
		c.Send(tiertest.Post(target, id, "", "b"))
		return c.ReadReply()
	}
	assert.Equal(t, send("a-1").Status, 404)
	for i, service := range []string{"s", "deep"} {
		r.controlPlane.SetConfiguration(configurationOf(2+i, `{"name":"new","hostname":"h.example","path_prefix":"/new/","route_type":"idempotent","service_name":"`+
			service+`","timeout_ms":20000,"max_attempts":2}`))
		r.controlPlane.AwaitAcknowledged(t)
		assertAnswer(t, send("b-"+service), 200, service+":b")
	}
	r.controlPlane.SetConfiguration(configurationOf(9, ""))
	r.controlPlane.AwaitAcknowledged(t)
	assert.Equal(t, send("a-2").Status, 404)
}

func TestEndpoints_DrainingGetsNoRequests(t *testing.T) {
	leaving := tiertest.NewEndpoint(t, "i-leaving", "s", echo("leaving"))
	r := startGateway(t, leaving)
	assertAnswer(t, r.post("/plain/x", "a-1", "", "b"), 200, "leaving:b")
	r.controlPlane.SetEndpoints(leaving.DrainingEntry())
	r.controlPlane.AwaitAcknowledged(t)
	assertNotExecuted(t, r.post("/plain/x", "a-2", "", "b"))
	next := tiertest.NewEndpoint(t, "i-next", "s", echo("next"))
	r.controlPlane.SetEndpoints(leaving.DrainingEntry(), next.Entry())
	r.controlPlane.AwaitAcknowledged(t)
	for _, id := range []string{"a-3", "a-4", "a-5", "a-6"} {
		assertAnswer(t, r.post("/plain/x", id, "", "b"), 200, "next:b")
	}
	r.controlPlane.SetEndpoints(next.Entry())
	r.controlPlane.AwaitAcknowledged(t)
	assertAnswer(t, r.post("/plain/x", "a-7", "", "b"), 200, "next:b")
	assert.Equal(t, len(leaving.Requests()), 1)
}

// A stream continues when its endpoint begins to drain.
func TestEndpoints_DrainingCompletesItsStreams(t *testing.T) {
	begun, proceed := make(chan struct{}), make(chan struct{})
	e := tiertest.NewEndpoint(t, "i-1", "s", pausedStream(begun, proceed))
	r := startGateway(t, e)
	c := tiertest.Connect(t, r.ingress)
	c.Send(tiertest.Post("/stream/x", "a-1", "", "b"))
	tiertest.WaitFor(t, "the stream begins", begun)
	r.controlPlane.SetEndpoints(e.DrainingEntry())
	r.controlPlane.AwaitAcknowledged(t)
	r.controlPlane.SetEndpoints()
	r.controlPlane.AwaitAcknowledged(t)
	close(proceed)
	assertAnswer(t, c.ReadReply(), 200, events("one", "two"))
}
