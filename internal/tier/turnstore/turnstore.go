package turnstore

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"

	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Config configures a turn store. Dir and Dial are required.
type Config struct {
	Node string                                // name of the machine
	Dir  string                                // data folder, created if missing
	FS   wal.FS                                // of the data folder; default: wal.OS
	Dial func(address string) tierv1.TurnStore // returns a client of the turn store at an internal address

	DiskBytes   int64       // limit on the size of the write-ahead logs; 0: none
	MemoryBytes int64       // limit on the estimated size of the facts in memory; 0: none
	Log         *log.Logger // default: log.DefaultLogger

	// Now is a monotonic clock. Default: time.Now.
	Now func() time.Time
	// ReplyTimeout bounds the time for the reply of a backup to a small request; larger requests have a longer time-out. Default: 250
	// ms.
	ReplyTimeout time.Duration
	// RequestTimeout bounds the time for the reply to a request of a gateway; after it the reply is BUSY. Default: 1.5 s.
	RequestTimeout time.Duration
	// RetentionSlack is how long a turn can be continued past its retention. Default: 2 s.
	RetentionSlack time.Duration
	// TurnLinger is how long the text of a turn is stored past its retention. It must exceed RetentionSlack by the duration of the
	// longest turn. Default: 30 s.
	TurnLinger time.Duration
	// BudgetLinger is how long a budget is stored past the longest retention, counted from its program's last request. Default: 120
	// s.
	BudgetLinger time.Duration
	// WriteTimeout is the time after which a write or sync that has not returned counts as stuck. Default: 2 s.
	WriteTimeout time.Duration
	// ReleaseGracePeriod is the time in which releases of gateways arrive after this turn store has become a primary; until it has
	// passed, a budget does not count as spent because of earlier reservations. Default: DefaultReleaseGracePeriod; see the function
	// ReleaseGracePeriod.
	ReleaseGracePeriod time.Duration
	// UnassignedRetention is the time after which the facts of a partition that is assigned elsewhere are dropped. Default: 30 s.
	UnassignedRetention time.Duration
}

// setDefaults sets each option that is zero to its default.
func (c *Config) setDefaults() {
	set := func(d *time.Duration, to time.Duration) {
		if *d == 0 {
			*d = to
		}
	}
	set(&c.ReplyTimeout, 250*time.Millisecond)
	set(&c.RequestTimeout, 1500*time.Millisecond)
	set(&c.RetentionSlack, 2*time.Second)
	set(&c.TurnLinger, 30*time.Second)
	set(&c.BudgetLinger, 120*time.Second)
	set(&c.WriteTimeout, 2*time.Second)
	set(&c.ReleaseGracePeriod, DefaultReleaseGracePeriod)
	set(&c.UnassignedRetention, 30*time.Second)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.FS == nil {
		c.FS = wal.OS{}
	}
	if c.Log == nil {
		c.Log = &log.DefaultLogger
	}
}

// TurnStore serves the turns and budgets of one data folder. Its methods are safe for concurrent use.
type TurnStore struct {
	cfg           Config
	folder        string // ID of the data folder
	wasEmpty      bool
	logFiles      [2]*wal.File    // "facts-0" and "facts-1"
	ctx           context.Context // of the background goroutines; ends at Close
	cancel        context.CancelFunc
	transferSlots chan struct{} // semaphore of the synchronizations that transfer facts

	maintenance sync.Mutex // held while the write-ahead log is compacted or reopened; taken before mu

	mu              sync.Mutex // guards what follows
	state           *state
	commit          *groupCommitter  // replaced when the write-ahead log is reopened
	diskState       tierv1.DiskState // as of the last CheckDisk
	diskSince       time.Time        // when CheckDisk last found that the disk is no longer sound
	activeFile      int              // index in logFiles of the one that is appended to
	hasMap          bool
	mapVersion      uint64
	partitionMap    *tierv1.PartitionMap // applied last; it is not modified
	storeNodes      map[string]string    // address by folder
	clients         map[string]tierv1.TurnStore
	comparisonSlots map[string]chan struct{} // by folder: semaphore of the comparisons with that turn store
	lastTermID      uint64                   // ID of the last term begun
	changed         chan struct{}            // closed, and replaced, at each change that SyncedReplicas or AwaitHandover wait for
	expiryGroup     uint32                   // group of partitions that the next RemoveExpired checks, modulo expiryGroups
	background      sync.WaitGroup
	closed          bool
}

var _ tierv1.TurnStore = (*TurnStore)(nil)

