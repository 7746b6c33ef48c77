package main

import (
	"context"
	"net/http"
	"sync"

	"dockshift.example/dockshift/internal/tier/consensus"
	"dockshift.example/dockshift/internal/tier/controlplane"
	"dockshift.example/dockshift/internal/tier/gateway"
	"dockshift.example/dockshift/internal/tier/rpcserver"
	"dockshift.example/dockshift/internal/tier/session"
	"dockshift.example/dockshift/internal/tier/turnstore"
	"dockshift.example/dockshift/internal/tier/wal"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// Ports of the roles, from the first of internal_port_range.
const (
	controlPlanePort = 0
	turnStorePort    = 1
)

// dialer keeps a client for each address.
func dialer[T any](make func(url string, c *http.Client) T) func(address string) T {
	client := rpcserver.NewClient()
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

func dialControlPlane(url string, c *http.Client) tierv1.ControlPlane {
	return tierv1.NewControlPlaneProtobufClient(url, c)
}
func dialRegister(url string, c *http.Client) tierv1.Election {
	return tierv1.NewElectionProtobufClient(url, c)
}
func dialTurnStore(url string, c *http.Client) tierv1.TurnStore {
	return tierv1.NewTurnStoreProtobufClient(url, c)
}

type gatewayCmd struct{}

func (gatewayCmd) Run(c *cli) error {
	ctx, s, l, err := c.start()
	if err != nil {
		return err
	}
	return gateway.New(gateway.Config{Settings: s, ControlPlane: dialer(dialControlPlane), TurnStore: dialer(dialTurnStore), Log: l}).Run(ctx)
}

type controlPlaneCmd struct{}

func (controlPlaneCmd) Run(c *cli) error {
	ctx, s, l, err := c.start()
	if err != nil {
		return err
	}
	node, err := consensus.Open(consensus.Config{Self: &tierv1.Member{Node: s.Node, Zone: s.Zone, Region: s.Region, Address: s.Internal(controlPlanePort)}, Seeds: s.SeedInternal(),
		Bootstrap: s.Bootstrap, Losses: s.Losses(), Dir: s.DataDir, FS: wal.OS{}, ContactWindow: s.ContactWindow, Heartbeat: s.Heartbeat,
		SyncTime: s.SyncTime, Dial: dialer(dialRegister), Log: l})
	if err != nil {
		return err
	}
	role := controlplane.New(controlplane.Config{Settings: s, Store: node, Cloud: rpcserver.NewClient(), Log: l})
	mux := http.NewServeMux()
	mux.Handle(tierv1.ElectionPathPrefix, node.Handler())
	mux.Handle(tierv1.ControlPlanePathPrefix, tierv1.NewControlPlaneServer(role.Sessions()))
	if _, err := rpcserver.Serve(ctx, s.Internal(controlPlanePort), mux); err != nil {
		return err
	}
	if _, err := rpcserver.Serve(ctx, s.Control, role.Operators()); err != nil {
		return err
	}
	l.Info().Str("event", "started").Str("role", "controlplane").Str("node", s.Node).Msg("")
	go role.Run(ctx)
	return node.Run(ctx)
}

type turnStoreCmd struct{}

func (turnStoreCmd) Run(c *cli) error {
	ctx, s, l, err := c.start()
	if err != nil {
		return err
	}
	v, err := turnstore.Open(turnstore.Config{Node: s.Node, Dir: s.DataDir, FS: wal.OS{}, Dial: dialer(dialTurnStore),
		DiskBytes: int64(s.DiskMB) << 20, MemoryBytes: int64(s.MemoryMB) << 20 / 2, Log: l})
	if err != nil {
		return err
	}
	if _, err := rpcserver.Serve(context.WithoutCancel(ctx), s.Internal(turnStorePort), tierv1.NewTurnStoreServer(v)); err != nil {
		return err
	}
	held := session.New(session.Config{Settings: s, Role: "turnstore", Folder: v.Folder(), Address: s.Internal(turnStorePort), Empty: v.WasEmpty(),
		Dial: dialer(dialControlPlane), Synced: v.Synced, Log: l, PartitionMap: v.Apply})
	l.Info().Str("event", "started").Str("role", "turnstore").Str("node", s.Node).Str("folder", v.Folder()).Msg("")
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
