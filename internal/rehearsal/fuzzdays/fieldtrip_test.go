package fuzzdays

import (
	"os"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"gotest.tools/v3/assert"
)

func site(t *testing.T) []byte {
	raw, err := os.ReadFile("testdata/site.toml")
	assert.NilError(t, err)
	return raw
}

func TestASeedDrawsTheSameTrip(t *testing.T) {
	for seed := range int64(60) {
		a, err := Draw(site(t), seed)
		assert.NilError(t, err)
		b, err := Draw(site(t), seed)
		assert.NilError(t, err)
		for _, pair := range [][2]Table{{a.Site, b.Site}, {a.Day, b.Day}} {
			x, err := toml.Marshal(pair[0])
			assert.NilError(t, err)
			y, err := toml.Marshal(pair[1])
			assert.NilError(t, err)
			assert.Equal(t, string(x), string(y))
		}
	}
}

// What is to be borne must be there: more machines with disks than twice the loss, and none in a zone that is no zone.
func TestDrawnDeploymentsCanBearTheirLosses(t *testing.T) {
	seen := map[string]bool{}
	for seed := range int64(400) {
		trip, err := Draw(site(t), seed)
		assert.NilError(t, err)
		seen[trip.Focus] = true
		zones := map[any]bool{}
		for _, z := range tables(trip.Site["zones"]) {
			zones[z["name"]] = true
		}
		counts := map[any]int{}
		for _, m := range tables(trip.Site["machines"]) {
			assert.Assert(t, zones[m["zone"]], "seed %d: zone %v", seed, m["zone"])
			counts[m["class"]] += m["count"].(int)
		}
		loss := trip.Site["tolerate"].(Table)["machines"].(int)
		assert.Assert(t, counts["core"] >= 2*loss+1 && counts["store"] >= 2*loss+1, "seed %d: %v, %d to be borne", seed, counts, loss)
		retires := 0
		for _, entry := range tables(trip.Day["plan"]) {
			if entry["kind"] == "retire" {
				retires++
			}
		}
		assert.Assert(t, counts["store"]-retires >= loss+1, "seed %d: %d retired of %d", seed, retires, counts["store"])
		assert.Assert(t, trip.AckMS() > 0)
		assert.Assert(t, len(tables(trip.Day["plan"])) > 0)
		for _, entry := range append(tables(trip.Day["plan"]), tables(trip.Day["faults"])...) {
			assert.Assert(t, entry["at"].(float64) >= 0 && entry["at"].(float64) <= 34, "seed %d: %v", seed, entry)
		}
	}
	assert.Equal(t, len(seen), len(focuses))
}

func TestASiteFileThatLacksPartsIsRefused(t *testing.T) {
	_, err := Draw([]byte("zones = []"), 1)
	assert.ErrorContains(t, err, "zones")
	_, err = Draw([]byte("zones = ["), 1)
	assert.ErrorContains(t, err, "site file")
}

func TestFindings(t *testing.T) {
	clean, err := ParseReport([]byte(`{"G":0.9,"served":0.97,"fault":null,"short":[],"breaks":{},"first":[],"missed":[],"exits_n":0,"config_ack_ms":500}`))
	assert.NilError(t, err)
	assert.Equal(t, len(clean.Findings(4000)), 0)
	for name, raw := range map[string]string{
		"rule":    `{"breaks":{"DRAIN":12}}`,
		"fault":   `{"fault":"took too long"}`,
		"short":   `{"short":["a valid config had no ack"]}`,
		"ends":    `{"exits_n":2}`,
		"ack":     `{"config_ack_ms":4001}`,
		"refused": `{"refused":0.3,"failed":0.31}`,
		"missed":  `{"missed":["not ready"]}`,
	} {
		r, err := ParseReport([]byte(raw))
		assert.NilError(t, err)
		assert.Equal(t, len(r.Findings(4000)), 1, name)
	}
	_, err = ParseReport([]byte("{"))
	assert.ErrorContains(t, err, "report")
}
