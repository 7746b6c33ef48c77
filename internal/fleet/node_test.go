package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"

	"saffronyard.example/saffronyard/internal/boltfile"
	"saffronyard.example/saffronyard/internal/faulttest/links"
	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

var hosts atomic.Int64

const waitTimeout = 30 * time.Second

// testFleet is a fleet in one process: its nodes reach each other by links.
type testFleet struct {
	t      testing.TB
	net    *links.Net
	voters int
	terms  lease.Terms
	hosts  []string
	dirs   []string
	nodes  []*Node
	edit   func(i int, c *Config)
}

func newTestFleet(t testing.TB, voters, all int, edit func(int, *Config)) *testFleet {
	t.Helper()
	s := &testFleet{t: t, net: links.New(1, nil), voters: voters, terms: lease.Terms{Duration: 1500 * time.Millisecond, MaxDrift: lease.DefaultDrift}, nodes: make([]*Node, all), edit: edit}
	for i := range all { // each node has an IP address of its own, so that no connection of another process takes its port while it is down
		n := hosts.Add(1)
		s.hosts = append(s.hosts, fmt.Sprintf("127.%d.%d.%d:7948", 100+os.Getpid()%100, 1+n/200, 1+n%200))
		s.dirs = append(s.dirs, filepath.Join(t.TempDir(), name(i)))
	}
	t.Cleanup(func() {
		for i := range s.nodes {
			s.stop(i)
		}
		s.net.Close()
	})
	for i := range all {
		s.start(i)
	}
	return s
}

func name(i int) string { return fmt.Sprintf("n%d", i) }

func (s *testFleet) config(i int) Config {
	c := Config{Name: name(i), Cluster: "test", Listen: s.hosts[i], Folder: s.dirs[i], LeaseTerms: s.terms, Settings: fleetpolicy.Settings{Classes: []string{"keyed"}, Tenants: []string{"acme"}}}
	for v := range s.voters {
		addr := s.hosts[v]
		if v != i {
			var err error
			if addr, err = s.net.Link(name(i), name(v), addr); err != nil {
				s.t.Fatal(err)
			}
		}
		c.Voters = append(c.Voters, Voter{name(v), addr})
	}
	if s.edit != nil {
		s.edit(i, &c)
	}
	return c
}

func (s *testFleet) start(i int) {
	s.t.Helper()
	n, err := Start(s.config(i), slog.New(slog.NewTextHandler(testLog{s.t, name(i)}, &slog.HandlerOptions{Level: slog.LevelInfo})))
	if err != nil {
		s.t.Fatal(err)
	}
	s.nodes[i] = n
}

func (s *testFleet) stop(i int) {
	if n := s.nodes[i]; n != nil {
		s.nodes[i] = nil
		if err := n.Close(); err != nil {
			s.t.Error(name(i), err)
		}
	}
}

type testLog struct {
	t    testing.TB
	name string
}

var logs sync.Mutex

func (l testLog) Write(b []byte) (int, error) {
	logs.Lock()
	defer logs.Unlock()
	if os.Getenv("FLEET_LOG") != "" {
		fmt.Fprintf(os.Stderr, "%s %s", l.name, b)
	}
	return len(b), nil
}

// waitUntil waits until a condition holds, for at most waitTimeout.
func waitUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// waitActing waits until all running nodes may begin calls.
func (s *testFleet) waitActing() {
	s.t.Helper()
	for i, n := range s.nodes {
		if n != nil {
			waitUntil(s.t, name(i)+" acts", func() bool { _, acts := n.gate.View(); return acts })
		}
	}
}

func (s *testFleet) leader() int {
	s.t.Helper()
	at := -1
	waitUntil(s.t, "a leader is elected", func() bool {
		for i, n := range s.nodes {
			if n != nil {
				if r := n.Report(); r.Voter != nil && r.Voter.IsLeader {
					at = i
					return true
				}
			}
		}
		return false
	})
	return at
}

