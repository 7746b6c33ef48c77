package fleet

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/replicatedlog"
	"saffronyard.example/saffronyard/internal/worker"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// idleNode returns a node that was not started.
func idleNode(t *testing.T) *Node {
	t.Helper()
	n := newNode(Config{Name: "a", Cluster: "c", Now: Now}, slog.New(slog.DiscardHandler), "127.0.0.1:1", Now)
	t.Cleanup(n.stop)
	return n
}

// The voter's worker starts and exits while messages are sent to its peers: there must be no data race between the two. The
// race detector has to be on to find one.
func TestSendLoop_VoterExitsMeanwhile(t *testing.T) {
	n := idleNode(t)
	ring := worker.NewRingBuffer[*raftpb.Message]("to b", 1, worker.DropOldest, nil)
	ctx, cancel := context.WithCancel(n.ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.sendLoop(ctx, "b", ring) // b has no address: each stream fails at once
	}()
	for range 100 {
		inbox := worker.NewRingBuffer[replicatedlog.VoterEvent](voterWorker, 1, worker.DropOldest, nil)
		n.mu.Lock()
		n.voter = &voterActor{Name: voterWorker, Inbox: inbox}
		n.mu.Unlock()
		n.workerExited(voterWorker, errors.New("the disk has failed"))
	}
	cancel()
	<-ended
}

// The senders from the leader's lease reply are appended to a copy: the report must not modify the voter's status, which other goroutines
// read.
func TestPolicyReport_DoesNotModifyStatus(t *testing.T) {
	n := idleNode(t)
	own := fleetpolicy.PendingSender{Name: "own"}
	status := append(make([]fleetpolicy.PendingSender, 0, 4), own)
	n.status.WaitingOn = status
	n.waitingOn = []*pb.PendingSender{{Name: "heard", RemainingUs: time.Second.Microseconds()}}
	n.replicaReport.policy = &pb.PolicyState{OpenChange: &pb.Change{Id: 1}}
	n.mu.Lock()
	report := n.policyReport()
	n.mu.Unlock()
	if got := report.Open.WaitingOn; len(got) != 2 || got[1].Name != "heard" {
		t.Fatalf("reported %+v", got)
	}
	if behind := status[:2][1]; behind.Name != "" {
		t.Errorf("the report wrote %+v into the voter's status", behind)
	}
}
