package turnstore

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFactKeys(t *testing.T) {
	for key, want := range map[string]struct {
		kind, attempt string
		tokens        uint64
		ok            bool
	}{
		"r/a":                        {"r/", "a", 0, true},
		"s/a/b":                      {"s/", "a/b", 0, true},
		"a/a":                        {"a/", "a", 0, true},
		"t/a/7":                      {"t/", "a", 7, true},
		"t/a/b/18446744073709551615": {"t/", "a/b", 1<<64 - 1, true},
		"t/a/18446744073709551616":   {},
		"t/a/x":                      {},
		"t//7":                       {},
		"t/a":                        {},
		"x/a":                        {},
		"r/":                         {},
		"":                           {},
	} {
		kind, attempt, tokens, ok := parseKey(key)
		assert.Equal(t, ok, want.ok, key)
		if ok {
			assert.Equal(t, kind, want.kind, key)
			assert.Equal(t, attempt, want.attempt, key)
			assert.Equal(t, tokens, want.tokens, key)
		}
	}
}