const closed7 = "[[route]]\ndestinations = [7]\nstate = \"closed\"\n"

func (s *testFleet) propose(i int, base uint64, doc string) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return s.nodes[i].Propose(ctx, &pb.ProposePolicy{BaseVersion: base, Document: []byte(doc), Author: "test", StageTimeoutUs: (10 * time.Second).Microseconds()})
}

func (s *testFleet) waitFinished(i int, change uint64) *pb.FinishedChange {
	s.t.Helper()
	var finished *pb.FinishedChange
	waitUntil(s.t, fmt.Sprintf("change %d is finished at %s", change, name(i)), func() bool {
		var over bool
		finished, over = s.nodes[i].FinishedChange(change)
		return over
	})
	return finished
}

// A change takes effect at voters and followers. A change from an older version and an invalid document are rejected. A change that one
// sender's settings don't allow is aborted everywhere.
func TestFleet_PolicyChangeTakesEffect(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 3, 5, nil)
	s.waitActing()
	change, err := s.propose(4, 0, closed7)
	if err != nil {
		t.Fatal(err)
	}
	for i, n := range s.nodes {
		if finished := s.waitFinished(i, change); finished.Version != 1 || finished.AbortReason != "" {
			t.Errorf("%s: %v", name(i), finished)
		}
		if _, why := n.gate.Admit(fleetpolicy.Call{Destination: 7}); !strings.Contains(why, "closed") {
			t.Errorf("%s: a call for a closed destination: %q", name(i), why)
		}
		release, why := n.gate.Admit(fleetpolicy.Call{Destination: 8})
		if why != "" {
			t.Errorf("%s: a call that is not affected: %q", name(i), why)
			continue
		}
		release()
	}
	if _, err := s.propose(0, 0, ""); !errors.Is(err, ErrRejected) || !strings.Contains(err.Error(), "version 1 is in force") {
		t.Errorf("a change from an older version: %v", err)
	}
	if _, err := s.propose(1, 1, "route = 7"); err == nil {
		t.Error("an invalid document is accepted")
	}
	change, err = s.propose(1, 1, closed7+"[[tenant]]\nname = \"nobody\"\nstate = \"suspended\"\n")
	if err != nil {
		t.Fatal(err)
	}
	for i := range s.nodes {
		if finished := s.waitFinished(i, change); finished.Version != 0 || !strings.Contains(finished.AbortReason, `"nobody" is not in this sender's settings`) {
			t.Errorf("%s: %v", name(i), finished)
		}
	}
}

// A sender that is partitioned off begins no call once its lease has expired. A change does not wait longer for it than that, and after the
// partition the sender acts under the new version.
func TestFleet_PartitionedSender(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 3, 4, nil)
	s.waitActing()
	for v := range 3 {
		s.net.Both(name(3), name(v), links.Condition{Blocked: true})
	}
	began := time.Now()
	change, err := s.propose(0, 0, closed7)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 { // leader or not, each voter's report names the sender that the change waits for
		waitUntil(t, name(i)+" reports the sender that the change waits for", func() bool {
			open := s.nodes[i].Report().Policy.Open
			return open == nil || slices.ContainsFunc(open.WaitingOn, func(w fleetpolicy.PendingSender) bool { return w.Name == "n3" && w.Remaining > 0 })
		})
	}
	s.waitFinished(0, change)
	if _, acts := s.nodes[3].gate.View(); acts {
		t.Error("a partitioned sender acts after a change has taken effect without it")
	}
	t.Logf("the change took %v, the lease lasts %v", time.Since(began), s.terms.Duration)
	s.net.Heal()
	s.waitFinished(3, change)
	s.waitActing()
	if _, why := s.nodes[3].gate.Admit(fleetpolicy.Call{Destination: 7}); !strings.Contains(why, "closed") {
		t.Errorf("after the partition, a call for a closed destination: %q", why)
	}
}

