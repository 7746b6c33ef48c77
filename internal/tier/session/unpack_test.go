package session

import (
	"bytes"
	"compress/gzip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/phuslu/log"

	"saffronyard.example/saffronyard/internal/tier/settings"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// A configuration that was spoilt on its way is neither taken nor acknowledged, wherever it was cut or changed.
func TestSpoiltConfigurationIsNotTaken(t *testing.T) {
	body := []byte(`{"revision":7,"routes":[{"name":"r-1"},{"name":"r-2"}]}`)
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write(body)
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	var got []string
	s := New(Config{Settings: settings.Settings{}, Log: &log.Logger{Level: log.PanicLevel},
		Configuration: func(c *tierv1.Configuration) { got = append(got, string(c.Body)) }})
	give := func(packed []byte) {
		s.apply("a", &tierv1.WatchReply{IsPrimary: true, Configuration: &tierv1.Configuration{Version: 3, Packed: packed}})
	}
	whole := b.Bytes()
	for cut := 1; cut < len(whole); cut++ {
		give(whole[:cut])
	}
	for i := range whole {
		if i >= 3 && i <= 9 { // flags, time and system of the head say nothing of the content
			continue
		}
		spoilt := bytes.Clone(whole)
		spoilt[i] ^= 0x5a
		give(spoilt)
	}
	assert.Equal(t, len(got), 0, "%q", got)
	assert.Equal(t, s.applied.ConfigurationVersion, uint64(0))
	give(whole)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0], string(body))
	assert.Equal(t, s.applied.ConfigurationVersion, uint64(3))
}
