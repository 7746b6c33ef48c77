package session

import (
	"bytes"
	"compress/gzip"
	"testing"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func compressed(t *testing.T, body []byte) []byte {
	t.Helper()
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(body)
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	return b.Bytes()
}

// A list of endpoints that comes packed is taken with its entries and version; one that was spoilt on its way is neither
// taken nor acknowledged, nor is it taken for an empty one.
func TestPackedEndpointsAreTakenWholeOrNotAtAll(t *testing.T) {
	want := &tierv1.Endpoints{Version: 9, List: []*tierv1.Endpoint{{Instance: "i-1", Service: "s", Draining: true}, {Instance: "i-2", Service: "s"}}}
	entries, err := proto.Marshal(&tierv1.Endpoints{List: want.List})
	assert.NilError(t, err)
	var got []*tierv1.Endpoints
	s := New(Config{Log: &log.Logger{Level: log.PanicLevel}, Endpoints: func(e *tierv1.Endpoints) { got = append(got, e) }})
	give := func(packed []byte) {
		s.apply("a", &tierv1.WatchReply{IsPrimary: true, Endpoints: &tierv1.Endpoints{Version: want.Version, Packed: packed}})
	}
	whole := compressed(t, entries)
	for cut := 1; cut < len(whole); cut++ {
		give(whole[:cut])
	}
	give(compressed(t, []byte("no list")))
	assert.Equal(t, len(got), 0)
	assert.Equal(t, s.applied.EndpointsVersion, uint64(0))
	give(whole)
	assert.Equal(t, len(got), 1)
	assert.Assert(t, proto.Equal(got[0], want), "%v", got[0])
	assert.Equal(t, s.applied.EndpointsVersion, want.Version)
}
