package consensus

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// manualNode is a node whose loop the test runs in virtual time; all other nodes are unreachable.
type manualNode struct {
	t    *testing.T
	node *Node
	disk *wal.Memory
	now  time.Duration
	log  bytes.Buffer

	limit int // of the control state, in bytes; 0: StateLimit
}

func newManualNode(t *testing.T, disk *wal.Memory, seeds ...string) *manualNode {
	s := &manualNode{t: t, disk: disk}
	s.open(true, seeds...)
	return s
}

func (s *manualNode) open(bootstrap bool, seeds ...string) {
	n, err := open(Config{Self: &tierv1.Member{Address: "a"}, Seeds: seeds, Bootstrap: bootstrap, Losses: len(seeds) / 2, Dir: "/data",
		StateLimit: s.limit, FS: s.disk, ContactWindow: 3 * time.Second, Heartbeat: time.Second, Log: &log.Logger{Writer: log.IOWriter{Writer: &s.log}},
		Dial: func(to string) tierv1.Election { return networkClient{&network{}, to} }}, func() time.Duration { return s.now })
	assert.NilError(s.t, err)
	s.node = n
}

// runFor runs the loop of the node for d.
func (s *manualNode) runFor(d time.Duration) {
	s.t.Helper()
	for end := s.now + d; s.now < end; s.now += 5 * time.Millisecond {
		assert.NilError(s.t, s.node.runOnce(context.Background()))
	}
}

// put queues a write and returns the channel that receives its outcome.
func (s *manualNode) put(key string) chan outcome {
	return s.putSets(map[string][]byte{key: bytes.Repeat([]byte(key), 100)})
}

