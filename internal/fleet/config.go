package fleet

import (
	"fmt"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
	"saffronyard.example/saffronyard/internal/peers"
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
	if c.Terms.Duration < LengthLeast || c.Terms.Duration > LengthMost {
		return fmt.Errorf("fleet: lease = %v is not from %v to %v", c.Terms.Duration, LengthLeast, LengthMost)
	}
	if c.Terms.MaxDrift < 0 || c.Terms.MaxDrift > 0.2 {
		return fmt.Errorf("fleet: drift %v is not from 0 to 0.2", c.Terms.MaxDrift)
	}
	if len(c.Voters) == 0 || len(c.Voters) > votersMost {
		return fmt.Errorf("fleet: %d voters; from 1 to %d are possible", len(c.Voters), votersMost)
	}
	if least := c.lendLeast(); c.Lend != 0 && (c.Lend < least || c.Lend > LendMost) {
		return fmt.Errorf("fleet: lend = %v is not from %v, which a lease that lapses and a roster take, to %v", c.Lend, least, LendMost)
	}
	if _, err := peers.NewRouteTable(c.Reach); err != nil {
		return fmt.Errorf("fleet: %w", err)
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

// LendMost is how long units of a limit are lent for at the most.
const LendMost = 10 * time.Minute

// lendLeast is how long the death of an authority lasts: its lease lapses, and a roster without it begins. Holders would be without
// units meanwhile.
func (c *Config) lendLeast() time.Duration { return c.Terms.GranterDuration() + 300*time.Millisecond }

// limitsDrift is the drift that limits allow: it costs them twice as much of each span. The fleet is tested at it; where clocks are
// known to be worse, the lease's holds.
func (c *Config) limitsDrift() float64 {
	if c.Terms.MaxDrift > lease.DefaultDrift {
		return c.Terms.MaxDrift
	}
	return min(c.Terms.MaxDrift, lease.DefaultDrift/2)
}

// lend is how long units are lent for: half as long again as a lease, and some questions.
func (c *Config) lend() time.Duration {
	if c.Lend > 0 {
		return c.Lend
	}
	return c.Terms.Duration*3/2 + 500*time.Millisecond
}

func loopback(addr string) error { return peers.CheckLoopback(addr) }

// Defaults fills in what is not stated.
func (c *Config) Defaults() {
	if c.Terms.Duration == 0 {
		c.Terms.Duration = LengthDefault
	}
	if c.Terms.MaxDrift == 0 {
		c.Terms.MaxDrift = lease.DefaultDrift
	}
}
