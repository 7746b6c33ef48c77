package metrics

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// samples returns the values of figures, by metric with its label. It checks that each line is well formed, that each metric has
// exactly one header, right before its values, and that no value occurs twice.
func samples(t *testing.T, figures Figures) map[string]string {
	t.Helper()
	values, headers := map[string]string{}, map[string]bool{}
	family, helped, kind := "", "", ""
	for line := range strings.Lines(string(Text(figures))) {
		line = strings.TrimSuffix(line, "\n")
		words := strings.Fields(line)
		switch {
		case strings.HasPrefix(line, "# HELP "):
			helped = words[2]
			assert.Assert(t, len(words) > 3, line)
		case strings.HasPrefix(line, "# TYPE "):
			family = words[2]
			assert.Equal(t, family, helped)
			kind = words[3]
			assert.Equal(t, kind == "counter", strings.HasSuffix(family, "_total"), line)
			assert.Assert(t, kind == "gauge" || kind == "counter" || kind == "histogram", line)
			assert.Assert(t, !headers[family], line)
			headers[family] = true
		default:
			assert.Equal(t, len(words), 2, line)
			name := words[0]
			assert.NilError(t, metrics.ValidateMetric(name))
			bare, _, _ := strings.Cut(name, "{")
			if kind == "histogram" {
				bare = strings.TrimSuffix(strings.TrimSuffix(strings.TrimSuffix(bare, "_bucket"), "_sum"), "_count")
			}
			assert.Equal(t, bare, family)
			assert.Assert(t, strings.HasPrefix(bare, "saffronyard_"), line)
			assert.Equal(t, values[name], "", line)
			values[name] = words[1]
		}
	}
	return values
}

func TestControlPlane(t *testing.T) {
	backup := ControlPlane{Epoch: 28913665, Members: 3, Disk: tierv1.DiskState_DISK_SOUND}
	assert.DeepEqual(t, samples(t, backup), map[string]string{
		"saffronyard_control_primary":                 "0",
		"saffronyard_control_epoch":                   "2.8913665e+07",
		"saffronyard_control_members":                 "3",
		"saffronyard_control_lease_remaining_seconds": "0",
		`saffronyard_disk_state{state="sound"}`:       "1",
		`saffronyard_disk_state{state="full"}`:        "0",
		`saffronyard_disk_state{state="failing"}`:     "0",
		`saffronyard_disk_state{state="stuck"}`:       "0",
	})
	primary := backup
	primary.LeaseRemaining = 750 * time.Millisecond
	primary.Primary = &Primary{Revision: 56, Gateways: 4, TurnStores: 3, UnhealthyStores: 1, PartitionsAtRisk: 21, LossesToTolerate: 1,
		PartitionLossesTolerated: 0, ControlLossesTolerated: -1, UntilTolerated: -2500 * time.Millisecond,
		Coordination: Coordination{Locks: 5, Counters: 2, Keys: 120, HistoryPuts: 80, Watches: 3}}
	all := samples(t, primary)
	for name, want := range map[string]string{
		"saffronyard_control_primary":                  "1",
		"saffronyard_control_lease_remaining_seconds":  "0.75",
		"saffronyard_configuration_revision":           "56",
		`saffronyard_sessions{role="gateway"}`:         "4",
		`saffronyard_sessions{role="turnstore"}`:       "3",
		"saffronyard_turn_stores_unsound":              "1",
		"saffronyard_partitions_at_risk":               "21",
		"saffronyard_losses_wanted":                    "1",
		`saffronyard_losses_borne{of="partitions"}`:    "0",
		`saffronyard_losses_borne{of="control_state"}`: "-1",
		"saffronyard_next_loss_borne_seconds":          "-2.5",
		`saffronyard_disk_state{state="sound"}`:        "1",

		`saffronyard_coordination_records{kind="lock"}`:    "5",
		`saffronyard_coordination_records{kind="counter"}`: "2",
		`saffronyard_coordination_records{kind="key"}`:     "120",
		`saffronyard_coordination_records{kind="history"}`: "80",
		"saffronyard_coordination_watches":                 "3",
	} {
		assert.Equal(t, all[name], want, name)
	}
	assert.Equal(t, len(all), 22)
}

