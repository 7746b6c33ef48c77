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

	Now            func() time.Time // steady
	ReplyTimeout   time.Duration    // in which a backup answers a small request: 250 ms
	RequestTimeout time.Duration    // in which a request is answered, BUSY at the latest: 1.5 s
	RetentionSlack time.Duration    // by which a turn is gone on from past its retention: 2 s
	BodyLinger     time.Duration    // by which a turn's body is held past its retention, over Slack + the longest turn: 30 s
	BudgetLinger   time.Duration    // by which a budget outlives the longest retention after its last news: 120 s
	StuckAfter     time.Duration    // after which a write or sync that has not returned counts as stuck: 2 s
	ReleaseTime    time.Duration    // in which a release comes through after this turn store became the primary: DefaultReleaseTime
	DropAfter      time.Duration    // after which facts of a partition that is assigned elsewhere are dropped: 30 s
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
	set(&c.BodyLinger, 30*time.Second)
	set(&c.BudgetLinger, 120*time.Second)
	set(&c.StuckAfter, 2*time.Second)
	set(&c.ReleaseTime, DefaultReleaseTime)
	set(&c.DropAfter, 30*time.Second)
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
	cfg      Config
	folder   string
	wasEmpty bool
	files    [2]*wal.File
	ctx      context.Context // ends with the turn store
	cancel   context.CancelFunc
	slots    chan struct{} // of exchanges that may run at the same time

	maintenance sync.Mutex // held while the write-ahead log is compacted or opened again; taken before mu

	mu           sync.Mutex
	store        *store
	commit       *committer       // replaced when the disk is sound again
	diskState    tierv1.DiskState // noted last
	diskSince    time.Time        // when it ceased to be sound
	active       int              // of files: appended to
	mapped       bool
	version      uint64
	partitionMap *tierv1.PartitionMap // applied last; it is not modified
	storeNodes   map[string]string    // address by folder
	clients      map[string]tierv1.TurnStore
	comparisons  map[string]chan struct{} // semaphores by folder
	terms        uint64                   // number of the last term begun
	changed      chan struct{}
	sweepPart    uint32 // partition swept last
	loops        sync.WaitGroup
	closed       bool
}

var _ tierv1.TurnStore = (*TurnStore)(nil)

// maxExchanges is how many exchanges of facts between copies may run at the same time.
const maxExchanges = 2

// Open reads the write-ahead log of a folder, or makes the folder. Errors are those of the disk, or of a write-ahead log that is none.
func Open(cfg Config) (*TurnStore, error) {
	cfg.defaults()
	v := &TurnStore{cfg: cfg, store: newStore(), storeNodes: map[string]string{}, clients: map[string]tierv1.TurnStore{},
		comparisons: map[string]chan struct{}{},
		diskState:   tierv1.DiskState_DISK_SOUND,
		changed:     make(chan struct{}), slots: make(chan struct{}, maxExchanges)}
	if err := v.identity(); err != nil {
		return nil, err
	}
	now := cfg.Now()
	for i, name := range factFiles {
		file, err := wal.Open(cfg.FS, cfg.Dir, name, v.store.replay(name, now))
		if err != nil {
			if i > 0 {
				_ = v.files[0].Close()
			}
			return nil, err
		}
		v.files[i] = file
	}
	v.store.markReplayed(now)
	v.active = largest(v.files)
	v.commit = newCommitter(v.files[v.active], cfg.Now)
	v.ctx, v.cancel = context.WithCancel(context.Background())
	return v, nil
}

// identity reads the folder's, or draws it where there is none.
func (store *TurnStore) identity() error {
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
	for _, p := range store.store.partitions {
		p.end()
	}
	store.mu.Unlock()
	store.loops.Wait()
	store.maintenance.Lock()
	defer store.maintenance.Unlock()
	b := store.commit.add()
	<-b.done
	return errorx.DecorateMany("close write-ahead log", store.files[0].Close(), store.files[1].Close())
}

// Sweep drops what is past its time: a part of the partitions each time, so that all have had their turn after eight.
func (store *TurnStore) Sweep(now time.Time) {
	const parts = 8
	store.mu.Lock()
	part := store.sweepPart % parts
	store.sweepPart++
	ids := make([]uint32, 0, len(store.store.partitions)/parts+1)
	for id := range store.store.partitions {
		if id%parts == part {
			ids = append(ids, id)
		}
	}
	store.mu.Unlock()
	for _, id := range ids {
		store.mu.Lock()
		p := store.store.partitions[id]
		if store.mapped && !p.unassignedSince.IsZero() && now.Sub(p.unassignedSince) > store.cfg.DropAfter {
			store.store.empty(p)
		}
		store.store.sweep(p, store.cfg.BodyLinger, store.cfg.BudgetLinger, now)
		store.mu.Unlock()
	}
}

// full tells whether there is no room for new turns. The lock is held.
func (store *TurnStore) full() bool {
	const share = 0.9
	if store.cfg.MemoryBytes > 0 && float64(store.store.memory) > share*float64(store.cfg.MemoryBytes) {
		return true
	}
	return store.cfg.DiskBytes > 0 && float64(store.size()+store.store.disk) > share*float64(store.cfg.DiskBytes)
}

func (store *TurnStore) size() int64 { return store.files[0].Size() + store.files[1].Size() }
