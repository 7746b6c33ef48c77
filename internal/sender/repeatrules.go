package sender

import (
	"slices"

	"saffronyard.example/saffronyard/brain"
)

// The journal holds names of classes, and a process may start under other settings than the one before it: a class may be
// gone, or have another idempotency, another window for repeats, or another scope of it. What a message was accepted under was
// promised to its client, and what the settings say now holds at its destination: the stricter of both stands. So each message
// carries the rule that it was accepted by, and the module is given a class more for each that differs.

// setRepeatRule writes into a record what its class says of repeats as the message is accepted.
func (r *record) setRepeatRule(c brain.Class) {
	r.Effect = effectNames[c.Idempotency]
	if c.Idempotency == brain.IdempotentByKey {
		r.KeyWindow, r.KeyInZone = c.IdempotencyKeyTTL, c.IdempotencyKeyZonal
	}
}

var effectNames = [...]string{brain.Idempotent: "safe", brain.IdempotentByKey: "keyed", brain.NonIdempotent: "unsafe"}

// effectByName is the idempotency that a record names; false if it names none, as those of earlier versions do.
func effectByName(name string) (brain.Idempotency, bool) {
	i := slices.Index(effectNames[:], name)
	return brain.Idempotency(max(0, i)), i >= 0
}

// classOf is the class by which a message from the journal goes on: its own, or a stricter one that is added behind those of
// the settings. Of a message whose class is gone and whose record names no effect nothing is known: it is not repeated.
func (c *Config) classOf(m *storedMessage) int {
	var effective brain.Class
	index := indexOf(c.Classes, m.Class, -1)
	accepted, known := effectByName(m.Effect)
	if index >= 0 {
		effective = c.Settings.Classes[index]
	} else {
		effective = brain.Class{Idempotency: brain.Idempotent, Ordered: m.OrderKey != "", Value: c.minValue()}
		if !known {
			accepted, known = brain.NonIdempotent, true
		}
	}
	if known {
		if accepted == brain.IdempotentByKey { // a window, or a scope, that the settings have no longer may still be the one that holds
			if effective.Idempotency != brain.IdempotentByKey || m.KeyWindow < effective.IdempotencyKeyTTL {
				effective.IdempotencyKeyTTL = m.KeyWindow
			}
			effective.IdempotencyKeyZonal = effective.Idempotency == brain.IdempotentByKey && effective.IdempotencyKeyZonal || m.KeyInZone
		}
		effective.Idempotency = max(effective.Idempotency, accepted)
	}
	if effective.Idempotency == brain.IdempotentByKey && m.Key == "" { // accepted where it needed none: nobody drops its repeats
		effective.Idempotency = brain.NonIdempotent
	}
	if index >= 0 && effective == c.Settings.Classes[index] {
		return index
	}
	for i := len(c.Classes); i < len(c.Settings.Classes); i++ {
		if c.Settings.Classes[i] == effective {
			return i
		}
	}
	c.Settings.Classes = append(slices.Clip(c.Settings.Classes), effective)
	return len(c.Settings.Classes) - 1
}

// minValue is the lowest value of the classes of the settings.
func (c *Config) minValue() float64 {
	least := 1.0
	for i, is := range c.Settings.Classes[:min(len(c.Classes), len(c.Settings.Classes))] {
		if i == 0 || is.Value < least {
			least = is.Value
		}
	}
	return least
}

// zoneOf is the number of the zone in which an attempt may have run, -1 for one that is gone. The journal keeps it by name
// where it matters, as a number would be another zone's under other settings.
func (c *Config) zoneOf(t attemptRecord) int {
	if t.ZoneName == "" {
		return t.Zone
	}
	return indexOf(c.Zones, t.ZoneName, -1)
}