// The leader stops during a change, then all nodes stop at once during another. Committed changes stay, and each change ends the same way at
// all nodes.
func TestFleet_LeaderAndAllRestart(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 3, 4, nil)
	s.waitActing()
	lead := s.leader()
	change, err := s.propose((lead+1)%3, 0, closed7)
	if err != nil {
		t.Fatal(err)
	}
	s.stop(lead)
	s.waitFinished((lead+1)%3, change)
	s.start(lead)
	for i := range s.nodes {
		if finished := s.waitFinished(i, change); finished.Version != 1 {
			t.Errorf("%s: %v", name(i), finished)
		}
	}
	change, err = s.propose(3, 1, "# open again\n")
	if err != nil {
		t.Fatal(err)
	}
	for i := range s.nodes {
		s.stop(i)
	}
	for i := range s.nodes {
		s.start(i)
	}
	for i := range s.nodes {
		if finished := s.waitFinished(i, change); finished.Version != 2 {
			t.Errorf("%s: %v", name(i), finished)
		}
	}
	s.waitActing()
}

// clock is a machine's clock with a rate and an offset that a test sets.
type clock struct {
	rate  float64
	ahead atomic.Int64
	start time.Duration
}

func (c *clock) now() time.Duration {
	return c.start + time.Duration(c.rate*float64(Now()-c.start)) + time.Duration(c.ahead.Load())
}

// Clocks that drift by 1% and are hours apart don't disturb a change. A disk that fails while a change is staged aborts the change.
func TestFleet_ClockJumpAndDiskFailure(t *testing.T) {
	t.Parallel()
	var failing atomic.Bool
	start := Now()
	s := newTestFleet(t, 3, 4, func(i int, c *Config) {
		k := &clock{rate: 1 + 0.01*float64(i%3-1), start: start}
		k.ahead.Store(int64(i) * int64(time.Hour))
		c.Now = k.now
		if i == 3 {
			c.Disk = failingDisk{&failing}
		}
	})
	s.waitActing()
	failing.Store(true)
	change, err := s.propose(0, 0, closed7)
	if err != nil {
		t.Fatal(err)
	}
	if finished := s.waitFinished(0, change); finished.Version != 0 || !strings.Contains(finished.AbortReason, "n3 refuses it: it can't be kept on the disk") {
		t.Errorf("%v", finished)
	}
	failing.Store(false)
	if change, err = s.propose(0, 0, closed7); err != nil {
		t.Fatal(err)
	}
	for i := range s.nodes {
		if finished := s.waitFinished(i, change); finished.Version != 1 {
			t.Errorf("%s: %v", name(i), finished)
		}
	}
}

type failingDisk struct{ fails *atomic.Bool }

func (d failingDisk) Write(path string, data []byte) error {
	if d.fails.Load() {
		return errors.New("input/output error")
	}
	return realDisk{}.Write(path, data)
}

// copyFolder copies a node's folder; restore replaces the folder with that copy.
func (s *testFleet) copyFolder(i int) (restore func()) {
	s.t.Helper()
	saved := s.t.TempDir()
	if err := os.CopyFS(filepath.Join(saved, "f"), os.DirFS(s.dirs[i])); err != nil {
		s.t.Fatal(err)
	}
	return func() {
		s.t.Helper()
		if err := errors.Join(os.RemoveAll(s.dirs[i]), os.CopyFS(s.dirs[i], os.DirFS(filepath.Join(saved, "f")))); err != nil {
			s.t.Fatal(err)
		}
	}
}

// partition cuts a node off from all others, in both directions.
func (s *testFleet) partition(i int) {
	for j := range s.nodes {
		if j != i {
			s.net.Both(name(i), name(j), links.Condition{Blocked: true})
		}
	}
}

