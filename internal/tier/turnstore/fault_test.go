package turnstore

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestReplication_FaultAtEachMessage(t *testing.T) {
	for _, replace := range []bool{false, true} {
		for f := lostRequest; f < faultCount; f++ {
			for at := 1; at <= 16; at++ {
				t.Run(fmt.Sprintf("replace=%v/fault=%d/message=%d", replace, f, at), func(t *testing.T) {
					t.Parallel()
					s := newScript(t, replace)
					s.cluster.mu.Lock()
					s.cluster.fault, s.cluster.faultAt = f, s.cluster.calls+at
					s.cluster.mu.Unlock()
					s.storeThreeTurns()
					s.verify()
				})
			}
		}
	}
}

func TestReplication_PowerLossAtEachDiskOperation(t *testing.T) {
	for _, both := range []bool{false, true} {
		for _, victim := range []string{"a", "b"} {
			for at := 1; at <= diskOperations; at++ {
				t.Run(fmt.Sprintf("both=%v/%s/%d", both, victim, at), func(t *testing.T) {
					t.Parallel()
					runPowerLoss(t, injection{}, both, victim, at)
				})
			}
		}
	}
}

// diskOperations is the number of disk operations, counted from the first, at each of which one run loses power.
const diskOperations = 14

// runPowerLoss is one run of TestReplication_PowerLossAtEachDiskOperation.
func runPowerLoss(t reporter, injected injection, both bool, victim string, at int) {
	s := newScriptWith(t, injected, false)
	s.cluster.nodes[victim].disk.DieAt(at)
	if both {
		s.cluster.nodes["a"].disk.DieAt(at)
		s.cluster.nodes["b"].disk.DieAt(at)
	}
	s.storeThreeTurns()
	s.verify()
}

// TestReplicaLoss_InEachStepOfRepair runs a repair, a handover and a planned replacement, with a fault at each of the first messages. When the
// replicas are reported synced, the primary is lost with its disk at once, before any other message.
func TestReplicaLoss_InEachStepOfRepair(t *testing.T) {
	for _, step := range repairSteps {
		for f := lostRequest; f < faultCount; f++ {
			if !step.tolerates(f) {
				continue
			}
			for at := 1; at <= faultedMessages; at++ {
				t.Run(fmt.Sprintf("%s/fault=%d/message=%d", step.name, f, at), func(t *testing.T) {
					t.Parallel()
					runLoss(t, injection{}, step, f, at)
				})
			}
		}
	}
}

// faultedMessages is the number of messages of a repair, counted from the first, at each of which one run injects a fault.
const faultedMessages = 8

// repairStep is an operation that creates a replica.
type repairStep struct {
	name              string
	onlySyncedReplica bool // the primary is the only replica with all facts
	begin             func(s *script)
}

// tolerates reports whether the cluster must tolerate a fault in this step.
func (r repairStep) tolerates(f fault) bool { return f != senderWiped || !r.onlySyncedReplica }

var repairSteps = []repairStep{
	{name: "a repair", onlySyncedReplica: true, begin: func(s *script) { // the backup's disk is lost, the spare machine gets a replica
		s.cluster.crash("b", true)
		s.cluster.restart("b")
		s.backup, s.spare = "c", "b"
	}},
	{name: "a hand-over", begin: func(s *script) { // the primary received SIGTERM
		s.primary, s.backup, s.spare, s.draining = "b", "c", "a", "a"
	}},
	{name: "a planned replacement", begin: func(s *script) { // a new machine has started, then the primary receives SIGTERM and is removed
		s.cluster.crash("c", true)
		s.cluster.restart("c")
		s.primary, s.backup, s.spare, s.draining = "b", "c", "a", "a"
	}},
}

// runLoss runs one step with a fault at one of its messages, and the loss of the primary right after it.
func runLoss(t reporter, injected injection, step repairStep, f fault, at int) {
	s := newScriptWith(t, injected, false)
	s.storeThreeTurns()
	s.cluster.armFault(f, at)
	step.begin(s)
	s.addReplica()
	s.awaitReplicas()
	s.losePrimary()
	s.verify()
}

// TestReplicaLoss_TwoOfFour runs four machines that tolerate two losses at a time. One loses its disk, a second one at each message
// of the repair, and a third one right after the repair is reported synced: at most two at a time.
func TestReplicaLoss_TwoOfFour(t *testing.T) {
	for at := 0; at <= faultedMessages; at++ {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			t.Parallel()
			runTwoLosses(t, injection{}, at)
		})
	}
}

// runTwoLosses is one run of TestReplicaLoss_TwoOfFour, with the second loss at a message, or after the repair if at is 0.
func runTwoLosses(t reporter, injected injection, at int) {
	c := newClusterWith(t, injected, "a", "b", "c", "d")
	c.assign("a", "b", "c")
	c.publish()
	k := newChecker(c)
	k.mustStore("a", "t1", "")
	k.mustStore("a", "t2", "t1")
	c.crash("b", true)
	c.restart("b")
	if at > 0 {
		c.armFault(senderDies, at)
	}
	c.assign("a", "c", "?d")
	c.publish()
	if at > 0 {
		c.awaitFault() // the second loss, in the middle of the repair
		c.crash("a", true)
		c.restart("a")
		c.assign("c", "?d", "?a")
		c.publish()
		c.awaitSynced("c", 2*partitionCount)
		c.assign("c", "d", "a")
		c.publish()
		c.crash("c", true)
		c.restart("c")
		c.assign("d", "a", "?c")
		c.publish()
	} else {
		c.awaitSynced("a", partitionCount)
		c.assign("a", "c", "d")
		c.publish()
		c.crash("a", true)
		c.crash("c", true)
		c.restart("a")
		c.restart("c")
		c.assign("d", "?a", "?c")
		c.publish()
	}
	r := beginRequest("t3", "t2")
	r.MaxTokens = 81 // 20 are charged
	assert.Equal(t, k.beginUntilNotBusy("d", r), spent)
	assert.Equal(t, k.beginUntilNotBusy("d", beginRequest("t4", "t2")), ok)
}
