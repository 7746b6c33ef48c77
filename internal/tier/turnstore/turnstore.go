// Package turnstore keeps turns and budgets of agent programs. Each partition has a primary and backups, named by a map that
// the control state decides on; what the primary answers is synced there and at all backups of its epoch first.
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

// Config is what a turn store is made of. Durations left out have defaults.
type Config struct {
	Node        string
	Dir         string // of the write-ahead log
	FS          wal.FS
	Dial        func(addr string) tierv1.TurnStore // for the internal address of another turn store
	DiskBytes   int64                              // bound on the write-ahead log; 0: none
	MemoryBytes int64                              // bound on the estimated size of the facts; 0: none
	Log         *log.Logger

	Now                 func() time.Time // steady
	ReplyTimeout        time.Duration    // in which a backup answers a small request: 250 ms
	RequestTimeout      time.Duration    // in which a request is answered, BUSY at the latest: 1.5 s
	RetentionSlack      time.Duration    // by which a turn is gone on from past its retention: 2 s
	TurnLinger          time.Duration    // by which a turn's body is held past its retention, over Slack + the longest turn: 30 s
	BudgetLinger        time.Duration    // by which a budget outlives the longest retention after its last news: 120 s
	WriteTimeout        time.Duration    // after which a write or sync that has not returned counts as stuck: 2 s
	ReleaseGracePeriod  time.Duration    // in which a release comes through after this turn store became the primary: DefaultReleaseTime
	UnassignedRetention time.Duration    // after which facts of a partition that is assigned elsewhere are dropped: 30 s
}

func (c *Config) defaults() {
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
	folder        string
	wasEmpty      bool
	logFiles      [2]*wal.File
	ctx           context.Context // ends with the turn store
	cancel        context.CancelFunc
	transferSlots chan struct{} // of exchanges that may run at the same time

	maintenance sync.Mutex // held while the write-ahead log is compacted or opened again; taken before mu

	mu              sync.Mutex
	state           *state
	commit          *groupCommitter  // replaced when the disk is sound again
	diskState       tierv1.DiskState // noted last
	diskSince       time.Time        // when it ceased to be sound
	activeFile      int              // of files: appended to
	hasMap          bool
	mapVersion      uint64
	partitionMap    *tierv1.PartitionMap // applied last; it is not modified
	storeNodes      map[string]string    // address by folder
	clients         map[string]tierv1.TurnStore
	comparisonSlots map[string]chan struct{} // semaphores by folder
	lastTermID      uint64                   // number of the last term begun
	changed         chan struct{}
	expiryGroup     uint32 // partition swept last
	background      sync.WaitGroup
	closed          bool
}

var _ tierv1.TurnStore = (*TurnStore)(nil)

// maxTransfers is how many exchanges of facts between copies may run at the same time.
const maxTransfers = 2

// Open reads the write-ahead log of a folder, or makes the folder. Errors are those of the disk, or of a write-ahead log that is none.
func Open(cfg Config) (*TurnStore, error) {
	cfg.defaults()
	v := &TurnStore{cfg: cfg, state: newState(), storeNodes: map[string]string{}, clients: map[string]tierv1.TurnStore{},
		comparisonSlots: map[string]chan struct{}{},
		diskState:       tierv1.DiskState_DISK_SOUND,
		changed:         make(chan struct{}), transferSlots: make(chan struct{}, maxTransfers)}
	if err := v.loadIdentity(); err != nil {
		return nil, err
	}
	now := cfg.Now()
	for i, name := range logFileNames {
		file, err := wal.Open(cfg.FS, cfg.Dir, name, v.state.replay(name, now))
		if err != nil {
			if i > 0 {
				_ = v.logFiles[0].Close()
			}
			return nil, err
		}
		v.logFiles[i] = file
	}
	v.state.markReplayed(now)
	v.activeFile = largest(v.logFiles)
	v.commit = newGroupCommitter(v.logFiles[v.activeFile], cfg.Now)
	v.ctx, v.cancel = context.WithCancel(context.Background())
	return v, nil
}

// loadIdentity reads the folder's, or draws it where there is none.
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
	var drawn [8]byte
	if _, err := rand.Read(drawn[:]); err != nil {
		return errorx.Decorate(err, "draw identity")
	}
	store.folder, store.wasEmpty = hex.EncodeToString(drawn[:]), true
	if err := file.Append([]byte(store.folder)); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return file.Close()
}

// Folder is the identity that was drawn when the folder was made.
func (store *TurnStore) Folder() string { return store.folder }

// WasEmpty tells whether this process made the folder.
func (store *TurnStore) WasEmpty() bool { return store.wasEmpty }

// Close ends all work and closes the write-ahead log. What was answered is synced.
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

// RemoveExpired drops what is past its time: a part of the partitions each time, so that all have had their turn after eight.
func (store *TurnStore) RemoveExpired(now time.Time) {
	const parts = 8
	store.mu.Lock()
	part := store.expiryGroup % parts
	store.expiryGroup++
	ids := make([]uint32, 0, len(store.state.partitions)/parts+1)
	for id := range store.state.partitions {
		if id%parts == part {
			ids = append(ids, id)
		}
	}
	store.mu.Unlock()
	for _, id := range ids {
		store.mu.Lock()
		p := store.state.partitions[id]
		if store.hasMap && !p.unassignedSince.IsZero() && now.Sub(p.unassignedSince) > store.cfg.UnassignedRetention {
			store.state.dropAll(p)
		}
		store.state.removeExpired(p, store.cfg.TurnLinger, store.cfg.BudgetLinger, now)
		store.mu.Unlock()
	}
}

// atCapacity tells whether there is no room for new turns. The lock is held.
func (store *TurnStore) atCapacity() bool {
	const share = 0.9
	if store.cfg.MemoryBytes > 0 && float64(store.state.memory) > share*float64(store.cfg.MemoryBytes) {
		return true
	}
	return store.cfg.DiskBytes > 0 && float64(store.logSize()+store.state.disk) > share*float64(store.cfg.DiskBytes)
}

func (store *TurnStore) logSize() int64 { return store.logFiles[0].Size() + store.logFiles[1].Size() }