// A voter that restarts with an old or empty folder has forgotten votes and entries that it acknowledged. Together with a voter that never
// received the change it is a majority. The two must not elect a leader while the voter that has the change is cut off.
func TestFleet_StaleFolder(t *testing.T) {
	t.Parallel()
	for _, what := range []string{"old folder", "empty folder"} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			s := newTestFleet(t, 3, 3, nil)
			s.waitActing()
			s.stop(1)
			restore := s.copyFolder(1)
			s.start(1)
			s.waitActing()
			if s.leader() == 2 { // the node that is cut off below must not be the leader
				s.stop(2)
				waitUntil(t, "another voter leads", func() bool { return s.leader() != 2 })
				s.start(2)
				s.waitActing()
			}
			s.partition(2)
			change, err := s.propose(0, 0, closed7)
			if err != nil {
				t.Fatal(err)
			}
			s.waitFinished(0, change)
			s.waitFinished(1, change)
			s.stop(1)
			if what == "old folder" {
				restore()
			} else if err := os.RemoveAll(s.dirs[1]); err != nil {
				t.Fatal(err)
			}
			s.net.Both("n2", "n1", links.Condition{})
			s.partition(0)
			s.start(1)
			// n1 and n2 are a majority without the change. None of the elections within three seconds may succeed.
			for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				for _, i := range []int{1, 2} {
					if r := s.nodes[i].Report(); r.Voter != nil && r.Voter.IsLeader {
						t.Fatalf("%s leads without the change: %+v", name(i), r.Voter)
					}
				}
			}
			if r := s.nodes[1].Report(); r.Voter.MissingVoters != " n0" {
				t.Errorf("n1 waits for %q", r.Voter.MissingVoters)
			}
			s.net.Heal()
			for i := range s.nodes {
				if finished := s.waitFinished(i, change); finished.Version != 1 {
					t.Errorf("%s: %v", name(i), finished)
				}
			}
			s.waitActing()
		})
	}
}

// After an operator has vouched for its folder, a voter starts once without the handshake's answers.
func TestFleet_Vouch(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 3, 3, nil)
	s.waitActing()
	if err := Vouch(s.dirs[1], "test"); err == nil {
		t.Error("vouching for a folder in use succeeds")
	}
	s.stop(2)
	s.stop(1)
	s.start(1)
	waitUntil(t, "n1 waits for n2", func() bool { r := s.nodes[1].Report(); return r.Voter.MissingVoters == " n2" })
	s.stop(1)
	if err := Vouch(s.dirs[1], "test"); err != nil {
		t.Fatal(err)
	}
	s.start(1)
	s.waitActing()
	if _, err := os.Stat(filepath.Join(s.dirs[1], vouchedName)); !os.IsNotExist(err) {
		t.Errorf("the operator's record was not removed: %v", err)
	}
	if err := Vouch(t.TempDir(), "test"); err == nil {
		t.Error("vouching for an empty folder succeeds")
	}
}

// A voter that is down for good is replaced by a follower while a change is under way.
func TestFleet_VoterReplaced(t *testing.T) {
	t.Parallel()
	s := newTestFleet(t, 3, 4, nil)
	s.waitActing()
	lead := s.leader()
	removed := (lead + 1) % 3
	s.stop(removed)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	change, err := s.propose(lead, 0, closed7)
	if err != nil {
		t.Fatal(err)
	}
	v := &pb.VoterChange{Add: []*pb.Voter{{Name: "n3", Address: s.hosts[3]}}, Remove: []string{name(removed)}, Author: "test"}
	if err := s.nodes[lead].ChangeVoters(ctx, v); err != nil {
		t.Fatal(err)
	}
	for i := range s.nodes {
		if i != removed {
			if finished := s.waitFinished(i, change); finished.Version != 1 {
				t.Errorf("%s: %v", name(i), finished)
			}
		}
	}
	waitUntil(t, "n3 is a voter", func() bool { r := s.nodes[3].Report(); return r.Voter != nil && r.Voter.AppliedIndex > 0 })
	if err := s.nodes[3].ChangeVoters(ctx, &pb.VoterChange{Add: []*pb.Voter{{Name: name(removed), Address: "127.0.0.1:1"}}}); !errors.Is(err, ErrRejected) || !strings.Contains(err.Error(), "a name of its own") {
		t.Errorf("a removed voter is added again: %v", err)
	}
	if err := s.nodes[3].ChangeVoters(ctx, &pb.VoterChange{Remove: []string{"nobody"}}); !errors.Is(err, ErrRejected) {
		t.Errorf("an unknown voter is removed: %v", err)
	}
	// The new voter counts: together with the leader alone it is a majority.
	s.stop(3 - removed - lead)
	if change, err = s.propose(3, 1, "# open again\n"); err != nil {
		t.Fatal(err)
	}
	if finished := s.waitFinished(3, change); finished.Version != 2 {
		t.Errorf("%v", finished)
	}
}

