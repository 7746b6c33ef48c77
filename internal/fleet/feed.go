package fleet

import (
	"context"
	"sync"

	"saffronyard.example/saffronyard/internal/replicatedlog"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

const (
	maxFeedEntries  = 20_000 // entries that a voter keeps for those that follow; one that is further behind is told a snapshot
	maxChunkEntries = 500    // entries in a piece
	maxChunkBytes   = 1 << 20
)

// feed is the committed log as those follow it that are no voters; the voter's own copy as well.
type feed struct {
	mu        sync.Mutex
	baseIndex uint64 // index that the snapshot is of, or the first entry is behind
	snapshot  []byte // nil: entries from 1 on are all there are
	entries   []*pb.Entry
	changed   chan struct{} // closed with each change
}

func newFeed() *feed { return &feed{changed: make(chan struct{})} }

// commit takes what is agreed now.
func (f *feed) commit(c replicatedlog.Committed) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Snapshot != nil {
		f.baseIndex, f.snapshot, f.entries = replicatedlog.SnapshotIndex(c.Snapshot), c.Snapshot, nil
	}
	f.entries = append(f.entries, c.Entries...)
	close(f.changed)
	f.changed = make(chan struct{})
}

// compact lets go of what lies before a snapshot, once that is much.
func (f *feed) compact(snapshot []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.entries) < maxFeedEntries {
		return
	}
	at := replicatedlog.SnapshotIndex(snapshot)
	if at <= f.baseIndex || at > f.baseIndex+uint64(len(f.entries)) {
		return
	}
	f.entries = append([]*pb.Entry(nil), f.entries[at-f.baseIndex:]...)
	f.baseIndex, f.snapshot = at, snapshot
}

// after gives what comes behind an index, up to a piece; and what is closed when there is more.
func (f *feed) after(index uint64) (p *pb.LogChunk, changed chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p = &pb.LogChunk{CommitIndex: f.baseIndex + uint64(len(f.entries))}
	if index < f.baseIndex {
		p.Snapshot, index = f.snapshot, f.baseIndex
	}
	size := len(p.Snapshot)
	for i := index - f.baseIndex; i < uint64(len(f.entries)) && len(p.Entries) < maxChunkEntries && size < maxChunkBytes; i++ {
		p.Entries = append(p.Entries, f.entries[i])
		size += len(f.entries[i].Command)
	}
	return p, f.changed
}

// follow passes pieces on from an index until ctx ends or told says no; beat is called when nothing came for a while.
func (f *feed) follow(ctx context.Context, index uint64, beat func() <-chan struct{}, told func(*pb.LogChunk) bool) {
	for {
		p, changed := f.after(index)
		if len(p.Snapshot) > 0 {
			index = max(index, replicatedlog.SnapshotIndex(p.Snapshot))
		}
		if n := len(p.Entries); n > 0 {
			index = p.Entries[n-1].Index
		}
		if !told(p) {
			return
		}
		if index < p.CommitIndex {
			continue
		}
		select {
		case <-changed:
		case <-beat():
		case <-ctx.Done():
			return
		}
	}
}
