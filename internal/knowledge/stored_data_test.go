package knowledge

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The file under testdata/stored was written by version eea23b3, before identifiers were renamed: facts of each kind, of receivers
// and of routes. FILE.golden lists its contents.
const (
	storedSnapshot = "testdata/stored/knowledge"
	storedNow      = 1000 * time.Second
	storedWall     = 1700000000000000 // microseconds
	storedBytes    = 4096
)

// storedFacts returns the facts of the snapshot.
func storedFacts() []Fact {
	at := func(age time.Duration) time.Duration { return storedNow - age }
	ms := time.Millisecond
	route := Subject{Destination: 7, Endpoint: "s-ü"}
	return []Fact{
		{Subject: Subject{Destination: 7}, Kind: Latency, ObservedAt: at(time.Minute), Calls: 12, Value: Value{Mean: 30 * ms, Median: 20 * ms, Min: 5 * ms, Timeout: 250 * ms}},
		{Subject: Subject{Destination: 7}, Kind: Concurrency, ObservedAt: at(2 * time.Second), Calls: 3, Value: Value{Window: 12.5}},
		{Subject: Subject{Destination: 7}, Kind: RateLimit, ObservedAt: at(3 * time.Second), Calls: 1, Value: Value{PerSecond: 40.25}},
		{Subject: Subject{Destination: 7}, Kind: RetryAfter, ObservedAt: at(0), Calls: 1, Value: Value{Until: storedNow + 1500*ms}},
		{Subject: Subject{Destination: 7}, Kind: Health, ObservedAt: at(time.Second), Calls: 5, Value: Value{State: Healthy, Since: at(9 * time.Second), Rate: 3}},
		{Subject: Subject{Destination: 8}, Kind: Health, ObservedAt: at(2 * time.Second), Calls: 6, Value: Value{State: Unhealthy, Since: at(8 * time.Second), Rate: 0.5}},
		{Subject: route, Kind: Health, ObservedAt: at(4 * time.Second), Calls: 7, Value: Value{State: WarmingUp, Since: at(7 * time.Second)}},
		{Subject: route, Kind: Latency, ObservedAt: at(5 * time.Second), Calls: 8, Value: Value{Mean: 31 * ms, Median: 21 * ms, Min: 6 * ms, Timeout: 251 * ms}},
	}
}

func listFacts(facts []Fact, skipped int) string {
	var b strings.Builder
	for i := range facts {
		f := &facts[i]
		fmt.Fprintf(&b, "%d %q %s at %d calls %d source %q %d trust %.6f\n  %d %d %d %d window %v limit %v until %d state %s since %d rate %v\n", f.Destination, f.Endpoint, f.Kind, f.ObservedAt, f.Calls,
			f.Source.Name, f.Source.Incarnation, f.Trust(storedNow), f.Mean, f.Median, f.Min, f.Timeout, f.Window, f.PerSecond, f.Until, f.State, f.Since, f.Rate)
	}
	fmt.Fprintf(&b, "%d skipped\n", skipped)
	return b.String()
}

func readStored(t *testing.T, path string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.FromSlash(path))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestStoredData_SnapshotOfEarlierProgram(t *testing.T) {
	// The file is read 100 ms after it was written.
	facts, skipped, err := Load(storedSnapshot, storedNow, time.UnixMicro(storedWall+100_000))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := listFacts(facts, skipped), string(readStored(t, storedSnapshot+".golden")); got != want {
		t.Errorf("the snapshot holds\n%s\nwant\n%s", got, want)
	}
}

// The encoded snapshot is byte for byte that of the earlier version.
func TestStoredData_SnapshotBytesAreUnchanged(t *testing.T) {
	raw, dropped := Marshal(storedFacts(), storedNow, time.UnixMicro(storedWall), storedBytes)
	if dropped != 0 || !bytes.Equal(raw, readStored(t, storedSnapshot)) {
		t.Errorf("encoded as %q, %d facts dropped", raw, dropped)
	}
}
