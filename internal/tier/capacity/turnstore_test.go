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

	"saffronyard.example/saffronyard/internal/tier/turnstore"
	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// osWithoutSync is the file system of the machine without its syncs, because turn stores in production have other disks.
type osWithoutSync struct{ wal.OS }

func (system osWithoutSync) Open(name string) (wal.Handle, error) {
	return withoutSync(system.OS.Open(name))
}
func (system osWithoutSync) Create(name string) (wal.Handle, error) {
	return withoutSync(system.OS.Create(name))
}
func (osWithoutSync) SyncDir(string) error { return nil }

func withoutSync(h wal.Handle, err error) (wal.Handle, error) {
	if err != nil {
		return nil, err
	}
	return handleWithoutSync{h}, nil
}

type handleWithoutSync struct{ wal.Handle }

func (handleWithoutSync) Sync() error { return nil }

// storePair is a primary and its backup. Calls between them are in process, encoded and decoded as on the wire.
type storePair struct {
	primary, backup *turnstore.TurnStore
	folders         [2]string
	replicatedBytes int // bytes of replication
	mu              sync.Mutex
}

type wireClient struct {
	tierv1.TurnStore
	stores *storePair
}

func (client wireClient) Replicate(ctx context.Context, r *tierv1.ReplicateRequest) (*tierv1.ReplicateReply, error) {
	body, err := proto.Marshal(r)
	if err != nil {
		return nil, err
	}
	client.stores.mu.Lock()
	client.stores.replicatedBytes += len(body)
	client.stores.mu.Unlock()
	q := &tierv1.ReplicateRequest{}
	if err := proto.Unmarshal(body, q); err != nil {
		return nil, err
	}
	return client.TurnStore.Replicate(ctx, q)
}

func openStore(b *testing.B, name, dir string, stores *storePair) *turnstore.TurnStore {
	store, err := turnstore.Open(turnstore.Config{Node: name, Dir: dir, FS: osWithoutSync{}, Log: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}},
		RequestTimeout: 30 * time.Second, ReplyTimeout: 10 * time.Second,
		Dial: func(at string) tierv1.TurnStore {
			if at == "a" {
				return wireClient{stores.primary, stores}
			}
			return wireClient{stores.backup, stores}
		}})
	assert.NilError(b, err)
	return store
}

func newStorePair(b *testing.B, partitions int) *storePair {
	stores := &storePair{folders: [2]string{b.TempDir(), b.TempDir()}}
	stores.primary, stores.backup = openStore(b, "a", stores.folders[0], stores), openStore(b, "b", stores.folders[1], stores)
	partitionMap := &tierv1.PartitionMap{Version: 1}
	for name, store := range map[string]*turnstore.TurnStore{"a": stores.primary, "b": stores.backup} {
		partitionMap.StoreNodes = append(partitionMap.StoreNodes, &tierv1.StoreNode{Folder: store.Folder(), Node: name, Address: name})
	}
	for range partitions {
		partitionMap.Partitions = append(partitionMap.Partitions, &tierv1.Partition{Epoch: 1, Primary: stores.primary.Folder(),
			Backups: []*tierv1.Replica{{Folder: stores.backup.Folder(), Synced: true}}})
	}
	stores.primary.ApplyPartitionMap(partitionMap)
	stores.backup.ApplyPartitionMap(partitionMap)
	return stores
}

func (stores *storePair) close() { _ = stores.primary.Close(); _ = stores.backup.Close() }

var sampleText = func() []byte {
	r, body := rand.New(rand.NewPCG(1, 2)), make([]byte, 1<<20)
	for i := range body {
		body[i] = 'a' + byte(r.IntN(26))
	}
	return body
}()

// bytesPerTurn is the text that one turn of a program adds, at the target size.
const bytesPerTurn = tokensPerProgram * bytesPerToken / turnsPerProgram

func turnText(i int) []byte {
	return bytes.Clone(sampleText[i*31%(len(sampleText)-bytesPerTurn):][:bytesPerTurn/2])
}

// storeTurn runs the n-th turn of a program: Begin, and Settle with its text.
func (stores *storePair) storeTurn(b *testing.B, program string, partition uint32, n int, held string) {
	attempt, previous := fmt.Sprintf("%s-attempt-%04d-%032d", program, n, n), ""
	if n > 0 {
		previous = fmt.Sprintf("%s-attempt-%04d-%032d", program, n-1, n-1)
	}
	r, err := stores.primary.Begin(b.Context(), &tierv1.BeginRequest{Partition: partition, Program: program, Attempt: attempt, Previous: previous,
		Limited: true, Budget: 1 << 40, MaxTokens: 4096, RetentionMs: 3_600_000, KnownTurn: previous, ChainKnown: held == ""})
	if err != nil || r.Verdict != tierv1.Verdict_OK {
		b.Fatal(err, r.GetVerdict())
	}
	s, err := stores.primary.Settle(b.Context(), &tierv1.SettleRequest{Partition: partition, Program: program, Attempt: attempt, Stored: true, Tokens: 400,
		Turn: &tierv1.Turn{Attempt: attempt, Previous: previous, Program: program, Input: turnText(n), Output: turnText(n + 7), RetentionMs: 3_600_000,
			Instance: "i-00004711"}})
	if err != nil || s.Verdict != tierv1.Verdict_OK {
		b.Fatal(err, s.GetVerdict())
	}
}