// A file of a newer program, of another sender or of another cluster is rejected with an error that names the mismatch, and is left unchanged.
func TestStore_RejectsForeignFolder(t *testing.T) {
	dir := t.TempDir()
	open := func(cluster, name string) error {
		s, err := openStore(dir, cluster, name)
		if err == nil {
			err = s.close()
		}
		return err
	}
	if err := open("a", "n0"); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ cluster, name, want string }{{"a", "n1", `name "n0", not to "n1"`}, {"b", "n0", `cluster "a", not to "b"`}} {
		if err := open(c.cluster, c.name); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v", err)
		}
	}
	s, err := openStore(dir, "a", "n0")
	if err != nil {
		t.Fatal(err)
	}
	if err := s.update(func(tx *bolt.Tx) error {
		return tx.Bucket(metaBucket).Put([]byte(formatRecord), boltfile.Number(storeFormat+1))
	}); err != nil {
		t.Fatal(err)
	}
	s.close()
	if err := open("a", "n0"); !errors.Is(err, ErrNewerFormat) {
		t.Errorf("%v", err)
	}
}

// Some links are cut while a change is made. Senders that reach a majority directly or through others continue to act, the others begin no
// calls, and all have the same result after the links are healed.
func TestFleet_PartialPartitions(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		what string
		cut  func(s *testFleet, lead int)
		act  func(lead int) []bool // which nodes act once the change has taken effect at a voter other than the leader
	}{
		{"a sender reaches all but the leader", func(s *testFleet, lead int) { s.net.Both("n4", name(lead), links.Condition{Blocked: true}) },
			func(int) []bool { return []bool{true, true, true, true, true} }},
		{"the leader can't send to one voter but receives from it", func(s *testFleet, lead int) {
			s.net.Set(name(lead), name((lead+1)%3), links.Condition{Blocked: true})
		}, nil},
		{"a sender can't send to any voter but receives from all", func(s *testFleet, _ int) {
			for v := range 3 {
				s.net.Set("n4", name(v), links.Condition{Blocked: true})
			}
		}, func(int) []bool { return []bool{true, true, true, true, false} }},
		{"a leader and a sender on one side, all others on the other", func(s *testFleet, lead int) {
			for i := range 5 {
				for j := range 5 {
					if side := func(k int) bool { return k == lead || k == 4 }; i != j && side(i) != side(j) {
						s.net.Set(name(i), name(j), links.Condition{Blocked: true})
					}
				}
			}
		}, func(lead int) []bool {
			act := []bool{true, true, true, true, false}
			act[lead] = false
			return act
		}},
	} {
		t.Run(c.what, func(t *testing.T) {
			t.Parallel()
			s := newTestFleet(t, 3, 5, nil)
			s.waitActing()
			lead := s.leader()
			c.cut(s, lead)
			from := (lead + 2) % 3
			var change uint64
			waitUntil(t, "a change is submitted", func() bool {
				var err error
				change, err = s.propose(from, 0, closed7)
				return err == nil
			})
			if finished := s.waitFinished(from, change); finished.Version != 1 {
				t.Errorf("%v", finished)
			}
			if c.act != nil {
				for i, want := range c.act(lead) {
					waitUntil(t, fmt.Sprintf("%s acts: %v", name(i), want), func() bool { _, acts := s.nodes[i].View(); return acts == want })
				}
			}
			s.net.Heal()
			for i := range s.nodes {
				if finished := s.waitFinished(i, change); finished.Version != 1 {
					t.Errorf("%s: %v", name(i), finished)
				}
			}
			s.waitActing()
		})
	}
}

