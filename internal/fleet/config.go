package fleet

import (
	"fmt"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
	"saffronyard.example/saffronyard/internal/peers"
)

// Bounds of the terms.
const (
	DefaultLeaseDuration = 3 * time.Second
	MinLeaseDuration     = 500 * time.Millisecond
	MaxLeaseDuration     = time.Minute
	maxVoters            = 9 // each commit waits for more than half of them
	maxNameBytes         = 128
)

// Check says what is wrong with a configuration.
func (c *Config) Check() error {
	if c.Name == "" || len(c.Name) > maxNameBytes {
		return fmt.Errorf("fleet: name %q is empty or over %d bytes", c.Name, maxNameBytes)
	}
	if c.Cluster == "" || len(c.Cluster) > maxNameBytes {
		return fmt.Errorf("fleet: cluster %q is empty or over %d bytes", c.Cluster, maxNameBytes)
	}
	if err := loopback(c.Listen); err != nil {
		return fmt.Errorf("fleet: listen = %q: %w", c.Listen, err)
	}
	if c.LeaseTerms.Duration < MinLeaseDuration || c.LeaseTerms.Duration > MaxLeaseDuration {
		return fmt.Errorf("fleet: lease = %v is not from %v to %v", c.LeaseTerms.Duration, MinLeaseDuration, MaxLeaseDuration)
	}
	if c.LeaseTerms.MaxDrift < 0 || c.LeaseTerms.MaxDrift > 0.2 {
		return fmt.Errorf("fleet: drift %v is not from 0 to 0.2", c.LeaseTerms.MaxDrift)
	}
	if len(c.Voters) == 0 || len(c.Voters) > maxVoters {
		return fmt.Errorf("fleet: %d voters; from 1 to %d are possible", len(c.Voters), maxVoters)
	}
	if least := c.minQuotaDuration(); c.QuotaDuration != 0 && (c.QuotaDuration < least || c.QuotaDuration > MaxQuotaDuration) {
		return fmt.Errorf("fleet: lend = %v is not from %v, which a lease that lapses and a roster take, to %v", c.QuotaDuration, least, MaxQuotaDuration)
	}
	if _, err := peers.NewRouteTable(c.Reach); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	seen := map[string]bool{}
	for i, v := range c.Voters {
		if v.Name == "" || len(v.Name) > maxNameBytes || seen[v.Name] {
			return fmt.Errorf("fleet: voter %d: name %q is empty, too long or there twice", i+1, v.Name)
		}
		seen[v.Name] = true
		if err := loopback(v.Address); err != nil {
			return fmt.Errorf("fleet: voter %s: address = %q: %w", v.Name, v.Address, err)
		}
	}
	return nil
}

// MaxQuotaDuration is how long units of a limit are lent for at the most.
const MaxQuotaDuration = 10 * time.Minute

// minQuotaDuration is how long the death of an authority lasts: its lease lapses, and a roster without it begins. Holders would be without
// units meanwhile.
func (c *Config) minQuotaDuration() time.Duration {
	return c.LeaseTerms.GranterDuration() + 300*time.Millisecond
}

// quotaDrift is the drift that limits allow: it costs them twice as much of each span. The fleet is tested at it; where clocks are
// known to be worse, the lease's holds.
func (c *Config) quotaDrift() float64 {
	if c.LeaseTerms.MaxDrift > lease.DefaultDrift {
		return c.LeaseTerms.MaxDrift
	}
	return min(c.LeaseTerms.MaxDrift, lease.DefaultDrift/2)
}

// quotaDuration is how long units are lent for: half as long again as a lease, and some questions.
func (c *Config) quotaDuration() time.Duration {
	if c.QuotaDuration > 0 {
		return c.QuotaDuration
	}
	return c.LeaseTerms.Duration*3/2 + 500*time.Millisecond
}

func loopback(addr string) error { return peers.CheckLoopback(addr) }

// ApplyDefaults fills in what is not stated.
func (c *Config) ApplyDefaults() {
	if c.LeaseTerms.Duration == 0 {
		c.LeaseTerms.Duration = DefaultLeaseDuration
	}
	if c.LeaseTerms.MaxDrift == 0 {
		c.LeaseTerms.MaxDrift = lease.DefaultDrift
	}
}
