package brain

import (
	"math"
	"sort"
	"time"
)

const (
	// tenantRateWindow is the time over which the rate of a tenant is measured.
	tenantRateWindow = 3 * time.Second
	// usualTenantRateWindows is the number of such windows over which its usual rate is measured.
	usualTenantRateWindows = 10
	// tenantBurstFactor is the factor by which the rate of a tenant may exceed its share.
	tenantBurstFactor = 1.5
)

// tenant has the rates at which a tenant submits messages, in messages a second: over tenantRateWindow, and
// over usualTenantRateWindows such windows.
type tenant struct{ recentRate, usualRate float64 }

// decayTenantRates updates the rates of all tenants to the current time.
func (b *Brain) decayTenantRates() {
	b.tenantShareValid = false
	dt := (b.now - b.tenantRatesAt).Seconds()
	b.tenantRatesAt = b.now
	for i := range b.tenants {
		b.tenants[i].recentRate *= math.Exp(-dt / tenantRateWindow.Seconds())
		b.tenants[i].usualRate *= math.Exp(-dt / (usualTenantRateWindows * tenantRateWindow.Seconds()))
	}
}

// tenantWeight returns the value of a tenant's messages as a fraction: 1 within its share; beyond it, the
// mean over the messages within and beyond the share. This sender's part of a share is estimated from the
// messages that tenants usually send it.
func (b *Brain) tenantWeight(tenant int) float64 {
	if tenant < 0 || tenant >= len(b.tenants) || b.settings.Senders == 0 {
		return 1
	}
	if !b.tenantShareValid {
		parts := make([]float64, 0, len(b.tenants))
		for j, t := range b.tenants {
			parts = append(parts, t.usualRate/max(b.settings.Tenants[j].Allowance, 1e-9))
		}
		sort.Float64s(parts) // the median, so that a tenant that surges does not raise its own share
		median := parts[len(parts)/2]
		b.tenantShare, b.tenantShareValid = min(1, max(1/float64(b.settings.Senders), median)), true
	}
	allowance := tenantBurstFactor * b.tenantShare * b.settings.Tenants[tenant].Allowance
	overShare := b.tenants[tenant].recentRate / max(allowance, 1e-9)
	if overShare <= 1 {
		return 1
	}
	return (1 + (overShare-1)*b.settings.OverShareValue) / overShare
}
