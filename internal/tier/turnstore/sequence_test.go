package turnstore

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// restore does what control and the platform do for machines that went down: all come back; where one has lost its disk, a
// machine that holds all takes its place, and the copy that is under way is made anew.
func (s *script) restore() {
	c, wiped := s.c, ""
	for _, name := range c.names {
		c.mu.Lock()
		v, down := c.nodes[name].turnstore, c.nodes[name].down
		c.mu.Unlock()
		if !down && !v.commit.broken() {
			continue
		}
		if !down {
			c.crash(name, false)
		}
		c.restart(name)
		if c.nodes[name].turnstore.WasEmpty() && c.named(v.Folder()) {
			wiped = name
		}
	}
	switch wiped {
	case "":
		return
	case s.primary:
		assert.Assert(c.t, s.draining != "", "the only holder is lost")
		s.primary, s.draining, s.spare = s.draining, "", wiped
	case s.draining:
		s.draining = ""
	}
	s.addReplica()
}

// named tells whether the newest map names a folder in its partitions.
func (c *cluster) named(folder string) bool {
	return responsibilityOf(c.partitionMap, folder) != notAssigned
}

// addReplica makes the map of a copy under way to the backup, beside one on the machine that leaves, if any.
func (s *script) addReplica() {
	if s.draining != "" {
		s.c.assign(s.primary, s.draining, "?"+s.backup)
	} else {
		s.c.assign(s.primary, "?"+s.backup)
	}
	s.c.publish()
}

// disarmFault ends the fault. It tells whether all machines are up.
func (s *script) disarmFault() bool {
	c := s.c
	c.mu.Lock()
	hit := c.faultAt > 0 && c.calls >= c.faultAt
	c.faultAt = 0
	c.mu.Unlock()
	if hit {
		<-c.faultHit
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if n.down {
			return false
		}
	}
	return true
}

// losePrimary loses the primary with its disk at once: the backup takes its place, and another machine that of the backup.
// The new primary goes on from each turn that was kept, whether its own backup is synced or not.
func (s *script) losePrimary() {
	c, lost := s.c, s.primary
	c.crash(lost, true)
	c.restart(lost)
	s.primary = s.successor(lost)
	for _, name := range c.names {
		if name != s.primary && name != lost {
			s.backup, s.spare, s.draining = name, lost, ""
		}
	}
	s.addReplica()
	s.continueEachTurn("at once")
	c.synced(s.primary, parts)
	c.assign(s.primary, s.backup)
	c.publish()
}

// successor is the machine that takes the place of a lost primary.
func (s *script) successor(lost string) string {
	if s.c.injection.successor != nil {
		return s.c.injection.successor(s, lost)
	}
	return s.backup
}

// await restores what goes down until the primary reports the copies of the backup.
func (s *script) await() {
	for range 200 {
		s.restore()
		reports, changed := s.c.reports(s.primary)
		whole := 0
		for _, r := range reports {
			if r.Folder == s.c.nodes[s.backup].turnstore.Folder() {
				whole++
			}
		}
		if whole >= parts && s.disarmFault() {
			return
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond):
		}
	}
	s.c.t.Fatal("the copies are never reported synced")
}

// armFault has a fault hit the message that is so many from now.
func (c *cluster) armFault(f fault, at int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault, c.faultAt = f, c.calls+at
}

// awaitFault waits until the fault has hit.
func (c *cluster) awaitFault() {
	c.t.Helper()
	select {
	case <-c.faultHit:
	case <-time.After(10 * time.Second):
		c.t.Fatal("the message that the fault is to hit is never sent")
	}
}

// TestReplicaLoss_InEachStepOfRepair plays a repair, a hand-over and a planned replacement, with a fault at each of the first messages. When the
// copies are reported synced, the primary is lost with its disk at once, before any other message.
func TestReplicaLoss_InEachStepOfRepair(t *testing.T) {
	for _, step := range repairSteps {
		for f := lostRequest; f < faults; f++ {
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

// faultedMessages is how many of the first messages of a repair are hit by a fault, one in each play.
const faultedMessages = 8

// repairStep is an occasion on which a copy is made.
type repairStep struct {
	name              string
	onlySyncedReplica bool // the primary is the only one that holds all
	begin             func(s *script)
}

// tolerates tells whether a fault is no more than can be borne in this step.
func (r repairStep) tolerates(f fault) bool { return f != senderWiped || !r.onlySyncedReplica }

var repairSteps = []repairStep{
	{name: "a repair", onlySyncedReplica: true, begin: func(s *script) { // the backup's disk is lost, the spare one gets a copy
		s.c.crash("b", true)
		s.c.restart("b")
		s.backup, s.spare = "c", "b"
	}},
	{name: "a hand-over", begin: func(s *script) { // the primary heard SIGTERM
		s.primary, s.backup, s.spare, s.draining = "b", "c", "a", "a"
	}},
	{name: "a planned replacement", begin: func(s *script) { // the new one has come, then the primary hears SIGTERM and is removed
		s.c.crash("c", true)
		s.c.restart("c")
		s.primary, s.backup, s.spare, s.draining = "b", "c", "a", "a"
	}},
}

// runLoss plays one step with a fault at one of its messages, and the loss of the primary right after it.
func runLoss(t reporter, p injection, step repairStep, f fault, at int) {
	s := newScriptWith(t, p, false)
	s.storeThreeTurns()
	s.c.armFault(f, at)
	step.begin(s)
	s.addReplica()
	s.await()
	s.losePrimary()
	s.verify()
}

// TestReplicaLoss_TwoOfFour loses, of four machines with two losses borne, one with its disk, a second at each message of the repair
// and a third right after the first repair is reported whole: that is two at once at most.
func TestReplicaLoss_TwoOfFour(t *testing.T) {
	for at := 0; at <= faultedMessages; at++ {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			t.Parallel()
			runTwoLosses(t, injection{}, at)
		})
	}
}

// runTwoLosses is one play of TestTwoLossesBorne, with the second loss at a message, or after the repair where that is 0.
func runTwoLosses(t reporter, p injection, at int) {
	c := newClusterWith(t, p, "a", "b", "c", "d")
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
		c.synced("c", 2*parts)
		c.assign("c", "d", "a")
		c.publish()
		c.crash("c", true)
		c.restart("c")
		c.assign("d", "a", "?c")
		c.publish()
	} else {
		c.synced("a", parts)
		c.assign("a", "c", "d")
		c.publish()
		c.crash("a", true)
		c.crash("c", true)
		c.restart("a")
		c.restart("c")
		c.assign("d", "?a", "?c")
		c.publish()
	}
	r := ask("t3", "t2")
	r.Most = 81 // 20 are handed out
	assert.Equal(t, k.beginUntilCertain("d", r), spent)
	assert.Equal(t, k.beginUntilCertain("d", ask("t4", "t2")), ok)
}
