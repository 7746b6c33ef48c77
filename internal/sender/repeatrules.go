package sender

import (
	"slices"

	"saffronyard.example/saffronyard/brain"
)

// The journal stores classes by name, and a process may start with other settings than the one before it: a class may have been
// removed, or may have another idempotency, another key window, or another scope of the key. The rule at acceptance was promised to
// the client, and the current settings describe the destination, so the stricter of both applies. Therefore each message's record
// contains the rule under which the message was accepted, and the module gets an additional class for each rule that differs.

// setRepeatRule stores the class's rule on repeats in the record of a message that is being accepted.
func (r *record) setRepeatRule(c brain.Class) {
	r.Effect = effectNames[c.Idempotency]
	if c.Idempotency == brain.IdempotentByKey {
		r.KeyWindow, r.KeyInZone = c.IdempotencyKeyTTL, c.IdempotencyKeyZonal
	}
}

var effectNames = [...]string{brain.Idempotent: "safe", brain.IdempotentByKey: "keyed", brain.NonIdempotent: "unsafe"}

// effectByName returns the idempotency that a record names; false if it names none, as in records of earlier versions.
func effectByName(name string) (brain.Idempotency, bool) {
	i := slices.Index(effectNames[:], name)
	return brain.Idempotency(max(0, i)), i >= 0
}

// classOf returns the index of the class that applies to a message from the journal: its own, or a stricter one that is appended to
// those of the settings. A message whose class has been removed and whose record names no effect is not repeated, as nothing is
// known about its idempotency.
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
		if accepted == brain.IdempotentByKey { // the window and the scope at acceptance may be the stricter ones
			if effective.Idempotency != brain.IdempotentByKey || m.KeyWindow < effective.IdempotencyKeyTTL {
				effective.IdempotencyKeyTTL = m.KeyWindow
			}
			effective.IdempotencyKeyZonal = effective.Idempotency == brain.IdempotentByKey && effective.IdempotencyKeyZonal || m.KeyInZone
		}
		effective.Idempotency = max(effective.Idempotency, accepted)
	}
	if effective.Idempotency == brain.IdempotentByKey && m.Key == "" { // accepted without a key: the receiver can't detect repeats
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

// minValue returns the lowest value of the classes of the settings.
func (c *Config) minValue() float64 {
	lowest := 1.0
	for i, class := range c.Settings.Classes[:min(len(c.Classes), len(c.Settings.Classes))] {
		if i == 0 || class.Value < lowest {
			lowest = class.Value
		}
	}
	return lowest
}

// zoneOf returns the number of the zone in which an attempt may have run, -1 if that zone no longer exists. The journal stores the
// zone by name where it matters, as the same number may mean another zone under other settings.
func (c *Config) zoneOf(t attemptRecord) int {
	if t.ZoneName == "" {
		return t.Zone
	}
	return indexOf(c.Zones, t.ZoneName, -1)
}
