// Package turn store keeps turns and budgets of agent programs. Each partition has a primary and backups, named by a map that
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
	"google.golang.org/protobuf/proto"

	"dockshift.example/dockshift/internal/tier/wal"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// Config is what a turn store is made of. Durations left out have defaults.
type Config struct {
	Node        string
	Dir         string // of the write-ahead log
	FS          wal.FS
	Dial        func(addr string) tierv1.TurnStore // for the internal address of another turn store
	DiskBytes   int64                              // most that the write-ahead log may take; 0: no bound
	MemoryBytes int64                              // most that the facts may take; 0: no bound
	Log         *log.Logger

	Now      func() time.Time // steady
	Reply    time.Duration    // in which a backup answers a small request: 250 ms
	Patience time.Duration    // in which a request is answered, BUSY at the latest: 1.5 s
	Slack    time.Duration    // by which a turn is gone on from past its retention: 2 s
	Linger   time.Duration    // by which a turn's body is held past its retention, over Slack + the longest turn: 30 s
	Silence  time.Duration    // by which a budget outlives the longest retention after its last news: 120 s
	Aside    time.Duration    // after which facts of a partition that is assigned elsewhere are dropped: 30 s
}

func (c *Config) defaults() {
	set := func(d *time.Duration, to time.Duration) {
		if *d == 0 {
			*d = to
		}
	}
	set(&c.Reply, 250*time.Millisecond)
	set(&c.Patience, 1500*time.Millisecond)
	set(&c.Slack, 2*time.Second)
	set(&c.Linger, 30*time.Second)
	set(&c.Silence, 120*time.Second)
	set(&c.Aside, 30*time.Second)
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

// Turn store is the service Turn store of one folder.
type TurnStore struct {
	cfg      Config
	folder   string
	wasEmpty bool
	commit   *committer
	files    [2]*wal.File
	ctx      context.Context // ends with the turn store
	cancel   context.CancelFunc
	slots    chan struct{} // of exchanges that may run at the same time

	mu         sync.Mutex
	store      *store
	active     int // of files: appended to
	mapped     bool
	version    uint64
	storeNodes map[string]string // address by folder
	clients    map[string]tierv1.TurnStore
	terms      uint64 // number of the last term begun
	changed    chan struct{}
	rotation   uint32 // partition swept last
	loops      sync.WaitGroup
	closed     bool
}

var _ tierv1.TurnStore = (*TurnStore)(nil)

// exchanges is how many exchanges of facts between copies may run at the same time.
const exchanges = 2

// Open reads the write-ahead log of a folder, or makes the folder. Errors are those of the disk, or of a write-ahead log that is none.
func Open(cfg Config) (*TurnStore, error) {
	cfg.defaults()
	v := &TurnStore{cfg: cfg, store: newStore(), storeNodes: map[string]string{}, clients: map[string]tierv1.TurnStore{},
		changed: make(chan struct{}), slots: make(chan struct{}, exchanges)}
	if err := v.identity(); err != nil {
		return nil, err
	}
	now := cfg.Now()
	for i, name := range []string{"facts-0", "facts-1"} {
		file, err := wal.Open(cfg.FS, cfg.Dir, name, func(record []byte) error {
			f := &tierv1.Fact{}
			if err := proto.Unmarshal(record, f); err != nil {
				return errorx.Decorate(err, "%s: a record that is no fact", name)
			}
			v.store.add(f, now)
			return nil
		})
		if err != nil {
			if i > 0 {
				_ = v.files[0].Close()
			}
			return nil, err
		}
		v.files[i] = file
	}
	for _, p := range v.store.partitions {
		for _, e := range p.entries {
			e.replayed = true
		}
		p.aside = now
	}
	if v.files[1].Size() > v.files[0].Size() {
		v.active = 1
	}
	v.commit = newCommitter(v.files[v.active])
	v.ctx, v.cancel = context.WithCancel(context.Background())
	return v, nil
}

// identity reads the folder's, or draws it where there is none.
func (v *TurnStore) identity() error {
	file, err := wal.Open(v.cfg.FS, v.cfg.Dir, "identity", func(record []byte) error {
		v.folder = string(record)
		return nil
	})
	if err != nil {
		return err
	}
	if v.folder != "" {
		return file.Close()
	}
	var drawn [8]byte
	if _, err := rand.Read(drawn[:]); err != nil {
		return errorx.Decorate(err, "draw identity")
	}
	v.folder, v.wasEmpty = hex.EncodeToString(drawn[:]), true
	if err := file.Append([]byte(v.folder)); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	return file.Close()
}

// Folder is the identity that was drawn when the folder was made.
func (v *TurnStore) Folder() string { return v.folder }

// WasEmpty tells whether this process made the folder.
func (v *TurnStore) WasEmpty() bool { return v.wasEmpty }

// Failed is closed when the disk has failed: the turn store answers BUSY from then on, and the process should end.
func (v *TurnStore) Failed() <-chan struct{} { return v.commit.failed }

// Run drops what is past its time and keeps the write-ahead log short, until ctx ends or the disk fails.
func (v *TurnStore) Run(ctx context.Context) error {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-v.commit.failed:
			v.cfg.Log.Error().Str("event", "vault_disk_failed").Err(v.commit.failure()).Msg("")
			return v.commit.failure()
		case <-tick.C:
			v.Sweep(v.cfg.Now())
			if err := v.Compact(ctx, false); err != nil && ctx.Err() == nil {
				v.cfg.Log.Warn().Str("event", "vault_compact_failed").Err(err).Msg("")
			}
		}
	}
}

// Close ends all work and closes the write-ahead log. What was answered is synced.
func (v *TurnStore) Close() error {
	v.mu.Lock()
	if v.closed {
		v.mu.Unlock()
		return nil
	}
	v.closed = true
	v.cancel()
	for _, p := range v.store.partitions {
		p.end()
	}
	v.mu.Unlock()
	v.loops.Wait()
	b := v.commit.add()
	<-b.done
	return errorx.DecorateMany("close write-ahead log", v.files[0].Close(), v.files[1].Close())
}

// Sweep drops what is past its time: a part of the partitions each time, so that all have had their turn after eight.
func (v *TurnStore) Sweep(now time.Time) {
	const parts = 8
	v.mu.Lock()
	part := v.rotation % parts
	v.rotation++
	ids := make([]uint32, 0, len(v.store.partitions)/parts+1)
	for id := range v.store.partitions {
		if id%parts == part {
			ids = append(ids, id)
		}
	}
	v.mu.Unlock()
	for _, id := range ids {
		v.mu.Lock()
		p := v.store.partitions[id]
		if v.mapped && !p.aside.IsZero() && now.Sub(p.aside) > v.cfg.Aside {
			v.store.empty(p)
		}
		v.store.sweep(p, v.cfg.Linger, v.cfg.Silence, now)
		v.mu.Unlock()
	}
}

// full tells whether there is no room for new turns. The lock is held.
func (v *TurnStore) full() bool {
	const share = 0.9
	if v.cfg.MemoryBytes > 0 && float64(v.store.memory) > share*float64(v.cfg.MemoryBytes) {
		return true
	}
	return v.cfg.DiskBytes > 0 && float64(v.size()+v.store.disk) > share*float64(v.cfg.DiskBytes)
}

func (v *TurnStore) size() int64 { return v.files[0].Size() + v.files[1].Size() }
