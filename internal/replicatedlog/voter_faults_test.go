package replicatedlog

import (
	"fmt"
	"testing"
	"time"
)

// Three hundred senders and five voters, whose clocks drift by 1% and are minutes apart: a change takes effect everywhere. Without faults
// that takes at most a second; with a third of the senders partitioned off, at most the lease's duration and two round trips. The test
// also logs the traffic for each sender.
func TestCluster_ChangesAmong300Senders(t *testing.T) {
	s := newSim(t, 1, 5, 300)
	if !s.run(20*time.Second, func() bool { return s.actingCount() == 300 }) {
		t.Fatalf("%d of 300 senders act", s.actingCount())
	}
	s.run(s.now+5*time.Second, nil)
	bytes, messages, from := s.bytes, s.messages, s.now
	s.run(s.now+9*time.Second, nil)
	rate := func(n int) float64 { return float64(n) / 300 / (s.now - from).Seconds() }
	t.Logf("idle: %.1f bytes and %.2f messages a second for each sender", rate(s.bytes-bytes), rate(s.messages-messages))
	everywhere := func(change *uint64, among func(j int) bool) func() bool {
		return func() bool {
			for j, c := range s.replicas {
				if *change == 0 || among(j) && c.finished[*change] == 0 {
					return false
				}
			}
			return true
		}
	}
	for n := range uint64(3) {
		var change uint64
		began := s.now
		s.propose(int(n), n, &change)
		if !s.run(s.now+20*time.Second, everywhere(&change, func(int) bool { return true })) {
			t.Fatalf("change %d does not take effect", n+1)
		}
		t.Logf("without faults: in effect everywhere after %v", s.now-began)
		if s.now-began > time.Second {
			t.Errorf("without faults it took %v", s.now-began)
		}
	}
	cut := func(j int) bool { return j%3 == 0 }
	for j := range s.replicas {
		for v := range s.voters {
			if cut(j) {
				s.partitioned[[2]int{len(s.voters) + j, v}], s.partitioned[[2]int{v, len(s.voters) + j}] = true, true
			}
		}
	}
	var change uint64
	began := s.now
	s.propose(1, 3, &change)
	if !s.run(s.now+20*time.Second, everywhere(&change, func(j int) bool { return !cut(j) })) {
		t.Fatal("with a third of the senders partitioned off the change does not take effect")
	}
	took := s.now - began
	t.Logf("with a third of the senders partitioned off: in effect at the others after %v; the granter counts a lease for %v", took, s.terms.GranterDuration())
	if bound := s.terms.GranterDuration() + time.Second; took > bound {
		t.Errorf("with a third of the senders partitioned off it took %v, over %v", took, bound)
	}
	s.partitioned = map[[2]int]bool{}
	if !s.run(s.now+20*time.Second, func() bool { return everywhere(&change, func(int) bool { return true })() && s.actingCount() == 300 }) {
		t.Error("the senders that were partitioned off do not recover")
	}
}

// Voters crash, restart and are partitioned, messages are lost, replicas restart: every change ends the same way at all senders, and the
// safety property of checkVersions holds at each step.
func TestCluster_ConvergesUnderFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSim(t, seed, 3, 6)
			s.loss = 0.02
			var last uint64
			for round := range 12 {
				base := uint64(0)
				for _, c := range s.replicas {
					base = max(base, c.replica.Policy().State().GetVersion())
				}
				s.propose(s.rng.IntN(6), base, &last)
				s.run(s.now+time.Duration(s.rng.Int64N(int64(1500*time.Millisecond))), nil)
				v := s.rng.IntN(3)
				switch round % 4 {
				case 0: // a voter is killed and restarts from its disk
					s.voters[v].up = false
					s.run(s.now+700*time.Millisecond, nil)
					for s.handshake(v) == nil {
						s.run(s.now+100*time.Millisecond, nil)
					}
					s.startVoter(v, s.handshake(v))
				case 1: // one direction between two voters is cut
					to := (v + 1 + s.rng.IntN(2)) % 3
					s.partitioned[[2]int{v, to}] = true
					s.run(s.now+2*time.Second, nil)
					s.partitioned = map[[2]int]bool{}
				case 2:
					s.startReplica(s.rng.IntN(6))
				case 3: // a replica is cut off from all voters
					j := s.rng.IntN(6)
					for w := range s.voters {
						s.partitioned[[2]int{3 + j, w}], s.partitioned[[2]int{w, 3 + j}] = true, true
					}
					s.run(s.now+4*time.Second, nil)
					s.partitioned = map[[2]int]bool{}
				}
			}
			s.loss = 0
			if !s.run(s.now+60*time.Second, func() bool {
				for _, c := range s.replicas {
					if c.replica.Policy().State().OpenChange != nil || c.replica.State().Index() != s.replicas[0].replica.State().Index() {
						return false
					}
				}
				return s.actingCount() == 6
			}) {
				t.Fatalf("the replicas do not converge: %d act", s.actingCount())
			}
			want, took := fmt.Sprint(s.replicas[0].replica.Policy().State().History), 0
			for _, c := range s.replicas {
				if got := fmt.Sprint(c.replica.Policy().State().History); got != want {
					t.Errorf("different histories:\n%s\n%s", got, want)
				}
			}
			for _, p := range s.replicas[0].replica.Policy().State().History {
				if p.Version > 0 {
					took++
				}
			}
			if took == 0 {
				t.Error("no change took effect")
			}
		})
	}
}

// A voter crashes at each of its writes in turn, just before or just after the write reaches the disk, from the first election to the end
// of two changes. The actions behind the write are not carried out. Both changes take effect, and the safety property of checkVersions
// holds at each step.
func TestVoter_CrashesAtEachWrite(t *testing.T) {
	points := 0
	for voter := range 3 {
		for write := 1; ; write++ {
			reached := false
			for _, torn := range []bool{false, true} {
				s := newSim(t, 5, 3, 3)
				s.voters[voter].crashesAtWrite, s.voters[voter].torn = write, torn
				for n := range uint64(2) {
					var change uint64
					for tries := 0; ; tries++ {
						if s.run(s.now+20*time.Second, func() bool { return s.actingCount() == 3 }); tries > 20 {
							t.Fatalf("voter %d, write %d, torn %v: change %d is not committed", voter, write, torn, n+1)
						}
						s.propose(int(n), n, &change)
						if s.run(s.now+10*time.Second, func() bool {
							for _, c := range s.replicas {
								if c.replica.Policy().State().Version != n+1 {
									return false
								}
							}
							return true
						}) {
							break
						}
					}
				}
				reached = reached || s.voters[voter].writes >= write
				points++
			}
			if !reached {
				break
			}
		}
	}
	t.Logf("%d crash points", points)
}
