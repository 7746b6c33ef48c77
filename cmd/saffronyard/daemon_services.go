package main

import (
	"fmt"
	"net"
	"path/filepath"

	"saffronyard.example/saffronyard/internal/features"
	"saffronyard.example/saffronyard/internal/fleet"
	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/nameserver"
	"saffronyard.example/saffronyard/internal/peers"
	"saffronyard.example/saffronyard/internal/sender"
)

// overrideFleetConfig is set by tests to replace the machine's clock and disk; the program itself leaves it nil.
var overrideFleetConfig func(*fleet.Config)

// startFleet starts this sender's node in the fleet: its part in the replicated log, its leases and the fleet's policy.
func (d *daemon) startFleet(f *features.Fleet) error {
	fc, err := fleetConfig(f, d.config)
	if err != nil {
		return err
	}
	node, err := fleet.Start(fc, d.log)
	if err != nil {
		return err
	}
	d.closers = append(d.closers, func() {
		if err := node.Close(); err != nil {
			d.log.Error("closing the fleet node failed", "err", err)
		}
	})
	d.config.Fleet = node
	if f.KeysFile == "" {
		return nil
	}
	d.reloaders = append(d.reloaders, func(*sender.Sender) error {
		keys, err := f.Keys()
		if err != nil {
			return fmt.Errorf("fleet: keys not reloaded, the current keys stay in use: %w", err)
		}
		node.SetKeys(keys)
		return nil
	})
	return nil
}

func fleetConfig(f *features.Fleet, c *sender.Config) (fleet.Config, error) {
	host, _, err := net.SplitHostPort(c.Listen)
	if err != nil {
		return fleet.Config{}, fmt.Errorf("fleet: listen address: %w", err)
	}
	fc := f.Config(c.Name, host)
	if fc.Folder == "" {
		fc.Folder = filepath.Join(c.StateDir, "fleet")
	}
	if fc.Keys, err = f.Keys(); err != nil {
		return fleet.Config{}, err
	}
	fc.Settings = fleetpolicy.Settings{Classes: c.Classes, Tenants: c.Tenants, Kinds: c.Kinds}
	if err := fc.Check(); err != nil {
		return fleet.Config{}, err
	}
	if overrideFleetConfig != nil {
		overrideFleetConfig(&fc)
	}
	return fc, nil
}

// startNameServer starts the name server with its zones and has the sender resolve members' names through it.
func (d *daemon) startNameServer(f *features.DNS) error {
	nc, err := f.Config(filepath.Join(d.config.StateDir, "zones"))
	if err != nil {
		return err
	}
	if host, _, err := net.SplitHostPort(d.config.Listen); err == nil && nc.Listen != "" {
		nc.Listen = peers.WithHost(nc.Listen, host)
	}
	names, err := nameserver.Start(nc, d.log)
	if err != nil {
		return err
	}
	d.closers = append(d.closers, func() { names.Close() })
	precedence, fallback := f.Precedences()
	d.config.Names = &sender.NameSource{Source: names, Initial: names.Initial(), Destinations: names.Destinations(), Precedence: precedence, Fallback: fallback,
		Report: func() any { return names.Report() }}
	d.reloaders = append(d.reloaders, func(*sender.Sender) error {
		names.Rescan()
		keys, err := f.Keys()
		if err == nil {
			err = names.SetKeys(keys)
		}
		if err != nil {
			return fmt.Errorf("dns: zone keys not reloaded, the current keys stay in use: %w", err)
		}
		return nil
	})
	return nil
}
