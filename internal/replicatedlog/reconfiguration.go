package replicatedlog

import (
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// changeVoters begins a joint change of voters. Its context tells their names and addresses.
func (c *Voter) changeVoters(e VoterChangeRequested) {
	if !c.isLeader() {
		c.emit(Reply{e.ReplyTo, ErrNotLeader})
		return
	}
	if done, ok := c.state.Outcome(e.Command.Session, e.Command.Sequence); ok { // its answer was lost
		c.emit(Reply{e.ReplyTo, &pb.SubmitReply{Index: done.Index, Result: done.Result, Rejection: done.Rejection}})
		return
	}
	v := &pb.VoterChange{}
	if err := proto.Unmarshal(e.Command.Body, v); err != nil {
		c.emit(Reply{e.ReplyTo, err})
		return
	}
	voters := map[uint64]bool{}
	for id := range c.node.Status().Config.Voters.IDs() {
		voters[id] = true
	}
	cc := &raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionAuto.Enum()}
	for _, a := range v.Add {
		switch was := c.state.voters[a.Id]; {
		case a.Id != VoterID(a.Name) || a.Name == "" || len(a.Name) > maxNameBytes:
			c.emit(Reply{e.ReplyTo, &pb.SubmitReply{Rejection: fmt.Sprintf("%q can't be a voter's name", a.Name)}})
			return
		case was != nil && was.Removed:
			c.emit(Reply{e.ReplyTo, &pb.SubmitReply{Rejection: a.Name + " was a voter and was removed: what it promised counts on, so a machine in its place needs a name of its own"}})
			return
		case voters[a.Id]:
			c.emit(Reply{e.ReplyTo, &pb.SubmitReply{Rejection: a.Name + " is a voter already"}})
			return
		}
		voters[a.Id] = true
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: new(a.Id)})
	}
	for _, name := range v.Remove {
		id := VoterID(name)
		if !voters[id] {
			c.emit(Reply{e.ReplyTo, &pb.SubmitReply{Rejection: fmt.Sprintf("%q is no voter", name)}})
			return
		}
		delete(voters, id)
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: new(id)})
	}
	if len(voters) == 0 || len(cc.Changes) == 0 {
		c.emit(Reply{e.ReplyTo, &pb.SubmitReply{Rejection: "a change of voters adds or removes some, and leaves one"}})
		return
	}
	var err error
	if cc.Context, err = proto.Marshal(e.Command); err == nil {
		err = c.node.ProposeConfChange(cc)
	}
	if err != nil {
		c.emit(Reply{e.ReplyTo, err})
		return
	}
	c.pendingCommands[[2]uint64{e.Command.Session, e.Command.Sequence}] = e.ReplyTo
}

// reconfigure takes a change of voters over, and gives the command that says so in the state.
func (c *Voter) reconfigure(e *raftpb.Entry) []byte {
	cc := &raftpb.ConfChangeV2{}
	if e.GetType() == raftpb.EntryConfChange {
		one := &raftpb.ConfChange{}
		mustSucceed(proto.Unmarshal(e.Data, one))
		cc = one.AsV2()
	} else {
		mustSucceed(proto.Unmarshal(e.Data, cc))
	}
	c.confState = c.node.ApplyConfChange(cc)
	c.emit(Persist{ConfState: c.confState})
	return cc.Context
}
