package gateway_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/tiertest"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// A gateway reports the endpoints that it ejects by its own observations. It ejects those that the control plane reports without having
// sent anything to them.
func TestEjections_SharedByGateways(t *testing.T) {
	bad := tiertest.NewEndpoint(t, "i-bad", "s", (*tiertest.ReceivedRequest).Reset)
	good := tiertest.NewEndpoint(t, "i-good", "s", echo("good"))
	first, second := startTwoGateways(t, bad)
	first.controlPlane.Await(t, "the first gateway accepts ejections", func(r *tierv1.WatchRequest) bool { return r.AcceptsEjections })
	for i := range 3 {
		assert.Equal(t, first.post("/once/x", fmt.Sprint("a-", i), "", "b").Status, 502)
	}
	first.controlPlane.Await(t, "the first gateway receives the ejection that it reported", func(r *tierv1.WatchRequest) bool { return r.EjectionsVersion > 0 })
	first.controlPlane.Update(func(v *tierv1.WatchReply) { assert.Equal(t, v.Ejections.List[0].Instance, "i-bad") })
	second.listEndpoints(bad, good)
	second.controlPlane.AwaitAcknowledged(t)
	second.controlPlane.Update(func(v *tierv1.WatchReply) {
		v.Ejections = &tierv1.Ejections{Version: 7, List: []*tierv1.Ejection{{Instance: "i-bad", Version: 7}}}
	})
	second.controlPlane.Await(t, "the second gateway has applied the ejection", func(r *tierv1.WatchRequest) bool { return r.EjectionsVersion == 7 })
	before := len(bad.Requests())
	assertAnswer(t, second.post("/once/x", "b-1", "", "b"), 200, "good:b") // a request that can't be retried is not used as a probe yet
	assertAnswer(t, second.post("/once/x", "b-2", "", "b"), 200, "good:b")
	assert.Equal(t, len(bad.Requests()), before)
}
