package cli

import (
	"context"

	"saffronyard.example/saffronyard/internal/tier/process"
)

// gatewayCmd runs the gateway role.
type gatewayCmd struct{}

// Run implements the command.
func (gatewayCmd) Run(flags *commandLine) error { return flags.run(process.RoleGateway) }

// controlPlaneCmd runs the control-plane role.
type controlPlaneCmd struct{}

// Run implements the command.
func (controlPlaneCmd) Run(flags *commandLine) error { return flags.run(process.RoleControlPlane) }

// turnStoreCmd runs the turn-store role.
type turnStoreCmd struct{}

// Run implements the command.
func (turnStoreCmd) Run(flags *commandLine) error { return flags.run(process.RoleTurnStore) }

// run runs a process of the tier until it ends. The process shuts down gracefully on SIGTERM or SIGINT.
func (flags *commandLine) run(role string) error {
	terminated, loaded, logger, err := flags.start()
	if err != nil {
		return err
	}
	started, err := process.Start(context.Background(), role, process.Config{Settings: loaded, Log: logger})
	if err != nil {
		return err
	}
	context.AfterFunc(terminated, started.Shutdown)
	return started.Wait()
}