// A node is down during three changes and restarts under the last version. An operator aborts a change that is not staged in time.
func TestFleet_VoterDownFor3Changes(t *testing.T) {
	t.Parallel()
	var blocked atomic.Bool
	s := newTestFleet(t, 3, 5, func(i int, c *Config) {
		if i == 3 {
			c.Disk = slowDisk{&blocked}
		}
	})
	s.waitActing()
	s.stop(4)
	for v := range uint64(3) {
		change, err := s.propose(int(v), v, []string{closed7, "# open\n"}[v%2])
		if err != nil {
			t.Fatal(err)
		}
		if finished := s.waitFinished(0, change); finished.Version != v+1 {
			t.Fatalf("%v", finished)
		}
	}
	s.start(4)
	s.waitActing()
	if v, _ := s.nodes[4].View(); v.Version != 3 {
		t.Errorf("the restarted node acts under version %d", v.Version)
	}
	blocked.Store(true)
	change, err := s.propose(4, 3, "# again\n")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := s.nodes[1].Abort(ctx, change, "not now"); err != nil {
		t.Error(err)
	}
	blocked.Store(false)
	for i := range s.nodes {
		if finished := s.waitFinished(i, change); finished.Version != 0 || finished.AbortReason != "not now" {
			t.Errorf("%s: %v", name(i), finished)
		}
	}
	if err := s.nodes[1].Abort(ctx, change, "again"); !errors.Is(err, ErrRejected) {
		t.Errorf("aborted twice: %v", err)
	}
	if err := s.nodes[1].Leave(ctx, &pb.Leave{Name: "n4", Author: "test"}); err != nil {
		t.Error(err)
	}
	waitUntil(t, "a removed node no longer acts", func() bool { _, acts := s.nodes[4].View(); return !acts })
}

// slowDisk blocks writes until a test releases them.
type slowDisk struct{ blocked *atomic.Bool }

func (d slowDisk) Write(path string, data []byte) error {
	for d.blocked.Load() {
		time.Sleep(time.Millisecond)
	}
	return realDisk{}.Write(path, data)
}

// A log of many entries is loaded from its snapshot and the entries after it; the replica, which starts empty, is sent the snapshot.
func TestFleet_ManyEntries(t *testing.T) {
	entries := 12_000
	if n := os.Getenv("SAFFRONYARD_ENTRIES"); n != "" {
		fmt.Sscan(n, &entries)
	}
	s := newTestFleet(t, 1, 1, nil)
	s.waitActing()
	began := time.Now()
	var work sync.WaitGroup
	for w := range 64 {
		work.Add(1)
		go func() {
			defer work.Done()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
			defer cancel()
			for i := range entries / 64 {
				if _, err := s.nodes[0].Submit(ctx, 1, &pb.Join{Name: fmt.Sprintf("m%d-%d", w, i%10), MaxCommandKind: 4}); err != nil {
					t.Error(err)
					return
				}
			}
		}()
	}
	work.Wait()
	index := s.nodes[0].Report().Voter.AppliedIndex
	t.Logf("%d entries in %v, %.0f a second", index, time.Since(began), float64(index)/time.Since(began).Seconds())
	s.stop(0)
	info, err := os.Stat(filepath.Join(s.dirs[0], logName))
	if err != nil {
		t.Fatal(err)
	}
	began = time.Now()
	s.start(0)
	waitUntil(t, "the node has applied the same index as before", func() bool { r := s.nodes[0].Report(); return r.Index >= index && r.MayAct })
	t.Logf("acts again after %v; the voter's file has %d bytes", time.Since(began), info.Size())
	if r := s.nodes[0].Report(); len(r.Members) != 641 {
		t.Errorf("the restarted node reports %d members", len(r.Members))
	}
}

