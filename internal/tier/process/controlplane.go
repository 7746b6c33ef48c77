package process

import (
	"context"
	"net/http"

	"dockshift.example/dockshift/internal/tier/consensus"
	"dockshift.example/dockshift/internal/tier/controlplane"
	"dockshift.example/dockshift/internal/tier/metrics"
	"dockshift.example/dockshift/internal/tier/rpcserver"
	"dockshift.example/dockshift/internal/tier/wal"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

func (p *Process) startControlPlane(ctx context.Context, config Config) error {
	s := config.Settings
	address := s.Internal(ControlPlanePort)
	node, err := consensus.Open(consensus.Config{
		Self:  &tierv1.Member{Node: s.Node, Zone: s.Zone, Region: s.Region, Address: address},
		Seeds: s.SeedInternal(), Bootstrap: s.Bootstrap, Losses: s.Losses(), Dir: s.DataDir, FS: wal.OS{},
		ContactWindow: s.ContactWindow, Heartbeat: s.Heartbeat, SyncTime: s.SyncTime,
		Dial: dialer(p.client, dialElection), Log: config.Log})
	if err != nil {
		return err
	}
	p.run(ctx, node.Run) // it closes the data directory
	role := controlplane.New(controlplane.Config{Settings: s, Store: node, Cloud: p.client, Dial: dialer(p.client, dialControlPlane), Log: config.Log})
	mux := http.NewServeMux()
	mux.Handle(tierv1.ElectionPathPrefix, node.Handler())
	mux.Handle(tierv1.ControlPlanePathPrefix, tierv1.NewControlPlaneServer(role.Sessions()))
	mux.Handle(metricsPattern, metrics.Handler(func() metrics.Figures { return role.Metrics() }))
	if _, err := rpcserver.Serve(ctx, address, mux); err != nil {
		return err
	}
	if _, err := rpcserver.Serve(ctx, s.Control, role.Operators()); err != nil {
		return err
	}
	config.Log.Info().Str("event", "started").Str("role", RoleControlPlane).Str("node", s.Node).Msg("")
	p.run(ctx, func(ctx context.Context) error {
		role.Run(ctx)
		return nil
	})
	return nil
}
