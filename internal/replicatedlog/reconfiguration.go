package replicatedlog

import (
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// changeVoters begins a joint change of voters (thesis, 4.3). The command is attached as the change's context, so that the state gets
// the voters' names and addresses.
func (v *Voter) changeVoters(e VoterChangeRequested) {
	if !v.isLeader() {
		v.replyError(e.ReplyTo, ErrNotLeader)
		return
	}
	if outcome, ok := v.state.Outcome(e.Command.Session, e.Command.Sequence); ok { // applied already: the reply to it was lost
		v.reply(e.ReplyTo, submitReply(outcome))
		return
	}
	change := &pb.VoterChange{}
	if err := proto.Unmarshal(e.Command.Body, change); err != nil {
		v.replyError(e.ReplyTo, err)
		return
	}
	cc, rejection := v.confChange(change)
	if rejection != "" {
		v.reply(e.ReplyTo, &pb.SubmitReply{Rejection: rejection})
		return
	}
	var err error
	if cc.Context, err = proto.Marshal(e.Command); err == nil {
		err = v.node.ProposeConfChange(cc)
	}
	if err != nil {
		v.replyError(e.ReplyTo, err)
		return
	}
	v.pendingCommands[commandID{e.Command.Session, e.Command.Sequence}] = e.ReplyTo
}

// confChange converts a change of voters to raft's form, or returns why the change is rejected.
func (v *Voter) confChange(change *pb.VoterChange) (cc *raftpb.ConfChangeV2, rejection string) {
	voters := v.node.Status().Config.Voters.IDs()
	cc = &raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionAuto.Enum()}
	for _, a := range change.Add {
		_, isVoter := voters[a.Id]
		switch former := v.state.voters[a.Id]; {
		case a.Id != VoterID(a.Name) || a.Name == "" || len(a.Name) > maxNameBytes:
			return nil, fmt.Sprintf("%q can't be a voter's name", a.Name)
		case former != nil && former.Removed:
			return nil, a.Name + " was a voter and was removed: what it promised counts on, so a machine in its place needs a name of its own"
		case isVoter:
			return nil, a.Name + " is a voter already"
		}
		voters[a.Id] = struct{}{}
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: new(a.Id)})
	}
	for _, name := range change.Remove {
		id := VoterID(name)
		if _, isVoter := voters[id]; !isVoter {
			return nil, fmt.Sprintf("%q is no voter", name)
		}
		delete(voters, id)
		cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: new(id)})
	}
	if len(voters) == 0 || len(cc.Changes) == 0 {
		return nil, "a change of voters adds or removes some, and leaves one"
	}
	return cc, ""
}

// reconfigure applies a committed change of voters to raft, and returns the command that it carries for the state.
func (v *Voter) reconfigure(e *raftpb.Entry) []byte {
	cc := &raftpb.ConfChangeV2{}
	if e.GetType() == raftpb.EntryConfChange {
		single := &raftpb.ConfChange{}
		mustSucceed(proto.Unmarshal(e.Data, single))
		cc = single.AsV2()
	} else {
		mustSucceed(proto.Unmarshal(e.Data, cc))
	}
	v.confState = v.node.ApplyConfChange(cc)
	v.emit(Persist{ConfState: v.confState})
	return cc.Context
}
