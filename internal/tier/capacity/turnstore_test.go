package capacity

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"dockshift.example/dockshift/internal/tier/turnstore"
	"dockshift.example/dockshift/internal/tier/wal"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// lax is the file system of the machine without its syncs: the disk that a turn store will stand on is another one.
type lax struct{ wal.OS }

func (l lax) Open(name string) (wal.Handle, error)   { return wrap(l.OS.Open(name)) }
func (l lax) Create(name string) (wal.Handle, error) { return wrap(l.OS.Create(name)) }
func (lax) SyncDir(string) error                     { return nil }

func wrap(h wal.Handle, err error) (wal.Handle, error) {
	if err != nil {
		return nil, err
	}
	return unsynced{h}, nil
}

type unsynced struct{ wal.Handle }

func (unsynced) Sync() error { return nil }

// pair is a primary and its backup, with calls from one to the other in process, read and written as on the wire.
type pair struct {
	primary, backup *turnstore.TurnStore
	dirs            [2]string
	sent            int // bytes of replication
	mu              sync.Mutex
}

type wire struct {
	tierv1.TurnStore
	p *pair
}

func (w wire) Replicate(ctx context.Context, r *tierv1.ReplicateRequest) (*tierv1.ReplicateReply, error) {
	body, err := proto.Marshal(r)
	if err != nil {
		return nil, err
	}
	w.p.mu.Lock()
	w.p.sent += len(body)
	w.p.mu.Unlock()
	q := &tierv1.ReplicateRequest{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, err
	}
	return w.TurnStore.Replicate(ctx, q)
}

func open(b *testing.B, name, dir string, p *pair) *turnstore.TurnStore {
	v, err := turnstore.Open(turnstore.Config{Node: name, Dir: dir, FS: lax{}, Log: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
		RequestTimeout: 30 * time.Second, ReplyTimeout: 10 * time.Second,
		Dial: func(at string) tierv1.TurnStore {
			if at == "a" {
				return wire{p.primary, p}
			}
			return wire{p.backup, p}
		}})
	assert.NilError(b, err)
	return v
}

func newPair(b *testing.B, partitions int) *pair {
	p := &pair{dirs: [2]string{b.TempDir(), b.TempDir()}}
	p.primary, p.backup = open(b, "a", p.dirs[0], p), open(b, "b", p.dirs[1], p)
	m := &tierv1.PartitionMap{Version: 1}
	for name, v := range map[string]*turnstore.TurnStore{"a": p.primary, "b": p.backup} {
		m.StoreNodes = append(m.StoreNodes, &tierv1.StoreNode{Folder: v.Folder(), Node: name, Address: name})
	}
	for range partitions {
		m.Partitions = append(m.Partitions, &tierv1.Partition{Epoch: 1, Primary: p.primary.Folder(),
			Backups: []*tierv1.Copy{{Folder: p.backup.Folder(), Synced: true}}})
	}
	p.primary.Apply(m)
	p.backup.Apply(m)
	return p
}

func (p *pair) close() { _ = p.primary.Close(); _ = p.backup.Close() }

var noise = func() []byte {
	r, body := rand.New(rand.NewPCG(1, 2)), make([]byte, 1<<20)
	for i := range body {
		body[i] = 'a' + byte(r.IntN(26))
	}
	return body
}()

// perTurn is the text that one of a program's turns adds, at the size aimed at.
const perTurn = history * perToken / turns

func text(i int) []byte { return bytes.Clone(noise[i*31%(len(noise)-perTurn):][:perTurn/2]) }

// turn runs the n-th turn of a program: Begin, and Settle with what is kept.
func (p *pair) turn(b *testing.B, program string, partition uint32, n int, held string) {
	attempt, previous := fmt.Sprintf("%s-attempt-%04d-%032d", program, n, n), ""
	if n > 0 {
		previous = fmt.Sprintf("%s-attempt-%04d-%032d", program, n-1, n-1)
	}
	r, err := p.primary.Begin(b.Context(), &tierv1.BeginRequest{Partition: partition, Program: program, Attempt: attempt, Previous: previous,
		Limited: true, Budget: 1 << 40, Most: 4096, RetentionMs: 3_600_000, Held: previous, ChainHeld: held == ""})
	if err != nil || r.Verdict != tierv1.Verdict_OK {
		b.Fatal(err, r.GetVerdict())
	}
	s, err := p.primary.Settle(b.Context(), &tierv1.SettleRequest{Partition: partition, Program: program, Attempt: attempt, Kept: true, Tokens: 400,
		Turn: &tierv1.Turn{Attempt: attempt, Previous: previous, Program: program, Input: text(n), Output: text(n + 7), RetentionMs: 3_600_000,
			Instance: "i-00004711"}})
	if err != nil || s.Verdict != tierv1.Verdict_OK {
		b.Fatal(err, s.GetVerdict())
	}
}

