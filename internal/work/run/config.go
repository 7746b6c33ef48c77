package run

import (
	"time"

	"saffronyard.example/saffronyard/internal/work"
	"saffronyard.example/saffronyard/internal/work/store"
)

// Config is the configuration of a runner.
type Config struct {
	Settings       work.Settings
	Path           string // of the store
	Bytes          int64  // of all jobs in it
	Targets        work.Targets
	Load           func() work.LoadSignals // of live traffic, sampled every loadInterval; nil: none
	Workers        int
	SlowSlice      time.Duration // a slice that runs for longer is logged; default 30s
	Random         func() float64
	Wall           func() time.Time
	IgnorePressure bool // run at full budget whatever the load: for measurements

	wrapStore func(jobStore) jobStore // nil outside of tests
}

// jobStore is the part of store.Store that the runner uses.
type jobStore interface {
	Add(records []store.Record, timer string, ran time.Time) error
	LastRun(timer string) (time.Time, error)
	Intend(id work.ID) error
	ClearIntent(id work.ID) error
	RecordFailure(id work.ID, failures int, parked string) error
	Park(id work.ID, why string) error
	Checkpoint(id work.ID, state []byte, earliest int64, spawned []store.Record) error
	Complete(id work.ID, spawned []store.Record) error
	Load(f func(store.Record) error) error
	Close() error
}
