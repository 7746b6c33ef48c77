package replicatedlog

import (
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// processReady takes from raft what it has for the disk, for others and for the state.
func (c *Voter) processReady(now time.Duration) {
	for {
		if len(c.pendingReads[c.lastRead+1]) > 0 && c.isLeader() {
			c.lastRead++
			c.node.ReadIndex(encodeReadID(c.lastRead))
		}
		if !c.node.HasReady() {
			return
		}
		rd := c.node.Ready()
		if rd.SoftState != nil {
			c.leadershipChanged(now)
		}
		if rd.Snapshot != nil && rd.Snapshot.GetMetadata().GetIndex() > 0 {
			c.restore(rd.Snapshot)
		}
		if !raft.IsEmptyHardState(rd.HardState) || len(rd.Entries) > 0 {
			mustSucceed(c.storage.Append(rd.Entries))
			if !raft.IsEmptyHardState(rd.HardState) {
				mustSucceed(c.storage.SetHardState(rd.HardState))
				c.hardState = rd.HardState
			}
			if rd.MustSync { // that more is committed is no promise: it goes along with the next one that is
				c.emit(Persist{HardState: c.hardState, Entries: rd.Entries})
			}
		}
		for _, m := range rd.Messages {
			c.emit(SendMessage{m})
		}
		c.apply(rd.CommittedEntries)
		for _, r := range rd.ReadStates {
			c.answerReads(now, decodeReadID(r.RequestCtx), r.Index)
		}
		c.node.Advance(rd)
		c.compact()
	}
}

func (c *Voter) restore(s *raftpb.Snapshot) {
	mustSucceed(c.state.Restore(s.Data))
	c.confState = s.GetMetadata().GetConfState()
	mustSucceed(c.storage.ApplySnapshot(s))
	c.compactedTo = s.GetMetadata().GetIndex()
	c.emit(Persist{HardState: c.hardState, Snapshot: s, CompactTo: c.compactedTo, ReplaceLog: true})
	c.emit(Committed{Snapshot: s.Data})
}

func (c *Voter) apply(entries []*raftpb.Entry) {
	var told []*pb.Entry
	for _, e := range entries {
		raw := e.Data
		if e.GetType() != raftpb.EntryNormal {
			raw = c.reconfigure(e)
		}
		done, err := c.state.Apply(e.GetIndex(), e.GetTerm(), raw)
		mustSucceed(err)
		if to, ok := c.pendingCommands[[2]uint64{done.Session, done.Sequence}]; ok && done.Session != 0 {
			delete(c.pendingCommands, [2]uint64{done.Session, done.Sequence})
			c.emit(Reply{to, &pb.SubmitReply{Index: done.Index, Result: done.Result, Rejection: done.Rejection}})
		}
		told = append(told, &pb.Entry{Index: e.GetIndex(), Term: e.GetTerm(), Command: raw})
	}
	if len(told) > 0 {
		c.emit(Committed{Entries: told})
	}
}

// compact takes a snapshot now and then, and lets go of what lies before it.
func (c *Voter) compact() {
	applied := c.state.Index()
	if applied < c.compactedTo+snapshotInterval+entriesKept {
		return
	}
	raw, err := c.state.Snapshot()
	mustSucceed(err)
	snap, err := c.storage.CreateSnapshot(applied, c.confState, raw)
	mustSucceed(err)
	c.compactedTo = applied - entriesKept
	mustSucceed(c.storage.Compact(c.compactedTo))
	c.emit(Persist{HardState: c.hardState, Snapshot: snap, CompactTo: c.compactedTo})
}

func encodeReadID(n uint64) []byte {
	b := make([]byte, 8)
	for i := range b {
		b[i] = byte(n >> (8 * i))
	}
	return b
}

func decodeReadID(b []byte) (n uint64) {
	for i, o := range b {
		n |= uint64(o) << (8 * i)
	}
	return n
}

func mustSucceed(err error) {
	if err != nil {
		panic(fmt.Sprintf("the fleet's log: %v", err))
	}
}
