package scenariofuzz

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFindings(t *testing.T) {
	clean, err := ParseReport([]byte(`{"G":0.9,"served":0.97,"fault":null,"short":[],"breaks":{},"first":[],"missed":[],"exits_n":0,"config_ack_ms":500}`))
	assert.NilError(t, err)
	assert.Equal(t, len(clean.Findings(4000)), 0)
	for name, raw := range map[string]string{
		"rule":    `{"served":0.97,"breaks":{"DRAIN":12}}`,
		"fault":   `{"served":0.97,"fault":"took too long"}`,
		"short":   `{"served":0.97,"short":["a valid config had no ack"]}`,
		"ends":    `{"served":0.97,"exits_n":2}`,
		"ack":     `{"served":0.97,"config_ack_ms":4001}`,
		"refused": `{"served":0.97,"refused":0.3,"failed":0.31}`,
		"served":  `{"served":0.59}`,
		"missed":  `{"served":0.97,"missed":["not ready"]}`,
	} {
		r, err := ParseReport([]byte(raw))
		assert.NilError(t, err)
		assert.Equal(t, len(r.Findings(4000)), 1, name)
	}
	_, err = ParseReport([]byte("{"))
	assert.ErrorContains(t, err, "report")
}
