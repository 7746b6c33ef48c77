package tiertest

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"dockshift.example/dockshift/internal/tier/turnstore"
	"dockshift.example/dockshift/internal/tier/wal"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// ErrNet is what a caller hears of a message that was lost.
var ErrNet = errors.New("no answer")

// Message is a call on its way to a turn store.
type Message struct {
	Ctx     context.Context
	Method  string
	Request proto.Message
	Serve   func() error // has the turn store answer it; may be called several times
}

// TurnStore is a turn store with a network before it.
type TurnStore struct {
	*turnstore.TurnStore
	Address string

	mu   sync.Mutex
	via  func(Message) error
	dark bool
}

var _ tierv1.TurnStore = (*TurnStore)(nil)

// SetVia sets what stands before it; nil: nothing.
func (v *TurnStore) SetVia(f func(Message) error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.via = f
}

// SetDark has it say nothing, like a machine without power.
func (v *TurnStore) SetDark(dark bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dark = dark
}

func carry[Q, P proto.Message](v *TurnStore, ctx context.Context, method string, q Q, serve func(context.Context, Q) (P, error)) (reply P, err error) {
	v.mu.Lock()
	via, dark := v.via, v.dark
	v.mu.Unlock()
	var none P
	if dark {
		<-ctx.Done()
		return none, ctx.Err()
	}
	q = proto.Clone(q).(Q)
	once := func() error {
		got, err := serve(ctx, proto.Clone(q).(Q))
		if err == nil {
			reply = proto.Clone(got).(P)
		}
		return err
	}
	if via == nil {
		err = once()
	} else {
		err = via(Message{Ctx: ctx, Method: method, Request: q, Serve: once})
	}
	v.mu.Lock()
	dark = v.dark
	v.mu.Unlock()
	if dark {
		<-ctx.Done()
		return none, ctx.Err()
	}
	if err != nil {
		return none, err
	}
	return reply, nil
}

// Begin carries the call.
func (v *TurnStore) Begin(ctx context.Context, r *tierv1.BeginRequest) (*tierv1.BeginReply, error) {
	return carry(v, ctx, "Begin", r, v.TurnStore.Begin)
}

// Settle carries the call.
func (v *TurnStore) Settle(ctx context.Context, r *tierv1.SettleRequest) (*tierv1.SettleReply, error) {
	return carry(v, ctx, "Settle", r, v.TurnStore.Settle)
}

// Find carries the call.
func (v *TurnStore) Find(ctx context.Context, r *tierv1.FindRequest) (*tierv1.FindReply, error) {
	return carry(v, ctx, "Find", r, v.TurnStore.Find)
}

// Replicate carries the call.
func (v *TurnStore) Replicate(ctx context.Context, r *tierv1.ReplicateRequest) (*tierv1.ReplicateReply, error) {
	return carry(v, ctx, "Replicate", r, v.TurnStore.Replicate)
}

// Held carries the call.
func (v *TurnStore) Held(ctx context.Context, r *tierv1.HeldRequest) (*tierv1.HeldReply, error) {
	return carry(v, ctx, "Held", r, v.TurnStore.Held)
}

// Fetch carries the call.
func (v *TurnStore) Fetch(ctx context.Context, r *tierv1.FetchRequest) (*tierv1.FetchReply, error) {
	return carry(v, ctx, "Fetch", r, v.TurnStore.Fetch)
}

// TurnStores are turn stores with disks in memory, which know each other.
type TurnStores struct {
	t    testing.TB
	List []*TurnStore

	mu      sync.Mutex
	version uint64
}

const partitions = 6

// releaseTime is how long a release may take to come through after a takeover: longer than any test, so that none depends on
// how fast it runs.
const releaseTime = 10 * time.Minute

// NewTurnStores opens so many.
func NewTurnStores(t testing.TB, n int) *TurnStores {
	t.Helper()
	all := &TurnStores{t: t}
	for i := range n {
		one := &TurnStore{Address: fmt.Sprintf("turnstore-%d", i)}
		v, err := turnstore.Open(turnstore.Config{Node: one.Address, Dir: "/data", FS: wal.NewMemory(), Dial: all.Dial, Log: Silent(),
			ReleaseTime: releaseTime})
		assert.NilError(t, err)
		one.TurnStore = v
		all.List = append(all.List, one)
		t.Cleanup(func() { v.Close() })
	}
	return all
}

// Dial gives the client of an address.
func (a *TurnStores) Dial(address string) tierv1.TurnStore {
	for _, v := range a.List {
		if v.Address == address {
			return v
		}
	}
	return nil
}

// Assign makes the next map and brings it to the turn stores that are not dark: a partition's primary and backup are those of
// its pair, the pairs in turn.
func (a *TurnStores) Assign(pairs ...[2]int) *tierv1.PartitionMap {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	m := &tierv1.PartitionMap{Version: a.version}
	for _, v := range a.List {
		m.StoreNodes = append(m.StoreNodes, &tierv1.StoreNode{Folder: v.Folder(), Node: v.Address, Address: v.Address})
	}
	for p := range partitions {
		pair := pairs[p%len(pairs)]
		m.Partitions = append(m.Partitions, &tierv1.Partition{Epoch: a.version, Primary: a.List[pair[0]].Folder(),
			Backups: []*tierv1.Copy{{Folder: a.List[pair[1]].Folder(), Synced: a.version == 1}}})
	}
	for _, v := range a.List {
		v.mu.Lock()
		dark := v.dark
		v.mu.Unlock()
		if !dark {
			v.Apply(m)
		}
	}
	return m
}
