package process

import (
	"context"
	"net/http"

	"saffronyard.example/saffronyard/internal/tier/consensus"
	"saffronyard.example/saffronyard/internal/tier/controlplane"
	"saffronyard.example/saffronyard/internal/tier/metrics"
	"saffronyard.example/saffronyard/internal/tier/rpc"
	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// startControlPlane starts the control-plane role: consensus, the service for other processes, and the service for operators.
func (process *Process) startControlPlane(ctx context.Context, config Config) error {
	settings := config.Settings
	address := settings.Internal(ControlPlanePort)
	node, err := consensus.Open(consensus.Config{
		Self:  &tierv1.Member{Node: settings.Node, Zone: settings.Zone, Region: settings.Region, Address: address},
		Seeds: settings.SeedInternal(), Bootstrap: settings.Bootstrap, Losses: settings.Losses(), Dir: settings.DataDir, FS: wal.OS{},
		ContactWindow: settings.ContactWindow, Heartbeat: settings.Heartbeat,
		Dial: dialer(process.client, dialElection), Log: config.Log})
	if err != nil {
		return err
	}
	process.runComponent(ctx, node.Run) // node.Run closes the data directory
	role := controlplane.New(controlplane.Config{Settings: settings, Store: node, Cloud: process.client, Dial: dialer(process.client, dialControlPlane), Log: config.Log})
	mux := http.NewServeMux()
	mux.Handle(tierv1.ElectionPathPrefix, node.Handler())
	mux.Handle(tierv1.ControlPlanePathPrefix, tierv1.NewControlPlaneServer(role.Sessions()))
	mux.Handle(metricsPattern, metrics.Handler(func() metrics.Figures { return role.Metrics() }))
	if _, err := rpc.Serve(ctx, address, mux); err != nil {
		return err
	}
	if _, err := rpc.Serve(ctx, settings.Control, role.Operators()); err != nil {
		return err
	}
	config.Log.Info().Str("event", "started").Str("role", RoleControlPlane).Str("node", settings.Node).Msg("control plane started")
	process.runComponent(ctx, func(ctx context.Context) error {
		role.Run(ctx)
		return nil
	})
	return nil
}
