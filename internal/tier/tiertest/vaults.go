package tiertest

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"dockshift.example/dockshift/internal/tier/ledger"
	"dockshift.example/dockshift/internal/tier/vault"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// ErrNet is what a caller hears of a message that was lost.
var ErrNet = errors.New("no answer")

// Message is a call on its way to a vault.
type Message struct {
	Ctx     context.Context
	Method  string
	Request proto.Message
	Serve   func() error // has the vault answer it; may be called several times
}

// Vault is a vault with a network before it.
type Vault struct {
	*vault.Vault
	Address string

	mu   sync.Mutex
	via  func(Message) error
	dark bool
}

var _ tierv1.Vault = (*Vault)(nil)

// SetVia sets what stands before it; nil: nothing.
func (v *Vault) SetVia(f func(Message) error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.via = f
}

// SetDark has it say nothing, like a machine without power.
func (v *Vault) SetDark(dark bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dark = dark
}

func carry[Q, P proto.Message](v *Vault, ctx context.Context, method string, q Q, serve func(context.Context, Q) (P, error)) (reply P, err error) {
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
func (v *Vault) Begin(ctx context.Context, r *tierv1.BeginRequest) (*tierv1.BeginReply, error) {
	return carry(v, ctx, "Begin", r, v.Vault.Begin)
}

// Settle carries the call.
func (v *Vault) Settle(ctx context.Context, r *tierv1.SettleRequest) (*tierv1.SettleReply, error) {
	return carry(v, ctx, "Settle", r, v.Vault.Settle)
}

// Find carries the call.
func (v *Vault) Find(ctx context.Context, r *tierv1.FindRequest) (*tierv1.FindReply, error) {
	return carry(v, ctx, "Find", r, v.Vault.Find)
}

// Replicate carries the call.
func (v *Vault) Replicate(ctx context.Context, r *tierv1.ReplicateRequest) (*tierv1.ReplicateReply, error) {
	return carry(v, ctx, "Replicate", r, v.Vault.Replicate)
}

// Held carries the call.
func (v *Vault) Held(ctx context.Context, r *tierv1.HeldRequest) (*tierv1.HeldReply, error) {
	return carry(v, ctx, "Held", r, v.Vault.Held)
}

// Fetch carries the call.
func (v *Vault) Fetch(ctx context.Context, r *tierv1.FetchRequest) (*tierv1.FetchReply, error) {
	return carry(v, ctx, "Fetch", r, v.Vault.Fetch)
}

// Vaults are vaults with disks in memory.
type Vaults struct {
	t    testing.TB
	List []*Vault

	mu      sync.Mutex
	version uint64
}

const partitions = 6

// NewVaults opens so many.
func NewVaults(t testing.TB, n int) *Vaults {
	t.Helper()
	all := &Vaults{t: t}
	for i := range n {
		one := &Vault{Address: fmt.Sprintf("vault-%d", i)}
		v, err := vault.Open(vault.Config{Node: one.Address, Dir: "/data", FS: ledger.NewMemory(), Dial: all.Dial, Log: Silent()})
		assert.NilError(t, err)
		one.Vault = v
		all.List = append(all.List, one)
		t.Cleanup(func() { v.Close() })
	}
	return all
}

// Dial gives the client of an address.
func (a *Vaults) Dial(address string) tierv1.Vault {
	for _, v := range a.List {
		if v.Address == address {
			return v
		}
	}
	return nil
}

// Assign makes the next map and brings it to the vaults that are not dark: a partition's primary and backup are those of
// its pair, the pairs in turn.
func (a *Vaults) Assign(pairs ...[2]int) *tierv1.Vaults {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	m := &tierv1.Vaults{Version: a.version}
	for _, v := range a.List {
		m.Keepers = append(m.Keepers, &tierv1.Keeper{Folder: v.Folder(), Node: v.Address, Address: v.Address})
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
