package session

import (
	"bytes"
	"compress/gzip"
	"testing"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/settings"
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

// A compressed endpoint list is delivered with its entries and version. A damaged one must be neither delivered nor acknowledged,
// nor be treated as an empty list.
func TestApply_DamagedEndpointsIgnored(t *testing.T) {
	want := &tierv1.Endpoints{Version: 9, List: []*tierv1.Endpoint{{Instance: "i-1", Service: "s", Draining: true}, {Instance: "i-2", Service: "s"}}}
	entries, err := proto.Marshal(&tierv1.Endpoints{List: want.List})
	assert.NilError(t, err)
	var got []*tierv1.Endpoints
	s := New(Config{Log: &log.Logger{Level: log.PanicLevel}, Endpoints: func(e *tierv1.Endpoints) { got = append(got, e) }})
	applyPacked := func(packed []byte) {
		s.apply("a", &tierv1.WatchReply{IsPrimary: true, Endpoints: &tierv1.Endpoints{Version: want.Version, Packed: packed}})
	}
	packedEntries := compressed(t, entries)
	for length := 1; length < len(packedEntries); length++ {
		applyPacked(packedEntries[:length])
	}
	applyPacked(compressed(t, []byte("no list")))
	assert.Equal(t, len(got), 0)
	assert.Equal(t, s.applied.EndpointsVersion, uint64(0))
	applyPacked(packedEntries)
	assert.Equal(t, len(got), 1)
	assert.Assert(t, proto.Equal(got[0], want), "%v", got[0])
	assert.Equal(t, s.applied.EndpointsVersion, want.Version)
}

// A damaged configuration must be neither delivered nor acknowledged, wherever it was truncated or changed.
func TestApply_DamagedConfigurationIgnored(t *testing.T) {
	body := []byte(`{"revision":7,"routes":[{"name":"r-1"},{"name":"r-2"}]}`)
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(body)
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	var got []string
	s := New(Config{Settings: settings.Settings{}, Log: &log.Logger{Level: log.PanicLevel},
		Configuration: func(c *tierv1.Configuration) { got = append(got, string(c.Body)) }})
	applyPacked := func(packed []byte) {
		s.apply("a", &tierv1.WatchReply{IsPrimary: true, Configuration: &tierv1.Configuration{Version: 3, Packed: packed}})
	}
	packedBody := b.Bytes()
	for length := 1; length < len(packedBody); length++ {
		applyPacked(packedBody[:length])
	}
	for i := range packedBody {
		if i >= 3 && i <= 9 { // the content does not depend on flags, time and system in the header
			continue
		}
		corrupted := bytes.Clone(packedBody)
		corrupted[i] ^= 0x5a
		applyPacked(corrupted)
	}
	assert.Equal(t, len(got), 0, "%q", got)
	assert.Equal(t, s.applied.ConfigurationVersion, uint64(0))
	applyPacked(packedBody)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0], string(body))
	assert.Equal(t, s.applied.ConfigurationVersion, uint64(3))
}