func TestTurnStore(t *testing.T) {
	store := TurnStore{Primaries: 11, Backups: 10, Entries: 4000, Memory: 1 << 22, MapVersion: 17, SessionRemaining: 300 * time.Millisecond, Disk: tierv1.DiskState_DISK_FULL}
	assert.DeepEqual(t, samples(t, store), map[string]string{
		`saffronyard_turn_store_partitions{as="primary"}`: "11",
		`saffronyard_turn_store_partitions{as="backup"}`:  "10",
		"saffronyard_turn_store_entries":                  "4000",
		"saffronyard_turn_store_memory_bytes":             "4.194304e+06",
		"saffronyard_partition_map_version":               "17",
		"saffronyard_session_remaining_seconds":           "0.3",
		`saffronyard_disk_state{state="sound"}`:           "0",
		`saffronyard_disk_state{state="full"}`:            "1",
		`saffronyard_disk_state{state="failing"}`:         "0",
		`saffronyard_disk_state{state="stuck"}`:           "0",
	})
}

func TestGateway(t *testing.T) {
	totals := GatewayTotals{
		Requests:   []RequestTotal{{"turn", "served", 40}, {"turn", "refused", 2}, {"idempotent", "served", 9}},
		Attempts:   []AttemptTotal{{"whole", 49}, {"broken", 3}},
		Resumed:    1,
		FirstEvent: Histogram{Bounds: []time.Duration{50 * time.Millisecond, 1600 * time.Millisecond}, Counts: []uint64{30, 8, 2}, Sum: 9 * time.Second},
	}
	assert.DeepEqual(t, samples(t, Gateway{Ready: true, Revision: 7, InFlight: 12, SessionRemaining: time.Second, Totals: totals}), map[string]string{
		"saffronyard_gateway_ready":                                              "1",
		"saffronyard_configuration_revision":                                     "7",
		"saffronyard_gateway_calls":                                              "12",
		"saffronyard_session_remaining_seconds":                                  "1",
		`saffronyard_gateway_requests_total{kind="turn",outcome="served"}`:       "40",
		`saffronyard_gateway_requests_total{kind="turn",outcome="refused"}`:      "2",
		`saffronyard_gateway_requests_total{kind="idempotent",outcome="served"}`: "9",
		`saffronyard_gateway_runs_total{end="whole"}`:                            "49",
		`saffronyard_gateway_runs_total{end="broken"}`:                           "3",
		"saffronyard_gateway_resumed_total":                                      "1",
		`saffronyard_gateway_first_event_seconds_bucket{le="0.05"}`:              "30",
		`saffronyard_gateway_first_event_seconds_bucket{le="1.6"}`:               "38",
		`saffronyard_gateway_first_event_seconds_bucket{le="+Inf"}`:              "40",
		"saffronyard_gateway_first_event_seconds_sum":                            "9",
		"saffronyard_gateway_first_event_seconds_count":                          "40",
	})
}

// Exactly one state of the disk has the value 1, also if the state is unknown.
func TestDiskState(t *testing.T) {
	for state, want := range map[tierv1.DiskState]string{
		tierv1.DiskState_DISK_SOUND:       "sound",
		tierv1.DiskState_DISK_FULL:        "full",
		tierv1.DiskState_DISK_FAILING:     "failing",
		tierv1.DiskState_DISK_STUCK:       "stuck",
		tierv1.DiskState_DISK_STUCK + 100: "failing",
	} {
		all := samples(t, TurnStore{Disk: state})
		for _, one := range []string{"sound", "full", "failing", "stuck"} {
			value := "0"
			if one == want {
				value = "1"
			}
			assert.Equal(t, all[`saffronyard_disk_state{state="`+one+`"}`], value, "%v: %s", state, one)
		}
	}
}

// Each request gets the figures of the time of the request.
func TestHandler(t *testing.T) {
	calls := int64(0)
	handler := Handler(func() Figures {
		calls++
		return Gateway{InFlight: calls}
	})
	for _, want := range []string{"saffronyard_gateway_calls 1\n", "saffronyard_gateway_calls 2\n"} {
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, Path, nil))
		assert.Equal(t, answer.Code, http.StatusOK)
		assert.Equal(t, answer.Header().Get("Content-Type"), ContentType)
		assert.Assert(t, strings.Contains(answer.Body.String(), want), answer.Body.String())
	}
}
