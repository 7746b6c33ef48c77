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
		assert.Assert(c.t, s.leaving != "", "the only holder is lost")
		s.primary, s.leaving, s.spare = s.leaving, "", wiped
	case s.leaving:
		s.leaving = ""
	}
	s.underWay()
}

// named tells whether the newest map names a folder in its partitions.
func (c *cluster) named(folder string) bool { return dutyOf(c.m, folder) != noDuty }

// underWay makes the map of a copy under way to the backup, beside one on the machine that leaves, if any.
func (s *script) underWay() {
	if s.leaving != "" {
		s.c.assign(s.primary, s.leaving, "?"+s.backup)
	} else {
		s.c.assign(s.primary, "?"+s.backup)
	}
	s.c.push()
}

// disarm ends the fault. It tells whether all machines are up.
func (s *script) disarm() bool {
	c := s.c
	c.mu.Lock()
	hit := c.at > 0 && c.calls >= c.at
	c.at = 0
	c.mu.Unlock()
	if hit {
		<-c.struck
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
			s.backup, s.spare, s.leaving = name, lost, ""
		}
	}
	s.underWay()
	s.goOn("at once")
	c.synced(s.primary, parts)
	c.assign(s.primary, s.backup)
	c.push()
}

// successor is the machine that takes the place of a lost primary.
func (s *script) successor(lost string) string {
	if s.c.plant.successor != nil {
		return s.c.plant.successor(s, lost)
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
		if whole >= parts && s.disarm() {
			return
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond):
		}
	}
	s.c.t.Fatal("the copies are never reported synced")
}

// arm has a fault hit the message that is so many from now.
func (c *cluster) arm(f fault, at int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault, c.at = f, c.calls+at
}

// awaitStrike waits until the fault has hit.
func (c *cluster) awaitStrike() {
	c.t.Helper()
	select {
	case <-c.struck:
	case <-time.After(10 * time.Second):
		c.t.Fatal("the message that the fault is to hit is never sent")
	}
}

// TestLossInEachStepOf plays a repair, a hand-over and a planned replacement, with a fault at each of the first messages. When the
// copies are reported synced, the primary is lost with its disk at once, before any other message.
func TestLossInEachStepOf(t *testing.T) {
	for _, step := range repairSteps {
		for f := lostRequest; f < faults; f++ {
			if !step.bears(f) {
				continue
			}
			for at := 1; at <= troubledMessages; at++ {
				t.Run(fmt.Sprintf("%s/fault=%d/message=%d", step.name, f, at), func(t *testing.T) {
					t.Parallel()
					playLoss(t, plant{}, step, f, at)
				})
			}
		}
	}
}

// troubledMessages is how many of the first messages of a repair are hit by a fault, one in each play.
const troubledMessages = 8

// repairStep is an occasion on which a copy is made.
type repairStep struct {
	name       string
	onlyHolder bool // the primary is the only one that holds all
	begin      func(s *script)
}

// bears tells whether a fault is no more than can be borne in this step.
func (r repairStep) bears(f fault) bool { return f != senderLost || !r.onlyHolder }

var repairSteps = []repairStep{
	{name: "a repair", onlyHolder: true, begin: func(s *script) { // the backup's disk is lost, the spare one gets a copy
		s.c.crash("b", true)
		s.c.restart("b")
		s.backup, s.spare = "c", "b"
	}},
	{name: "a hand-over", begin: func(s *script) { // the primary heard SIGTERM
		s.primary, s.backup, s.spare, s.leaving = "b", "c", "a", "a"
	}},
	{name: "a planned replacement", begin: func(s *script) { // the new one has come, then the primary hears SIGTERM and is removed
		s.c.crash("c", true)
		s.c.restart("c")
		s.primary, s.backup, s.spare, s.leaving = "b", "c", "a", "a"
	}},
}

// playLoss plays one step with a fault at one of its messages, and the loss of the primary right after it.
func playLoss(t reporter, p plant, step repairStep, f fault, at int) {
	s := newPlantedScript(t, p, false)
	s.play()
	s.c.arm(f, at)
	step.begin(s)
	s.underWay()
	s.await()
	s.losePrimary()
	s.after()
}

// TestTwoLossesBorne loses, of four machines with two losses borne, one with its disk, a second at each message of the repair
// and a third right after the first repair is reported whole: that is two at once at most.
func TestTwoLossesBorne(t *testing.T) {
	for at := 0; at <= troubledMessages; at++ {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			t.Parallel()
			playTwoLosses(t, plant{}, at)
		})
	}
}

// playTwoLosses is one play of TestTwoLossesBorne, with the second loss at a message, or after the repair where that is 0.
func playTwoLosses(t reporter, p plant, at int) {
	c := newPlantedCluster(t, p, "a", "b", "c", "d")
	c.assign("a", "b", "c")
	c.push()
	k := newChecker(c)
	k.keep("a", "t1", "")
	k.keep("a", "t2", "t1")
	c.crash("b", true)
	c.restart("b")
	if at > 0 {
		c.arm(senderDies, at)
	}
	c.assign("a", "c", "?d")
	c.push()
	if at > 0 {
		c.awaitStrike() // the second loss, in the middle of the repair
		c.crash("a", true)
		c.restart("a")
		c.assign("c", "?d", "?a")
		c.push()
		c.synced("c", 2*parts)
		c.assign("c", "d", "a")
		c.push()
		c.crash("c", true)
		c.restart("c")
		c.assign("d", "a", "?c")
		c.push()
	} else {
		c.synced("a", parts)
		c.assign("a", "c", "d")
		c.push()
		c.crash("a", true)
		c.crash("c", true)
		c.restart("a")
		c.restart("c")
		c.assign("d", "?a", "?c")
		c.push()
	}
	r := ask("t3", "t2")
	r.Most = 81 // 20 are handed out
	assert.Equal(t, k.sure("d", r), spent)
	assert.Equal(t, k.sure("d", ask("t4", "t2")), ok)
}