func (s *manualNode) putSets(sets map[string][]byte) chan outcome {
	n := s.node
	c := make(chan outcome, 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.token++
	n.outcomes[n.token] = c
	if !n.postLocked(putRequest{n.token, n.published.epoch, sets}) {
		delete(n.outcomes, n.token)
		c <- outcome{err: ErrNotPrimary}
	}
	return c
}

// callNode calls the service and runs the loop until the call returns.
func callNode[T any](s *manualNode, do func(n *Node) (T, error)) (T, error) {
	type answered struct {
		reply T
		err   error
	}
	c := make(chan answered, 1)
	go func() {
		r, err := do(s.node)
		c <- answered{r, err}
	}()
	for {
		select {
		case a := <-c:
			return a.reply, a.err
		case <-s.node.wake:
			s.runFor(5 * time.Millisecond)
		}
	}
}

// prepare sends a prepare to the node.
func (s *manualNode) prepare(epoch uint64) (*tierv1.PrepareReply, error) {
	return callNode(s, func(n *Node) (*tierv1.PrepareReply, error) {
		return (server{n}).Promise(context.Background(), &tierv1.PrepareRequest{Epoch: epoch, From: &tierv1.Member{Folder: "x", Address: "b"}})
	})
}

// A disk failure at any operation, also at the start, once or until the disk recovers, ends leadership and acknowledgements but not the
// node. When the disk works again the node has every acknowledged write, also after a power loss.
func TestDiskFailure_AtEachOperation(t *testing.T) {
	for _, cause := range []error{syscall.ENOSPC, syscall.EIO} {
		for _, persistent := range []bool{false, true} {
			for at := 1; ; at++ {
				label := fmt.Sprintf("%v, persistent %v, operation %d", cause, persistent, at)
				disk := wal.NewMemory()
				if persistent {
					disk.FailFrom(at, cause)
				} else {
					disk.FailAt(at, cause)
				}
				failed := playDiskFailure(t, disk, label, uint64(at))
				if !failed {
					assert.Assert(t, at > 20, label)
					break
				}
			}
		}
	}
}

// playDiskFailure writes during a disk failure and after it. It reports whether a failure occurred.
func playDiskFailure(t *testing.T, disk *wal.Memory, label string, seed uint64) (failed bool) {
	s := newManualNode(t, disk, "a")
	acknowledged := make(map[string]bool)
	write := func(from, to int) {
		for i := from; i < to; i++ {
			key := fmt.Sprint("k", i)
			c := s.put(key)
			s.runFor(20 * time.Millisecond)
			failed = failed || s.node.DiskError() != nil
			select {
			case o := <-c:
				if o.err == nil {
					assert.NilError(t, s.node.DiskError(), label)
					acknowledged[key] = true
				}
			default:
				t.Fatalf("%s: %s has no outcome", label, key)
			}
		}
	}
	s.runFor(time.Second)
	write(0, 6)
	if failed = failed || s.node.DiskError() != nil; failed && s.node.DiskError() != nil {
		_, leads := s.node.Primary()
		assert.Assert(t, !leads && s.node.replica == nil, label)
		assert.ErrorIs(t, (<-s.put("refused")).err, ErrNotPrimary, label)
	}
	disk.Recover()
	s.runFor(6 * time.Second)
	assert.NilError(t, s.node.DiskError(), label)
	write(6, 9)
	assert.Assert(t, acknowledged["k6"] && acknowledged["k8"], label)
	text := s.log.String()
	assert.Equal(t, strings.Count(text, `"disk_failed"`), strings.Count(text, `"disk_recovered"`), label)
	assert.Assert(t, !strings.Contains(text, `"message":""`), label)
	folder := s.node.Self().Folder
	disk.Crash(rand.New(rand.NewPCG(seed, 1)))
	s.open(false, "a")
	s.runFor(time.Second)
	assert.Equal(t, s.node.Self().Folder, folder, label)
	for key := range acknowledged {
		v, _ := s.node.Get(key)
		assert.Equal(t, string(v), strings.Repeat(key, 100), label)
	}
	return failed || strings.Contains(text, `"disk_failed"`)
}

// A prepare whose sync failed gets no reply. A prepare that got a reply is still in force after the disk recovered.
func TestDiskFailure_PrepareOnFullDisk(t *testing.T) {
	s := newManualNode(t, wal.NewMemory(), "a", "b", "c")
	a, err := s.prepare(1 << 20)
	assert.NilError(t, err)
	assert.Assert(t, a.Prepared)
	s.disk.FailFrom(1, syscall.ENOSPC)
	_, err = s.prepare(2 << 20)
	assert.ErrorContains(t, err, "no space left on device")
	_, err = s.prepare(3 << 20)
	assert.ErrorContains(t, err, "disk failed")
	s.runFor(10 * time.Second)
	assert.ErrorContains(t, s.node.DiskError(), "no space left on device")
	assert.Equal(t, strings.Count(s.log.String(), `"disk_failed"`), 1)
	s.disk.Recover()
	s.runFor(5 * time.Second)
	assert.NilError(t, s.node.DiskError())
	a, err = s.prepare(1 << 20)
	assert.NilError(t, err)
	assert.Assert(t, !a.Prepared && a.HighestPrepared >= 1<<20, "%v", a)
	a, err = s.prepare(4 << 20)
	assert.NilError(t, err)
	assert.Assert(t, a.Prepared)
}

// A genesis identity is created once. If the file is gone when the disk recovers, the node creates another folder, which has no vote.
func TestDiskFailure_LostFileIsNewMember(t *testing.T) {
	s := newManualNode(t, wal.NewMemory(), "a", "b", "c")
	first := s.node.Self().Folder
	assert.Assert(t, s.node.replica.Genesis)
	s.disk.FailAt(1, syscall.EIO)
	_, err := s.prepare(1 << 20)
	assert.ErrorContains(t, err, "disk failed")
	assert.NilError(t, s.disk.Remove("/data/"+fileName))
	s.runFor(5 * time.Second)
	assert.NilError(t, s.node.DiskError())
	assert.Assert(t, s.node.Self().Folder != first && !s.node.replica.Genesis)
}

// On a full disk with a long file, the rewrite to the records of the current state frees space. One operation of a recovery is the trial
// write; if that operation fails, the node recovers at once with a short file.
func TestDiskFailure_RewriteFreesSpace(t *testing.T) {
	short := 0
	for at := 1; at < 20; at++ {
		s := newManualNode(t, wal.NewMemory(), "a")
		s.runFor(time.Second)
		for range 100 {
			c := s.put("k")
			s.runFor(5 * time.Millisecond)
			assert.NilError(t, (<-c).err)
		}
		long := s.node.file.Size()
		s.disk.FailAt(1, syscall.ENOSPC)
		c := s.put("lost")
		s.runFor(5 * time.Millisecond)
		assert.ErrorIs(t, (<-c).err, ErrOutcomeUnknown)
		s.disk.FailAt(at, syscall.ENOSPC)
		s.runFor(5 * time.Second)
		assert.NilError(t, s.node.DiskError(), "operation %d", at)
		if s.node.file.Size() < long/4 {
			short++
		}
		v, _ := s.node.Get("k")
		assert.Equal(t, string(v), strings.Repeat("k", 100))
	}
	assert.Assert(t, short > 0)
}

// A primary whose disk is full is replaced when its lease has expired, and follows when there is space. The same holds for a primary whose
// sync hangs, although its loop is blocked and cannot detect it.
func TestDiskFailure_OfPrimary(t *testing.T) {
	for name, fail := range map[string]func(disk *wal.Memory) (repair func()){
		"full": func(disk *wal.Memory) func() {
			disk.FailFrom(1, syscall.ENOSPC)
			return disk.Recover
		},
		"sync hangs": func(disk *wal.Memory) func() { return disk.StallSync() },
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			for _, a := range []string{"a", "b", "c"} {
				c.start(a, true)
			}
			c.put("k", "1")
			old, epoch := c.primary()
			address := old.Self().Address
			repair := fail(c.disks[address])
			defer repair()
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan error, 1)
			go func() { // the write that hits the failing disk
				_, err := old.Put(ctx, epoch, map[string][]byte{"lost": []byte("x")})
				ended <- err
			}()
			c.until("the lease to end", func() bool { _, ok := old.Primary(); return !ok })
			c.until("another leader", func() bool {
				n, e := c.primary()
				return n != old && e > epoch
			})
			cancel()
			assert.Assert(t, <-ended != nil)
			c.put("k", "2")
			_, ok := old.Primary()
			assert.Assert(t, !ok)
			repair()
			c.until("the old leader to follow", func() bool {
				leader, _ := c.primary()
				return old.DiskError() == nil && old.PrimaryHint() == leader.Self().Address && old.View().GetEpoch() == leader.View().Epoch
			})
			assert.Equal(t, c.get("k"), "2")
		})
	}
}
