package turnstore

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// script plays three turns of one program against a cluster that control repairs after each failure.
type script struct {
	c           *cluster
	k           *checker
	primary     string
	backup      string
	spare       string
	draining    string // a former primary that still has its copies
	repairDisks func() // what is done between tries, where it is not repair
	replace     bool   // machines that went down are replaced; otherwise they come back
}

func newScript(t reporter, replace bool) *script {
	return newScriptWith(t, injection{}, replace)
}

// newScriptWith is newScript on a cluster with a planted fault.
func newScriptWith(t reporter, p injection, replace bool) *script {
	c := newClusterWith(t, p, "a", "b", "c")
	c.assign("a", "b")
	c.publish()
	return &script{c: c, k: newChecker(c), primary: "a", backup: "b", spare: "c", replace: replace}
}

// repair does what control does: brings machines back, or assigns others.
func (s *script) repair() {
	c := s.c
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
		c.synced(s.primary, parts)
		c.assign(s.primary, s.backup)
		c.publish()
	}
}

func (s *script) until(what string, try func() tierv1.Verdict) {
	for range 100 {
		v := try()
		if v == tierv1.Verdict_OK {
			return
		}
		assert.Assert(s.c.t, v != tierv1.Verdict_UNKNOWN && v != tierv1.Verdict_SPENT, "%s: %v", what, v)
		if s.repairDisks != nil {
			s.repairDisks()
			continue
		}
		s.repair()
	}
	s.c.t.Fatalf("%s: never done", what)
}

func (s *script) storeThreeTurns() {
	previous := ""
	for i := range 3 {
		a := name(i)
		s.until("begin "+a, func() tierv1.Verdict { return s.k.begin(s.primary, ask(a, previous)) })
		s.until("settle "+a, func() tierv1.Verdict { return s.k.settle(s.primary, "p", a, previous, 20) })
		previous = a
	}
}

// continueEachTurn goes on from each turn that was kept, in a program of its own.
func (s *script) continueEachTurn(round string) {
	for i, a := range s.k.stored {
		s.until("go on from "+a, func() tierv1.Verdict {
			r := ask(fmt.Sprintf("%s-%d", round, i), a)
			r.Program, r.Budget = round+a, 1_000
			return s.k.begin(s.primary, r)
		})
	}
}

// verify checks what must stand: here, after late messages, and after the loss of the primary with its disk.
func (s *script) verify() {
	c := s.c
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
		// 60 tokens are told: 40 are left, and not 41.
		for range 100 {
			r := ask("more-"+round, "")
			r.Most = 41
			v := s.k.begin(s.primary, r)
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

func TestReplication_FaultAtEachMessage(t *testing.T) {
	for _, replace := range []bool{false, true} {
		for f := lostRequest; f < faults; f++ {
			for at := 1; at <= 16; at++ {
				t.Run(fmt.Sprintf("replace=%v/fault=%d/message=%d", replace, f, at), func(t *testing.T) {
					t.Parallel()
					s := newScript(t, replace)
					s.c.mu.Lock()
					s.c.fault, s.c.faultAt = f, s.c.calls+at
					s.c.mu.Unlock()
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

// diskOperations is how many of the first operations of a disk are its last before a loss of power, one in each play.
const diskOperations = 14

// runPowerLoss is one play of TestPowerLossAtEachOperationOfADisk.
func runPowerLoss(t reporter, p injection, both bool, victim string, at int) {
	s := newScriptWith(t, p, false)
	s.c.nodes[victim].disk.DieAt(at)
	if both {
		s.c.nodes["a"].disk.DieAt(at)
		s.c.nodes["b"].disk.DieAt(at)
	}
	s.storeThreeTurns()
	s.verify()
}

func TestCompact_PowerLossAtEachOperation(t *testing.T) {
	for at := 0; at <= 14; at++ {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			t.Parallel()
			s := newScript(t, false)
			s.storeThreeTurns()
			if at > 0 {
				s.c.nodes["b"].disk.DieAt(at)
			}
			v := s.c.nodes["b"].turnstore
			err := v.Compact(s.c.ctx, true)
			if err == nil {
				err = v.Compact(s.c.ctx, true) // and back into the first file
			}
			assert.Assert(t, at > 0 || err == nil)
			if err != nil {
				s.c.crash("b", false)
				s.repair()
			}
			s.verify()
		})
	}
}
