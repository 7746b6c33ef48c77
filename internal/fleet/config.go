package fleet

import (
	"fmt"
	"time"

	"dockshift.example/dockshift/internal/agreed/lease"
	"dockshift.example/dockshift/internal/peers"
)

// Bounds of the terms.
const (
	LengthDefault = 3 * time.Second
	LengthLeast   = 500 * time.Millisecond
	LengthMost    = time.Minute
	votersMost    = 9 // each commit waits for more than half of them
	nameMost      = 128
)

// Check says what is wrong with a configuration.
func (c *Config) Check() error {
	if c.Name == "" || len(c.Name) > nameMost {
		return fmt.Errorf("fleet: name %q is empty or over %d bytes", c.Name, nameMost)
	}
	if c.Cluster == "" || len(c.Cluster) > nameMost {
		return fmt.Errorf("fleet: cluster %q is empty or over %d bytes", c.Cluster, nameMost)
	}
	if err := loopback(c.Listen); err != nil {
		return fmt.Errorf("fleet: listen = %q: %w", c.Listen, err)
	}
	if c.Terms.Length < LengthLeast || c.Terms.Length > LengthMost {
		return fmt.Errorf("fleet: lease = %v is not from %v to %v", c.Terms.Length, LengthLeast, LengthMost)
	}
	if c.Terms.Drift < 0 || c.Terms.Drift > 0.2 {
		return fmt.Errorf("fleet: drift %v is not from 0 to 0.2", c.Terms.Drift)
	}
	if len(c.Voters) == 0 || len(c.Voters) > votersMost {
		return fmt.Errorf("fleet: %d voters; from 1 to %d are possible", len(c.Voters), votersMost)
	}
	seen := map[string]bool{}
	for i, v := range c.Voters {
		if v.Name == "" || len(v.Name) > nameMost || seen[v.Name] {
			return fmt.Errorf("fleet: voter %d: name %q is empty, too long or there twice", i+1, v.Name)
		}
		seen[v.Name] = true
		if err := loopback(v.Address); err != nil {
			return fmt.Errorf("fleet: voter %s: address = %q: %w", v.Name, v.Address, err)
		}
	}
	return nil
}

func loopback(addr string) error { return peers.Loopback(addr) }

// Defaults fills in what is not stated.
func (c *Config) Defaults() {
	if c.Terms.Length == 0 {
		c.Terms.Length = LengthDefault
	}
	if c.Terms.Drift == 0 {
		c.Terms.Drift = lease.DefaultDrift
	}
}
