package main

import (
	"context"

	"dockshift.example/dockshift/internal/tier/process"
)

type gatewayCmd struct{}

func (gatewayCmd) Run(c *cli) error { return c.run(process.RoleGateway) }

type controlPlaneCmd struct{}

func (controlPlaneCmd) Run(c *cli) error { return c.run(process.RoleControlPlane) }

type turnStoreCmd struct{}

func (turnStoreCmd) Run(c *cli) error { return c.run(process.RoleTurnStore) }

// run is the life of a process of the tier: it leaves in order on SIGTERM.
func (c *cli) run(role string) error {
	terminated, s, l, err := c.start()
	if err != nil {
		return err
	}
	p, err := process.Start(context.Background(), role, process.Config{Settings: s, Log: l})
	if err != nil {
		return err
	}
	context.AfterFunc(terminated, p.Leave)
	return p.Wait()
}
