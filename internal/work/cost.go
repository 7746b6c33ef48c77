package work

import (
	"fmt"
)

// Currency is a resource that slices use and that is budgeted.
type Currency int

// Currencies and their units.
const (
	Loop      Currency = iota // nanoseconds of the event loop that owns the messages
	CPU                       // nanoseconds
	DiskRead                  // bytes
	DiskWrite                 // bytes
	Syncs                     // calls of fsync
	Net                       // bytes
	Calls                     // to receivers
	Currencies
)

// CurrencyNames returns the names of the currencies, as settings and reports spell them.
func CurrencyNames() []string {
	return []string{"loop", "cpu", "disk_read", "disk_write", "syncs", "net", "calls"}
}

// String returns the currency's name.
func (c Currency) String() string {
	if c < 0 || c >= Currencies {
		return fmt.Sprintf("currency %d", int(c))
	}
	return CurrencyNames()[c]
}

// Cost is an amount of each currency, in its unit.
type Cost [Currencies]int64

// Add adds a cost; negative amounts count as 0.
func (c *Cost) Add(o Cost) {
	for i := range c {
		c[i] += max(0, o[i])
	}
}