// BenchmarkTurnStoreTurn measures one turn of a program of 150 turns, at both turn stores together: Begin and Settle, with the
// chain cached by the gateway. Programs run one after the other.
func BenchmarkTurnStoreTurn(b *testing.B) {
	p := newStorePair(b, 32)
	defer p.close()
	before, used, n := heapInUse(), processorTime(), 0
	for b.Loop() {
		program := n / turnsPerProgram
		p.storeTurn(b, fmt.Sprintf("program-%06d", program), uint32(program%32), n%turnsPerProgram, "")
		n++
	}
	b.ReportMetric(float64((processorTime()-used).Microseconds())/float64(n), "cpu-µs/turn")
	b.ReportMetric((heapInUse()-before)/float64(2*n), "B-memory/turn")
	b.ReportMetric(float64(p.replicatedBytes)/float64(n), "B-replicated/turn")
	size, _ := os.Stat(filepath.Join(p.folders[0], "facts-0"))
	b.ReportMetric(float64(size.Size())/float64(n), "B-wal/turn")
	b.ReportMetric(bytesPerTurn, "B-text/turn")
}

// BenchmarkTurnStoreChain measures a Begin at the end of 150 turns, encoded and decoded as on the wire, with the complete chain
// sent, and with the chain cached by the gateway.
func BenchmarkTurnStoreChain(b *testing.B) {
	for _, complete := range []bool{true, false} {
		b.Run(fmt.Sprintf("complete=%t", complete), func(b *testing.B) {
			p := newStorePair(b, 1)
			defer p.close()
			for n := range turnsPerProgram {
				p.storeTurn(b, "program", 0, n, "")
			}
			last := fmt.Sprintf("program-attempt-%04d-%032d", turnsPerProgram-1, turnsPerProgram-1)
			size, n := 0, 0
			report := measureProcessor(b)
			for b.Loop() {
				r, err := p.primary.Begin(b.Context(), &tierv1.BeginRequest{Program: "program", Attempt: fmt.Sprint("next-", n), Previous: last, Limited: true,
					Budget: 1 << 50, MaxTokens: 4096, RetentionMs: 3_600_000, ChainKnown: !complete})
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

// BenchmarkTurnStoreRemoveExpired measures the removal of expired entries from one of 32 partitions, during which its lock is held.
func BenchmarkTurnStoreRemoveExpired(b *testing.B) {
	p := newStorePair(b, 1)
	defer p.close()
	const storedTurns = 200 * turnsPerProgram
	for n := range storedTurns {
		p.storeTurn(b, fmt.Sprintf("program-%06d", n/turnsPerProgram), 0, n%turnsPerProgram, "")
	}
	report := measureProcessor(b)
	for b.Loop() {
		for range 8 { // one for each group of partitions
			p.primary.RemoveExpired(time.Now())
		}
	}
	report()
	b.ReportMetric(storedTurns, "turns")
}

// BenchmarkTurnStoreReplay measures the start of a turn store with a write-ahead log of 300 MB of turns, until it is ready.
func BenchmarkTurnStoreReplay(b *testing.B) {
	const size = 300 << 20
	p := newStorePair(b, 32)
	n := 0
	for at := 0; at < size; n++ {
		program := n / turnsPerProgram
		p.storeTurn(b, fmt.Sprintf("program-%06d", program), uint32(program%32), n%turnsPerProgram, "")
		at += bytesPerTurn + 400
	}
	p.close()
	info, err := os.Stat(filepath.Join(p.folders[0], "facts-0"))
	assert.NilError(b, err)
	p.primary, p.backup = nil, nil
	var took time.Duration
	used, before, retained, rounds := processorTime(), heapInUse(), 0.0, 0
	for b.Loop() {
		began := time.Now()
		v := openStore(b, "a", p.folders[0], p)
		took += time.Since(began)
		retained = heapInUse() - before
		_ = v.Close()
		rounds++
	}
	b.ReportMetric(took.Seconds()/float64(rounds), "s/replay")
	b.ReportMetric((processorTime()-used).Seconds()/float64(rounds), "cpu-s/replay")
	b.ReportMetric(float64(info.Size())/(1<<20), "MB-wal")
	b.ReportMetric(float64(2*n*rounds)/took.Seconds(), "records/s")
	b.ReportMetric(float64(info.Size())/(1<<20)*float64(rounds)/took.Seconds(), "MB/s")
	b.ReportMetric(retained/(1<<20), "MB-memory")
}
