package main

import (
	"context"
	"net/http"
	"sync"

	"dockshift.example/dockshift/internal/tier/clearing"
	"dockshift.example/dockshift/internal/tier/control"
	"dockshift.example/dockshift/internal/tier/counter"
	"dockshift.example/dockshift/internal/tier/ledger"
	"dockshift.example/dockshift/internal/tier/link"
	"dockshift.example/dockshift/internal/tier/session"
	"dockshift.example/dockshift/internal/tier/vault"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// Ports of the roles, from the first of internal_port_range.
const (
	clearingPort = 0
	vaultPort    = 1
)

// dialer keeps a client for each address.
func dialer[T any](make func(url string, c *http.Client) T) func(address string) T {
	client := link.NewClient()
	var mu sync.Mutex
	known := map[string]T{}
	return func(address string) T {
		mu.Lock()
		defer mu.Unlock()
		c, ok := known[address]
		if !ok {
			c = make("http://"+address, client)
			known[address] = c
		}
		return c
	}
}

func dialClearing(url string, c *http.Client) tierv1.Clearing {
	return tierv1.NewClearingProtobufClient(url, c)
}
func dialRegister(url string, c *http.Client) tierv1.Register {
	return tierv1.NewRegisterProtobufClient(url, c)
}
func dialVault(url string, c *http.Client) tierv1.Vault {
	return tierv1.NewVaultProtobufClient(url, c)
}

type counterCmd struct{}

func (counterCmd) Run(c *cli) error {
	ctx, s, l, err := c.start()
	if err != nil {
		return err
	}
	return counter.New(counter.Config{Settings: s, Clearing: dialer(dialClearing), Vault: dialer(dialVault), Log: l}).Run(ctx)
}

type clearingCmd struct{}

func (clearingCmd) Run(c *cli) error {
	ctx, s, l, err := c.start()
	if err != nil {
		return err
	}
	node, err := control.Open(control.Config{Self: &tierv1.Member{Node: s.Node, Zone: s.Zone, Region: s.Region, Address: s.Internal(clearingPort)}, Seeds: s.SeedInternal(),
		Bootstrap: s.Bootstrap, Losses: s.Losses(), Dir: s.DataDir, FS: ledger.OS{}, ContactWindow: s.ContactWindow, Heartbeat: s.Heartbeat,
		SyncTime: s.SyncTime, Dial: dialer(dialRegister), Log: l})
	if err != nil {
		return err
	}
	role := clearing.New(clearing.Config{Settings: s, Store: node, Cloud: link.NewClient(), Log: l})
	mux := http.NewServeMux()
	mux.Handle(tierv1.RegisterPathPrefix, node.Handler())
	mux.Handle(tierv1.ClearingPathPrefix, tierv1.NewClearingServer(role.Sessions()))
	if _, err := link.Serve(ctx, s.Internal(clearingPort), mux); err != nil {
		return err
	}
	if _, err := link.Serve(ctx, s.Control, role.Operators()); err != nil {
		return err
	}
	l.Info().Str("event", "started").Str("role", "clearing").Str("node", s.Node).Msg("")
	go role.Run(ctx)
	return node.Run(ctx)
}

type vaultCmd struct{}

func (vaultCmd) Run(c *cli) error {
	ctx, s, l, err := c.start()
	if err != nil {
		return err
	}
	v, err := vault.Open(vault.Config{Node: s.Node, Dir: s.DataDir, FS: ledger.OS{}, Dial: dialer(dialVault),
		DiskBytes: int64(s.DiskMB) << 20, MemoryBytes: int64(s.MemoryMB) << 20 / 2, Log: l})
	if err != nil {
		return err
	}
	if _, err := link.Serve(context.WithoutCancel(ctx), s.Internal(vaultPort), tierv1.NewVaultServer(v)); err != nil {
		return err
	}
	held := session.New(session.Config{Settings: s, Role: "vault", Folder: v.Folder(), Address: s.Internal(vaultPort), Empty: v.WasEmpty(),
		Dial: dialer(dialClearing), Synced: v.Synced, Log: l, Vaults: v.Apply})
	l.Info().Str("event", "started").Str("role", "vault").Str("node", s.Node).Str("folder", v.Folder()).Msg("")
	// After SIGTERM it serves on until its partitions have other primaries, for half of the time it has.
	serving, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	context.AfterFunc(ctx, func() {
		l.Info().Str("event", "leaving").Str("node", s.Node).Msg("")
		held.Leave()
		last, cancel := context.WithTimeout(serving, s.Grace/2)
		defer cancel()
		v.Released(last)
		end()
	})
	go held.Run(serving)
	return v.Run(serving)
}