// Open opens a data folder, which is created if it is missing, and replays its write-ahead logs. Nothing is served before
// ApplyPartitionMap. Its errors are those of package wal, or of a record that cannot be decoded.
func Open(cfg Config) (*TurnStore, error) {
	cfg.setDefaults()
	store := &TurnStore{cfg: cfg, state: newState(), storeNodes: map[string]string{}, clients: map[string]tierv1.TurnStore{},
		comparisonSlots: map[string]chan struct{}{},
		diskState:       tierv1.DiskState_DISK_SOUND,
		changed:         make(chan struct{}), transferSlots: make(chan struct{}, maxTransfers)}
	if err := store.loadIdentity(); err != nil {
		return nil, err
	}
	now := cfg.Now()
	for i, name := range logFileNames {
		file, err := wal.Open(cfg.FS, cfg.Dir, name, store.state.replay(name, now))
		if err != nil {
			if i > 0 {
				_ = store.logFiles[0].Close()
			}
			return nil, err
		}
		store.logFiles[i] = file
	}
	store.state.markReplayed(now)
	store.activeFile = largest(store.logFiles)
	store.commit = newGroupCommitter(store.logFiles[store.activeFile], cfg.Now)
	store.ctx, store.cancel = context.WithCancel(context.Background())
	return store, nil
}

// loadIdentity reads the ID of the data folder, or generates one for a new folder.
func (store *TurnStore) loadIdentity() error {
	file, err := wal.Open(store.cfg.FS, store.cfg.Dir, "identity", func(record []byte) error {
		store.folder = string(record)
		return nil
	})
	if err != nil {
		return err
	}
	if store.folder != "" {
		return file.Close()
	}
	var randomID [8]byte
	if _, err := rand.Read(randomID[:]); err != nil {
		return errorx.Decorate(err, "generate folder ID")
	}
	store.folder, store.wasEmpty = hex.EncodeToString(randomID[:]), true
	if err := file.Append([]byte(store.folder)); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return file.Close()
}

// Folder returns the ID that was generated when the data folder was created.
func (store *TurnStore) Folder() string { return store.folder }

// WasEmpty reports whether this process has created the data folder.
func (store *TurnStore) WasEmpty() bool { return store.wasEmpty }

// Close ends all terms, awaits the background goroutines, and closes the write-ahead logs. All facts answered with OK are synced. It
// is idempotent; errors are those of the disk.
func (store *TurnStore) Close() error {
	store.mu.Lock()
	if store.closed {
		store.mu.Unlock()
		return nil
	}
	store.closed = true
	store.cancel()
	for _, p := range store.state.partitions {
		p.endTerm()
	}
	store.mu.Unlock()
	store.background.Wait()
	store.maintenance.Lock()
	defer store.maintenance.Unlock()
	b := store.commit.add()
	<-b.done
	return errorx.DecorateMany("close write-ahead log", store.logFiles[0].Close(), store.logFiles[1].Close())
}

// Run maintains the turn store until ctx ends, then returns nil: each second it checks the disk, removes what has expired and
// compacts the write-ahead log if that is due. It also checks the disk as soon as a write fails.
func (store *TurnStore) Run(ctx context.Context) error {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		failure := store.diskFailure()
		select {
		case <-ctx.Done():
			return nil
		case <-failure:
			store.CheckDisk(store.cfg.Now())
		case <-tick.C:
			store.CheckDisk(store.cfg.Now())
			store.RemoveExpired(store.cfg.Now())
			if err := store.Compact(ctx, false); err != nil && ctx.Err() == nil {
				store.cfg.Log.Warn().Str("event", "turnstore_compact_failed").Err(err).Msg("compaction of the write-ahead log failed")
			}
		}
	}
}

// diskFailure returns a channel that is closed when a write fails, or nil if the last CheckDisk has found the failure already.
func (store *TurnStore) diskFailure() <-chan struct{} {
	store.mu.Lock()
	defer store.mu.Unlock()
	if needsReopen(store.diskState) {
		return nil
	}
	return store.commit.failed
}

// maxBackoffDoublings bounds how often a backoff is doubled.
const maxBackoffDoublings = 5

// backoff returns the pause after a number of consecutive failures: the initial one, doubled for each failure, and not more than
// limit.
func backoff(initial time.Duration, failures int, limit time.Duration) time.Duration {
	return min(initial<<min(failures, maxBackoffDoublings), limit)
}

// sleep waits for d, and reports whether it has elapsed before ctx ended or stop was closed.
func sleep(ctx context.Context, stop <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
	case <-stop:
	}
	return false
}
