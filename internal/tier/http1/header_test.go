package http1

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestParseField(t *testing.T) {
	for _, c := range []struct {
		line string
		want Field
		ok   bool
	}{
		{"A:1", Field{Name: "A", Value: "1"}, true}, {"A: \t1 2\t ", Field{Name: "A", Value: "1 2"}, true}, {"A:", Field{Name: "A", Value: ""}, true}, {"A:b:c", Field{Name: "A", Value: "b:c"}, true},
		{"A", Field{}, false}, {":1", Field{}, false}, {" A:1", Field{}, false}, {"A :1", Field{}, false}, {"A:1\r2", Field{}, false}, {"", Field{}, false},
	} {
		field, ok := ParseField(c.line)
		assert.Equal(t, field, c.want, c.line)
		assert.Equal(t, ok, c.ok, c.line)
	}
}

func TestHeader_Get(t *testing.T) {
	header := Header{{Name: "A", Value: "1"}, {Name: "x-b", Value: "2"}, {Name: "X-B", Value: "3"}}
	assert.Equal(t, header.Get("X-B")+header.Get("a")+header.Get("c"), "21")
}

func TestListContains(t *testing.T) {
	assert.Assert(t, ListContains("a, Close\t,b", "close") && ListContains("close", "CLOSE"))
	assert.Assert(t, !ListContains("closed, a close", "close") && !ListContains("", "close"))
}

func TestHeader_AppendEndToEnd(t *testing.T) {
	h := Header{{Name: "Host", Value: "a"}, {Name: "X-A", Value: "1"}, {Name: "Connection", Value: "x-hop, close"}, {Name: "X-Hop", Value: "1"}, {Name: "Keep-Alive", Value: "x"}, {Name: "TE", Value: "x"},
		{Name: "Trailer", Value: "x"}, {Name: "Transfer-Encoding", Value: "chunked"}, {Name: "Upgrade", Value: "x"}, {Name: "Proxy-Connection", Value: "x"}, {Name: "Content-Length", Value: "1"},
		{Name: "Expect", Value: "100-continue"}, {Name: "x-a", Value: "2"}}
	assert.DeepEqual(t, h.AppendEndToEnd(nil), []Field{{Name: "X-A", Value: "1"}, {Name: "x-a", Value: "2"}})
}
