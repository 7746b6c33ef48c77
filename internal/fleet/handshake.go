package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"saffronyard.example/saffronyard/internal/replicatedlog"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// handshake asks all other voters that the folder names, until each has answered; nil if the node stops first.
func (n *Node) handshake(saved *replicatedlog.StoredLog) map[string]replicatedlog.PeerState {
	f, heard := saved.Position(), map[string]replicatedlog.PeerState{}
	conf := saved.ConfState
	if saved.Snapshot != nil {
		conf = saved.Snapshot.GetMetadata().GetConfState()
	}
	for {
		missing := ""
		ids := n.otherVoters(conf)
		var round sync.WaitGroup
		var mu sync.Mutex
		for _, id := range ids {
			name := n.nameOf(id)
			mu.Lock()
			_, done := heard[name]
			mu.Unlock()
			if done {
				continue
			}
			round.Add(1)
			go func() {
				defer round.Done()
				ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
				defer cancel()
				client, err := n.conns.client(n.address(name))
				var r *pb.HelloReply
				if err == nil {
					r, err = client.Hello(ctx, &pb.HelloRequest{Cluster: n.cfg.Cluster, Name: n.cfg.Name, Incarnation: n.incarnation, VoterId: replicatedlog.VoterID(n.cfg.Name), Term: f.Term, LastIndex: f.LastIndex})
				}
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					missing += " " + name
					return
				}
				heard[name] = replicatedlog.PeerState{Term: r.Term, LastTerm: r.LastTerm, LastIndex: r.LastIndex, MatchIndex: r.MatchIndex}
			}()
		}
		round.Wait()
		n.mu.Lock()
		n.missingVoters = missing
		n.mu.Unlock()
		if missing == "" {
			return heard
		}
		select {
		case <-n.ctx.Done():
			return nil
		case <-time.After(handshakeInterval):
		}
	}
}

// otherVoters are the other voters: those that the folder names and those that were added since, as far as the copy has come, but
// for those that were removed.
func (n *Node) otherVoters(conf *raftpb.ConfState) []uint64 {
	ids := slices.Concat(conf.GetVoters(), conf.GetVotersOutgoing())
	gone := []uint64{replicatedlog.VoterID(n.cfg.Name)}
	n.mu.Lock()
	for _, v := range n.replicaReport.voters {
		if v.Removed {
			gone = append(gone, v.Id)
		} else {
			ids = append(ids, v.Id)
		}
	}
	n.mu.Unlock()
	slices.Sort(ids)
	return slices.DeleteFunc(slices.Compact(ids), func(id uint64) bool { return slices.Contains(gone, id) })
}
