package fleet

import (
	"time"

	"saffronyard.example/saffronyard/internal/lease"
	"saffronyard.example/saffronyard/internal/peers"
)

// Bounds of a configuration.
const (
	DefaultLeaseDuration = 3 * time.Second
	MinLeaseDuration     = 500 * time.Millisecond
	MaxLeaseDuration     = time.Minute
	maxVoters            = 9 // each commit waits for more than half of them
	maxNameBytes         = 128
)

// Check checks a configuration after ApplyDefaults. The error is a *ConfigError.
func (c *Config) Check() error {
	if c.Name == "" || len(c.Name) > maxNameBytes {
		return invalidConfig("name %q is empty or over %d bytes", c.Name, maxNameBytes)
	}
	if c.Cluster == "" || len(c.Cluster) > maxNameBytes {
		return invalidConfig("cluster %q is empty or over %d bytes", c.Cluster, maxNameBytes)
	}
	if err := loopback(c.Listen); err != nil {
		return invalidConfigBy(err, "listen = %q", c.Listen)
	}
	if c.LeaseTerms.Duration < MinLeaseDuration || c.LeaseTerms.Duration > MaxLeaseDuration {
		return invalidConfig("lease = %v is not from %v to %v", c.LeaseTerms.Duration, MinLeaseDuration, MaxLeaseDuration)
	}
	if c.LeaseTerms.MaxDrift < 0 || c.LeaseTerms.MaxDrift > 0.2 {
		return invalidConfig("drift %v is not from 0 to 0.2", c.LeaseTerms.MaxDrift)
	}
	if len(c.Voters) == 0 || len(c.Voters) > maxVoters {
		return invalidConfig("%d voters; from 1 to %d are possible", len(c.Voters), maxVoters)
	}
	if least := c.minQuotaDuration(); c.QuotaDuration != 0 && (c.QuotaDuration < least || c.QuotaDuration > MaxQuotaDuration) {
		return invalidConfig("lend = %v is not from %v (the time until a failed owner is replaced) to %v", c.QuotaDuration, least, MaxQuotaDuration)
	}
	if _, err := peers.NewRouteTable(c.Reach); err != nil {
		return &ConfigError{Problem: err.Error(), Err: err}
	}
	seen := map[string]bool{}
	for i, v := range c.Voters {
		if v.Name == "" || len(v.Name) > maxNameBytes || seen[v.Name] {
			return invalidConfig("voter %d: name %q is empty, too long or a duplicate", i+1, v.Name)
		}
		seen[v.Name] = true
		if err := loopback(v.Address); err != nil {
			return invalidConfigBy(err, "voter %s: address = %q", v.Name, v.Address)
		}
	}
	return nil
}

// MaxQuotaDuration bounds how long units of a limit are granted for.
const MaxQuotaDuration = 10 * time.Minute

// minQuotaDuration is how long a limit has no owner after its owner died: until the owner's lease has expired and a membership without it is
// active. With shorter grants, clients would be without units meanwhile.
func (c *Config) minQuotaDuration() time.Duration {
	return c.LeaseTerms.GranterDuration() + 300*time.Millisecond
}

// quotaDrift is the clock drift that limits allow for. It costs them twice that fraction of each span. The fleet is tested with this drift; if a
// drift above the default is configured for leases, it applies to limits as well.
func (c *Config) quotaDrift() float64 {
	if c.LeaseTerms.MaxDrift > lease.DefaultDrift {
		return c.LeaseTerms.MaxDrift
	}
	return min(c.LeaseTerms.MaxDrift, lease.DefaultDrift/2)
}

// quotaDuration is how long units are granted for; by default one and a half times a lease, and 500 ms for some requests.
func (c *Config) quotaDuration() time.Duration {
	if c.QuotaDuration > 0 {
		return c.QuotaDuration
	}
	return c.LeaseTerms.Duration*3/2 + 500*time.Millisecond
}

func loopback(addr string) error { return peers.CheckLoopback(addr) }

// ApplyDefaults sets what is not configured.
func (c *Config) ApplyDefaults() {
	if c.LeaseTerms.Duration == 0 {
		c.LeaseTerms.Duration = DefaultLeaseDuration
	}
	if c.LeaseTerms.MaxDrift == 0 {
		c.LeaseTerms.MaxDrift = lease.DefaultDrift
	}
}
