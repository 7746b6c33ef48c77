package fleet

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"saffronyard.example/saffronyard/internal/replicatedlog"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// handshake calls all other voters of the stored log until each has answered, and returns the answers; nil if the node stops first.
func (n *Node) handshake(stored *replicatedlog.StoredLog) map[string]replicatedlog.PeerState {
	answers := map[string]replicatedlog.PeerState{}
	conf := stored.ConfState
	if stored.Snapshot != nil {
		conf = stored.Snapshot.GetMetadata().GetConfState()
	}
	for {
		missing := n.handshakeOnce(stored.Position(), n.otherVoters(conf), answers)
		n.mu.Lock()
		n.missingVoters = missing
		n.mu.Unlock()
		if missing == "" {
			return answers
		}
		select {
		case <-n.ctx.Done():
			return nil
		case <-time.After(handshakeInterval):
		}
	}
}

// handshakeOnce calls in parallel the voters that have not answered yet, and adds their replies to answers. missing has the names of
// those that did not answer, each after a space.
func (n *Node) handshakeOnce(position replicatedlog.StoredPosition, ids []uint64, answers map[string]replicatedlog.PeerState) (missing string) {
	var pending []string
	for _, id := range ids {
		if name := n.nameOf(id); !hasAnswer(answers, name) {
			pending = append(pending, name)
		}
	}
	var mu sync.Mutex // guards answers and failed
	var failed strings.Builder
	var calls sync.WaitGroup
	for _, name := range pending {
		calls.Go(func() {
			r, err := n.callHello(name, position)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed.WriteString(" " + name)
				return
			}
			answers[name] = replicatedlog.PeerState{Term: r.Term, LastTerm: r.LastTerm, LastIndex: r.LastIndex, MatchIndex: r.MatchIndex}
		})
	}
	calls.Wait()
	return failed.String()
}

func hasAnswer(answers map[string]replicatedlog.PeerState, name string) bool {
	_, ok := answers[name]
	return ok
}

func (n *Node) callHello(name string, position replicatedlog.StoredPosition) (*pb.HelloReply, error) {
	ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
	defer cancel()
	client, err := n.conns.client(n.address(name))
	if err != nil {
		return nil, err
	}
	return client.Hello(ctx, &pb.HelloRequest{Cluster: n.cfg.Cluster, Name: n.cfg.Name, Incarnation: n.incarnation,
		VoterId: replicatedlog.VoterID(n.cfg.Name), Term: position.Term, LastIndex: position.LastIndex})
}

// otherVoters are the ids of all other voters: those of the stored configuration and those that were added since, as far as the replica has
// applied the log, without those that were removed.
func (n *Node) otherVoters(conf *raftpb.ConfState) []uint64 {
	ids := slices.Concat(conf.GetVoters(), conf.GetVotersOutgoing())
	excluded := []uint64{replicatedlog.VoterID(n.cfg.Name)}
	n.mu.Lock()
	for _, v := range n.replicaReport.voters {
		if v.Removed {
			excluded = append(excluded, v.Id)
		} else {
			ids = append(ids, v.Id)
		}
	}
	n.mu.Unlock()
	slices.Sort(ids)
	return slices.DeleteFunc(slices.Compact(ids), func(id uint64) bool { return slices.Contains(excluded, id) })
}