// BenchmarkVaultTurn gives what one turn of a program of 150 takes, of both turn stores together: Begin and Settle, the chain
// held by the gateway. Programs go on side by side.
func BenchmarkTurnStoreTurn(b *testing.B) {
	p := newPair(b, 32)
	defer p.close()
	before, used, n := heap(), processor(), 0
	for b.Loop() {
		program := n / turns
		p.turn(b, fmt.Sprintf("program-%06d", program), uint32(program%32), n%turns, "")
		n++
	}
	b.ReportMetric(float64((processor()-used).Microseconds())/float64(n), "cpu-µs/turn")
	b.ReportMetric((heap()-before)/float64(2*n), "B-memory/turn")
	b.ReportMetric(float64(p.sent)/float64(n), "B-replicated/turn")
	size, _ := os.Stat(filepath.Join(p.dirs[0], "facts-0"))
	b.ReportMetric(float64(size.Size())/float64(n), "B-wal/turn")
	b.ReportMetric(perTurn, "B-text/turn")
}

// BenchmarkVaultChain gives what a Begin at the end of 150 turns takes, written and read as on the wire, with the chain
// sent whole, and with it held by the gateway.
func BenchmarkTurnStoreChain(b *testing.B) {
	for _, whole := range []bool{true, false} {
		b.Run(fmt.Sprintf("whole=%t", whole), func(b *testing.B) {
			p := newPair(b, 1)
			defer p.close()
			for n := range turns {
				p.turn(b, "program", 0, n, "")
			}
			last := fmt.Sprintf("program-attempt-%04d-%032d", turns-1, turns-1)
			size, n := 0, 0
			report := measured(b)
			for b.Loop() {
				r, err := p.primary.Begin(b.Context(), &tierv1.BeginRequest{Program: "program", Attempt: fmt.Sprint("next-", n), Previous: last, Limited: true,
					Budget: 1 << 50, Most: 4096, RetentionMs: 3_600_000, ChainHeld: !whole})
				if err != nil || r.Verdict != tierv1.Verdict_OK {
					b.Fatal(err, r.GetVerdict())
				}
				body, err := proto.Marshal(r)
				assert.NilError(b, err)
				assert.NilError(b, proto.Unmarshal(body, &tierv1.BeginReply{}))
				size, n = len(body), n+1
			}
			report()
			b.ReportMetric(float64(size), "B-reply")
		})
	}
}

// BenchmarkVaultSweep gives what looking through one of 32 partitions for what is past its time takes, its lock held.
func BenchmarkTurnStoreSweep(b *testing.B) {
	p := newPair(b, 1)
	defer p.close()
	const kept = 200 * turns
	for n := range kept {
		p.turn(b, fmt.Sprintf("program-%06d", n/turns), 0, n%turns, "")
	}
	report := measured(b)
	for b.Loop() {
		for range 8 { // all parts have had their turn then
			p.primary.Sweep(time.Now())
		}
	}
	report()
	b.ReportMetric(kept, "turns")
}

// BenchmarkVaultReplay gives the time from start to ready of a turn store with a write-ahead log of 300 MB of turns.
func BenchmarkTurnStoreReplay(b *testing.B) {
	const size = 300 << 20
	p := newPair(b, 32)
	n := 0
	for at := 0; at < size; n++ {
		program := n / turns
		p.turn(b, fmt.Sprintf("program-%06d", program), uint32(program%32), n%turns, "")
		at += perTurn + 400
	}
	p.close()
	info, err := os.Stat(filepath.Join(p.dirs[0], "facts-0"))
	assert.NilError(b, err)
	p.primary, p.backup = nil, nil
	var took time.Duration
	used, before, kept, rounds := processor(), heap(), 0.0, 0
	for b.Loop() {
		began := time.Now()
		v := open(b, "a", p.dirs[0], p)
		took += time.Since(began)
		kept = heap() - before
		_ = v.Close()
		rounds++
	}
	b.ReportMetric(took.Seconds()/float64(rounds), "s/replay")
	b.ReportMetric((processor()-used).Seconds()/float64(rounds), "cpu-s/replay")
	b.ReportMetric(float64(info.Size())/(1<<20), "MB-wal")
	b.ReportMetric(float64(2*n*rounds)/took.Seconds(), "records/s")
	b.ReportMetric(float64(info.Size())/(1<<20)*float64(rounds)/took.Seconds(), "MB/s")
	b.ReportMetric(kept/(1<<20), "MB-memory")
}
