package fleetpolicy

// Affected is the set of calls that two policies treat differently, which a switch between them suspends. A nil Affected is empty.
type Affected struct {
	destinations map[uint32]struct{}
	tenants      map[string]struct{}
}

// AffectedBySwitch returns the calls that a switch between two policies affects.
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

// HasCall reports whether a call is affected.
func (t *Affected) HasCall(c Call) bool {
	if t == nil {
		return false
	}
	_, dest := t.destinations[c.Destination]
	_, tenant := t.tenants[c.Tenant]
	return dest || tenant
}

// HasDestination reports whether all calls to a destination are affected.
func (t *Affected) HasDestination(d uint32) bool {
	if t == nil {
		return false
	}
	_, is := t.destinations[d]
	return is
}
