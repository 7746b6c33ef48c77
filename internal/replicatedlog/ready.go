package replicatedlog

import (
	"encoding/binary"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// processReady processes raft's Ready values, which hold what is to be stored, sent and applied, until there are no more.
func (v *Voter) processReady(now time.Duration) {
	for {
		if len(v.pendingReads[v.lastRead+1]) > 0 && v.isLeader() {
			v.lastRead++
			v.node.ReadIndex(encodeReadID(v.lastRead))
		}
		if !v.node.HasReady() {
			return
		}
		rd := v.node.Ready()
		if rd.SoftState != nil {
			v.leadershipChanged(now)
		}
		if rd.Snapshot != nil && rd.Snapshot.GetMetadata().GetIndex() > 0 {
			v.restore(rd.Snapshot)
		}
		v.persistReady(&rd)
		for _, m := range rd.Messages {
			v.emit(SendMessage{m})
		}
		v.apply(rd.CommittedEntries)
		for _, r := range rd.ReadStates {
			v.answerReads(now, decodeReadID(r.RequestCtx), r.Index)
		}
		v.node.Advance(rd)
		v.compact()
	}
}

func (v *Voter) persistReady(rd *raft.Ready) {
	if raft.IsEmptyHardState(rd.HardState) && len(rd.Entries) == 0 {
		return
	}
	mustSucceed(v.storage.Append(rd.Entries))
	if !raft.IsEmptyHardState(rd.HardState) {
		mustSucceed(v.storage.SetHardState(rd.HardState))
		v.hardState = rd.HardState
	}
	if rd.MustSync { // a commit index alone need not be durable: it is stored along with the next vote, term or entry
		v.emit(Persist{HardState: v.hardState, Entries: rd.Entries})
	}
}

// mustSucceed panics on an error, which ends the voter or replica: its log can't be applied.
func mustSucceed(err error) {
	if err != nil {
		panic(fmt.Sprintf("the fleet's log: %v", err))
	}
}

// restore replaces the state with a leader's snapshot.
func (v *Voter) restore(s *raftpb.Snapshot) {
	mustSucceed(v.state.Restore(s.Data))
	v.confState = s.GetMetadata().GetConfState()
	mustSucceed(v.storage.ApplySnapshot(s))
	v.compactedTo = s.GetMetadata().GetIndex()
	v.emit(Persist{HardState: v.hardState, Snapshot: s, CompactTo: v.compactedTo, ReplaceLog: true})
	v.emit(Committed{Snapshot: s.Data})
}

// apply applies committed entries and answers the clients that wait for them.
func (v *Voter) apply(entries []*raftpb.Entry) {
	var committed []*pb.Entry
	for _, e := range entries {
		raw := e.Data
		if e.GetType() != raftpb.EntryNormal {
			raw = v.reconfigure(e)
		}
		outcome, err := v.state.Apply(e.GetIndex(), e.GetTerm(), raw)
		mustSucceed(err)
		id := commandID{outcome.Session, outcome.Sequence}
		if to, ok := v.pendingCommands[id]; ok && outcome.Session != 0 {
			delete(v.pendingCommands, id)
			v.reply(to, submitReply(outcome))
		}
		committed = append(committed, &pb.Entry{Index: e.GetIndex(), Term: e.GetTerm(), Command: raw})
	}
	if len(committed) > 0 {
		v.emit(Committed{Entries: committed})
	}
}

func submitReply(o Outcome) *pb.SubmitReply {
	return &pb.SubmitReply{Index: o.Index, Result: o.Result, Rejection: o.Rejection}
}

// compact takes a snapshot once enough entries were applied since the last one, and drops the entries before the retained ones.
func (v *Voter) compact() {
	applied := v.state.Index()
	if applied < v.compactedTo+snapshotInterval+retainedEntries {
		return
	}
	raw, err := v.state.Snapshot()
	mustSucceed(err)
	snap, err := v.storage.CreateSnapshot(applied, v.confState, raw)
	mustSucceed(err)
	v.compactedTo = applied - retainedEntries
	mustSucceed(v.storage.Compact(v.compactedTo))
	v.emit(Persist{HardState: v.hardState, Snapshot: snap, CompactTo: v.compactedTo})
}

func encodeReadID(id uint64) []byte { return binary.LittleEndian.AppendUint64(nil, id) }

// decodeReadID accepts contexts of any length, because they arrive in messages from peers.
func decodeReadID(b []byte) uint64 {
	var id [8]byte
	copy(id[:], b)
	return binary.LittleEndian.Uint64(id[:])
}
