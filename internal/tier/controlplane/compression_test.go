package controlplane

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// manyEndpoints returns a list of n endpoints as the platform returns it.
func manyEndpoints(n int) []*tierv1.Endpoint {
	list := make([]*tierv1.Endpoint, n)
	for i := range list {
		id := uint32(i+1) * 2654435761 // spread over all values like random ids
		list[i] = &tierv1.Endpoint{Instance: fmt.Sprintf("i-%08x%02x", id, byte(id>>3)), Service: fmt.Sprintf("service-%02d", id%18),
			Address: fmt.Sprintf("10.%d.%d.%d:%d", 1+id%4, byte(id>>8), byte(id>>16), 8000+id%1000), Zone: fmt.Sprintf("zone-%02d", id%11),
			Capacity: 96, Revision: "v1", Phase: "both", Models: []*tierv1.Model{{Name: "m", Revision: 1}}}
	}
	return list
}

// With 300 sessions and 3,000 endpoints, the primary's link must carry a changed list to all sessions within the shortest time
// that a session waits for an answer that has begun. Otherwise the sessions time out and retry, and the load never ends.
func TestCompressEndpoints_LongListFitsLink(t *testing.T) {
	const (
		sessionCount  = 300
		linkPerSecond = 1000e6 / 8 // bytes, of a link of 1,000 Mbit/s
	)
	leastWait := testSettings().ContactWindow / 10 // session.graceOver
	v := &publishedState{}
	v.setEndpoints(&tierv1.Endpoints{Version: 7, List: manyEndpoints(3000)})
	reply, newer := v.replyFor(&tierv1.WatchRequest{AcceptsPackedEndpoints: true})
	assert.Assert(t, newer)
	bytes := proto.Size(reply)
	took := time.Duration(float64(sessionCount*bytes) / linkPerSecond * float64(time.Second))
	t.Logf("%d bytes a session, %v for all", bytes, took)
	assert.Assert(t, took < leastWait, "sending takes %v, and sessions wait for %v", took, leastWait)
}

// A long list is compressed once for all sessions that accept that. Other sessions get it uncompressed, as all sessions get a
// short list.
func TestCompressEndpoints_OnceForAllSessions(t *testing.T) {
	request := &tierv1.WatchRequest{AcceptsPackedEndpoints: true}
	long, short := &publishedState{}, &publishedState{}
	long.setEndpoints(&tierv1.Endpoints{Version: 7, List: manyEndpoints(3000)})
	short.setEndpoints(&tierv1.Endpoints{Version: 7, List: manyEndpoints(3)})
	first, second := long.endpointsFor(request), long.endpointsFor(request)
	assert.Assert(t, first == second, "compressed twice")
	assert.Assert(t, len(first.Packed) > 0 && len(first.List) == 0 && first.Version == 7)
	assert.Assert(t, long.endpointsFor(&tierv1.WatchRequest{}) == long.endpoints)
	assert.Assert(t, short.endpointsFor(request) == short.endpoints)
}