// BenchmarkCommits measures the throughput and the latency of commits with five voters and 64 concurrent clients.
func BenchmarkCommits(b *testing.B) {
	s := newTestFleet(b, 5, 5, nil)
	s.waitActing()
	lead := s.leader()
	var mu sync.Mutex
	var took []time.Duration
	var n atomic.Int64
	b.ResetTimer()
	began := time.Now()
	var work sync.WaitGroup
	for range 64 {
		work.Add(1)
		go func() {
			defer work.Done()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
			defer cancel()
			for n.Add(1) <= int64(b.N) {
				from := time.Now()
				if _, err := s.nodes[lead].Submit(ctx, 1, &pb.Join{Name: "m", MaxCommandKind: 4}); err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				took = append(took, time.Since(from))
				mu.Unlock()
			}
		}()
	}
	work.Wait()
	slices.Sort(took)
	b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "commits/s")
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
}

// The commands of a month in an ordinary fleet: twenty changes a day of a document of 200 destinations, and one join a day by each of 300
// senders. The size of a voter's file stays bounded. SAFFRONYARD_MONTH=30 runs the month; by default one day is run.
func TestFleet_MonthOfCommands(t *testing.T) {
	days := 1
	if n := os.Getenv("SAFFRONYARD_MONTH"); n != "" {
		fmt.Sscan(n, &days)
	}
	s := newTestFleet(t, 1, 1, nil)
	s.waitActing()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	version, maxSize := uint64(0), int64(0)
	for day := range days {
		for m := range 300 {
			if _, err := s.nodes[0].Submit(ctx, 1, &pb.Join{Name: name(m), MaxCommandKind: 4}); err != nil {
				t.Fatal(err)
			}
		}
		for range 20 {
			var doc strings.Builder
			doc.WriteString("[[route]]\nstate = \"closed\"\ndestinations = [")
			for d := range 200 {
				fmt.Fprintf(&doc, "%d, ", int(version)*7+d)
			}
			doc.WriteString("]\n")
			change, err := s.propose(0, version, doc.String())
			if err != nil {
				t.Fatal(err)
			}
			if finished := s.waitFinished(0, change); finished.Version != version+1 {
				t.Fatalf("%v", finished)
			}
			version++
		}
		info, err := os.Stat(filepath.Join(s.dirs[0], logName))
		if err != nil {
			t.Fatal(err)
		}
		maxSize = max(maxSize, info.Size())
		if day == days-1 {
			t.Logf("after %d days, %d changes, %d entries: %d bytes, at most %d", days, version, s.nodes[0].Report().Index, info.Size(), maxSize)
		}
	}
	if maxSize > 32<<20 {
		t.Errorf("the voter's file grows to %d bytes", maxSize)
	}
}

// Keys are rotated in service, one sender after another. A sender with another key, or without one, does not act.
func TestFleet_KeyRotation(t *testing.T) {
	t.Parallel()
	first, second := []byte("0123456789abcdef"), []byte("fedcba9876543210")
	s := newTestFleet(t, 3, 5, func(i int, c *Config) {
		c.Keys = [][]byte{first}
		switch i {
		case 3:
			c.Keys = [][]byte{second}
		case 4:
			c.Keys = nil
		}
	})
	for i := range 3 {
		waitUntil(t, name(i)+" acts", func() bool { _, acts := s.nodes[i].View(); return acts })
	}
	for _, keys := range [][][]byte{{first, second}, {second, first}, {second}} {
		for i := range 3 {
			s.nodes[i].SetKeys(keys)
		}
		change, err := s.propose(0, s.nodes[0].Report().Policy.Version, "# "+string(keys[0]))
		if err != nil {
			t.Fatal(err)
		}
		s.waitFinished(0, change)
	}
	waitUntil(t, "the sender that has the fleet's new key acts", func() bool { _, acts := s.nodes[3].View(); return acts })
	if _, acts := s.nodes[4].View(); acts {
		t.Error("a sender without a key acts")
	}
}
