package turnstore

import (
	"fmt"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// script runs three turns of one program against a cluster that the control plane repairs after each failure.
type script struct {
	cluster     *cluster
	checker     *checker
	primary     string
	backup      string
	spare       string
	draining    string // a former primary that still has its replicas
	repairDisks func() // called between attempts instead of repair, if not nil
	replace     bool   // failed machines are replaced; otherwise they are restarted
}

func newScript(t reporter, replace bool) *script {
	return newScriptWith(t, injection{}, replace)
}

// newScriptWith is newScript on a cluster with an injected fault.
func newScriptWith(t reporter, injected injection, replace bool) *script {
	c := newClusterWith(t, injected, "a", "b", "c")
	c.assign("a", "b")
	c.publish()
	return &script{cluster: c, checker: newChecker(c), primary: "a", backup: "b", spare: "c", replace: replace}
}

// repair acts as the platform and the control plane: it restarts failed machines, and assigns others in their place if their disks
// are lost or replace is set.
func (s *script) repair() {
	c := s.cluster
	for _, n := range []string{s.primary, s.backup} {
		c.mu.Lock()
		v, down := c.nodes[n].turnstore, c.nodes[n].down
		c.mu.Unlock()
		if !down && !v.commit.broken() {
			continue
		}
		if !down {
			c.crash(n, false)
		}
		c.restart(n)
		wasEmpty := c.nodes[n].turnstore.WasEmpty()
		if !wasEmpty && !s.replace {
			continue
		}
		if n == s.primary {
			s.primary, s.backup, s.spare = s.backup, s.spare, n
		} else {
			s.backup, s.spare = s.spare, n
		}
		c.assign(s.primary, "?"+s.backup)
		c.publish()
		c.awaitSynced(s.primary, partitionCount)
		c.assign(s.primary, s.backup)
		c.publish()
	}
}

// retryUntilOK retries a call, with a repair in between, until its verdict is OK.
func (s *script) retryUntilOK(operation string, call func() tierv1.Verdict) {
	for range 100 {
		v := call()
		if v == tierv1.Verdict_OK {
			return
		}
		assert.Assert(s.cluster.t, v != tierv1.Verdict_UNKNOWN && v != tierv1.Verdict_SPENT, "%s: %v", operation, v)
		if s.repairDisks != nil {
			s.repairDisks()
			continue
		}
		s.repair()
	}
	s.cluster.t.Fatalf("%s: no OK after 100 attempts", operation)
}

// storeThreeTurns begins and settles three turns, each of which continues the one before.
func (s *script) storeThreeTurns() {
	previous := ""
	for i := range 3 {
		a := attemptName(i)
		s.retryUntilOK("begin "+a, func() tierv1.Verdict { return s.checker.begin(s.primary, beginRequest(a, previous)) })
		s.retryUntilOK("settle "+a, func() tierv1.Verdict { return s.checker.settle(s.primary, "p", a, previous, 20) })
		previous = a
	}
}

// continueEachTurn continues each stored turn in a program of its own. The prefix makes attempts and programs unique.
func (s *script) continueEachTurn(prefix string) {
	for i, a := range s.checker.stored {
		s.retryUntilOK("continue "+a, func() tierv1.Verdict {
			r := beginRequest(fmt.Sprintf("%s-%d", prefix, i), a)
			r.Program, r.Budget = prefix+a, 1_000
			return s.checker.begin(s.primary, r)
		})
	}
}

// verify checks that nothing acknowledged is lost: after delayed messages, after the loss of the primary with its disk, and after a
// power loss of both replicas.
func (s *script) verify() {
	c := s.cluster
	c.mu.Lock()
	faultTriggered := c.faultAt > 0 && c.calls >= c.faultAt
	c.faultAt = 0
	c.mu.Unlock()
	if faultTriggered {
		<-c.faultHit // otherwise a machine may lose power after it was repaired
	}
	c.mu.Lock()
	delayed := c.delayed
	c.delayed = nil
	c.mu.Unlock()
	s.repair()
	for _, deliver := range delayed {
		deliver()
	}
	check := func(prefix string) {
		s.continueEachTurn(prefix)
		// 60 tokens are charged: 40 are left, so 41 must be rejected.
		for range 100 {
			r := beginRequest("more-"+prefix, "")
			r.MaxTokens = 41
			v := s.checker.begin(s.primary, r)
			assert.Assert(c.t, v != tierv1.Verdict_OK, "a turn beyond the budget was granted")
			if v == tierv1.Verdict_SPENT {
				return
			}
			s.repair()
		}
		c.t.Fatal("the verdict is never SPENT")
	}
	check("one")
	c.crash(s.primary, true)
	s.repair()
	check("two")
	c.crash(s.primary, false)
	c.crash(s.backup, false)
	s.replace = false
	s.repair()
	check("three")
}

// restore acts as the platform and the control plane: it restarts all failed machines. If one of them has lost its disk, a machine
// with all facts replaces it, and a new map restarts the synchronization of the backup.
func (s *script) restore() {
	c, wiped := s.cluster, ""
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
		if c.nodes[name].turnstore.WasEmpty() && c.isAssigned(v.Folder()) {
			wiped = name
		}
	}
	switch wiped {
	case "":
		return
	case s.primary:
		assert.Assert(c.t, s.draining != "", "the only replica is lost")
		s.primary, s.draining, s.spare = s.draining, "", wiped
	case s.draining:
		s.draining = ""
	}
	s.addReplica()
}

// isAssigned reports whether the newest map names a folder in its partitions.
func (c *cluster) isAssigned(folder string) bool {
	return responsibilityOf(c.partitionMap, folder) != notAssigned
}

// addReplica publishes a map with the backup as not synced, beside the replica on the draining machine, if any.
func (s *script) addReplica() {
	if s.draining != "" {
		s.cluster.assign(s.primary, s.draining, "?"+s.backup)
	} else {
		s.cluster.assign(s.primary, "?"+s.backup)
	}
	s.cluster.publish()
}

// disarmFault disarms the fault, or waits for its end if it was triggered. It reports whether all machines are up.
func (s *script) disarmFault() bool {
	c := s.cluster
	c.mu.Lock()
	faultTriggered := c.faultAt > 0 && c.calls >= c.faultAt
	c.faultAt = 0
	c.mu.Unlock()
	if faultTriggered {
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

// losePrimary makes the primary lose its disk. Its successor becomes the primary, and another machine the backup. The new primary
// must continue each stored turn at once, whether its own backup is synced or not.
func (s *script) losePrimary() {
	c, lost := s.cluster, s.primary
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
	c.awaitSynced(s.primary, partitionCount)
	c.assign(s.primary, s.backup)
	c.publish()
}

// successor returns the machine that replaces a lost primary.
func (s *script) successor(lost string) string {
	if s.cluster.injection.successor != nil {
		return s.cluster.injection.successor(s, lost)
	}
	return s.backup
}

// awaitReplicas restores failed machines until the primary reports all replicas of the backup as synced.
func (s *script) awaitReplicas() {
	for range 200 {
		s.restore()
		reports, changed := s.cluster.reports(s.primary)
		syncedCount := 0
		for _, r := range reports {
			if r.Folder == s.cluster.nodes[s.backup].turnstore.Folder() {
				syncedCount++
			}
		}
		if syncedCount >= partitionCount && s.disarmFault() {
			return
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond):
		}
	}
	s.cluster.t.Fatal("the replicas are never reported synced")
}
