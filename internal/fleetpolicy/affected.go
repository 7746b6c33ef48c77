package fleetpolicy

// Affected is what differs between two policies: the calls that a switch from the one to the other holds up.
type Affected struct {
	destinations map[uint32]struct{}
	tenants      map[string]struct{}
}

// AffectedBySwitch is what a switch between two policies touches.
func AffectedBySwitch(a, b *Policy) *Affected {
	t := &Affected{map[uint32]struct{}{}, map[string]struct{}{}}
	addDifferences(t.destinations, a.routes, b.routes)
	addDifferences(t.tenants, a.suspended, b.suspended)
	return t
}

func addDifferences[K, V comparable](into map[K]struct{}, a, b map[K]V) {
	for k, v := range a {
		if w, ok := b[k]; !ok || v != w {
			into[k] = struct{}{}
		}
	}
	for k := range b {
		if _, ok := a[k]; !ok {
			into[k] = struct{}{}
		}
	}
}

// HasCall reports whether a call is touched.
func (t *Affected) HasCall(c Call) bool {
	if t == nil {
		return false
	}
	_, dest := t.destinations[c.Destination]
	_, tenant := t.tenants[c.Tenant]
	return dest || tenant
}

// HasDestination reports whether all calls for a destination are touched.
func (t *Affected) HasDestination(d uint32) bool {
	if t == nil {
		return false
	}
	_, is := t.destinations[d]
	return is
}
