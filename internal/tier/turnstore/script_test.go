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
	repairDisks func() // what is done between attempts instead of repair, if not nil
	replace     bool   // machines that went down are replaced; otherwise they come back
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

// repair does what the control plane does: brings machines back, or assigns others.
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
		fresh := c.nodes[n].turnstore.WasEmpty()
		if !fresh && !s.replace {
			continue
		}
		if n == s.primary {
			s.primary, s.backup, s.spare = s.backup, s.spare, n
		} else {
			s.backup, s.spare = s.spare, n
		}
		c.assign(s.primary, "?"+s.backup)
		c.publish()
		c.synced(s.primary, partitionCount)
		c.assign(s.primary, s.backup)
		c.publish()
	}
}

// until repeats a call with a repair in between until its verdict is OK.
func (s *script) until(what string, call func() tierv1.Verdict) {
	for range 100 {
		v := call()
		if v == tierv1.Verdict_OK {
			return
		}
		assert.Assert(s.cluster.t, v != tierv1.Verdict_UNKNOWN && v != tierv1.Verdict_SPENT, "%s: %v", what, v)
		if s.repairDisks != nil {
			s.repairDisks()
			continue
		}
		s.repair()
	}
	s.cluster.t.Fatalf("%s: never done", what)
}

// storeThreeTurns begins and settles three turns, each of which continues the one before.
func (s *script) storeThreeTurns() {
	previous := ""
	for i := range 3 {
		a := name(i)
		s.until("begin "+a, func() tierv1.Verdict { return s.checker.begin(s.primary, ask(a, previous)) })
		s.until("settle "+a, func() tierv1.Verdict { return s.checker.settle(s.primary, "p", a, previous, 20) })
		previous = a
	}
}

// continueEachTurn continues each stored turn, in a program of its own.
func (s *script) continueEachTurn(round string) {
	for i, a := range s.checker.stored {
		s.until("continue "+a, func() tierv1.Verdict {
			r := ask(fmt.Sprintf("%s-%d", round, i), a)
			r.Program, r.Budget = round+a, 1_000
			return s.checker.begin(s.primary, r)
		})
	}
}

// verify checks that all that was acknowledged stands: now, after late messages, and after the loss of the primary with its disk.
func (s *script) verify() {
	c := s.cluster
	c.mu.Lock()
	underWay := c.faultAt > 0 && c.calls >= c.faultAt
	c.faultAt = 0
	c.mu.Unlock()
	if underWay {
		<-c.faultHit // otherwise a machine may lose power after it was repaired
	}
	c.mu.Lock()
	late := c.delayed
	c.delayed = nil
	c.mu.Unlock()
	s.repair()
	for _, deliver := range late {
		deliver()
	}
	check := func(round string) {
		s.continueEachTurn(round)
		// 60 tokens are charged: 40 are left, and not 41.
		for range 100 {
			r := ask("more-"+round, "")
			r.MaxTokens = 41
			v := s.checker.begin(s.primary, r)
			assert.Assert(c.t, v != tierv1.Verdict_OK, "the budget is forgotten")
			if v == tierv1.Verdict_SPENT {
				return
			}
			s.repair()
		}
		c.t.Fatal("never spent")
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

// restore does what the control plane and the platform do for machines that went down: all come back; where one has lost its disk, a
// machine that holds all takes its place, and the replica being synced is made anew.
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
		if c.nodes[name].turnstore.WasEmpty() && c.named(v.Folder()) {
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

// named reports whether the newest map names a folder in its partitions.
func (c *cluster) named(folder string) bool {
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

// disarmFault ends the fault. It reports whether all machines are up.
func (s *script) disarmFault() bool {
	c := s.cluster
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
// The new primary continues each stored turn, whether its own backup is synced or not.
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
	c.synced(s.primary, partitionCount)
	c.assign(s.primary, s.backup)
	c.publish()
}

// successor is the machine that takes the place of a lost primary.
func (s *script) successor(lost string) string {
	if s.cluster.injection.successor != nil {
		return s.cluster.injection.successor(s, lost)
	}
	return s.backup
}

// await restores what goes down until the primary reports the replicas of the backup.
func (s *script) await() {
	for range 200 {
		s.restore()
		reports, changed := s.cluster.reports(s.primary)
		whole := 0
		for _, r := range reports {
			if r.Folder == s.cluster.nodes[s.backup].turnstore.Folder() {
				whole++
			}
		}
		if whole >= partitionCount && s.disarmFault() {
			return
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond):
		}
	}
	s.cluster.t.Fatal("the replicas are never reported synced")
}
