package http1

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestClasses(t *testing.T) {
	for c := range 256 {
		s := string([]byte{byte(c)})
		visible := c > ' ' && c < 127
		assert.Equal(t, IsToken(s), visible && !strings.Contains("\"(),/:;<=>?@[\\]{}", s), "%q as a token", s)
		assert.Equal(t, IsFieldValue(s), visible || c == ' ' || c == '\t' || c >= 128, "%q in a value", s)
	}
	assert.Assert(t, !IsToken("") && IsFieldValue("") && !AllOf("", HostChar))
}
