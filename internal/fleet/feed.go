package fleet

import (
	"context"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/replicatedlog"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

const (
	maxFeedEntries  = 20_000 // that a voter retains for followers; a follower that is further behind gets a snapshot
	maxChunkEntries = 500    // in a chunk
	maxChunkBytes   = 1 << 20
)

// feed is the committed log as it is streamed to followers, this sender's own replica among them. It is safe for concurrent use.
type feed struct {
	mu        sync.Mutex
	baseIndex uint64 // of the snapshot; the first entry follows it
	snapshot  []byte // nil: entries holds the log from index 1 on
	entries   []*pb.Entry
	changed   chan struct{} // closed and replaced at each change
}

func newFeed() *feed { return &feed{changed: make(chan struct{})} }

// commit appends newly committed entries.
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

// compact drops the entries before a snapshot once there are at least maxFeedEntries.
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

// after returns the part of the log that follows an index, at most one chunk, and a channel that is closed at the next change.
func (f *feed) after(index uint64) (c *pb.LogChunk, changed chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c = &pb.LogChunk{CommitIndex: f.baseIndex + uint64(len(f.entries))}
	if index < f.baseIndex {
		c.Snapshot, index = f.snapshot, f.baseIndex
	}
	size := len(c.Snapshot)
	for i := index - f.baseIndex; i < uint64(len(f.entries)) && len(c.Entries) < maxChunkEntries && size < maxChunkBytes; i++ {
		c.Entries = append(c.Entries, f.entries[i])
		size += len(f.entries[i].Command)
	}
	return c, f.changed
}

// follow sends the chunks that follow an index until ctx ends or send returns false. When nothing is committed for a heartbeat interval,
// it sends an empty chunk.
func (f *feed) follow(ctx context.Context, index uint64, send func(*pb.LogChunk) bool) {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		c, changed := f.after(index)
		if len(c.Snapshot) > 0 {
			index = max(index, replicatedlog.SnapshotIndex(c.Snapshot))
		}
		if n := len(c.Entries); n > 0 {
			index = c.Entries[n-1].Index
		}
		if !send(c) {
			return
		}
		if index < c.CommitIndex {
			continue
		}
		heartbeat.Reset(heartbeatInterval)
		select {
		case <-changed:
		case <-heartbeat.C:
		case <-ctx.Done():
			return
		}
	}
}
