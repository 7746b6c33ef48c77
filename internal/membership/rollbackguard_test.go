package membership

import (
	"testing"
	"time"
)

// A machine of discovery that lags behind answers after one that does not: what was told to drain or go is not taken up
// again, until a version as new says so, or until the older one has said so for a minute.
func TestRollbackGuard_OlderVersions(t *testing.T) {
	line := func(id, state string) Target { return Target{ID: id, Addr: id + ":1", State: state} }
	full := func(version int64, lines ...Target) Update {
		return Update{Version: version, Full: true, Servers: lines}
	}
	type step struct {
		after time.Duration
		tell  Update
		want  map[string]string // states of the lines that count
		older int
	}
	first := step{0, full(5, line("a", Serving), line("b", Serving)), map[string]string{"a": Serving, "b": Serving}, 0}
	drained := step{0, Update{Version: 7, Servers: []Target{line("a", Draining)}}, map[string]string{"a": Draining}, 0}
	stale := step{time.Second, full(6, line("a", Serving), line("b", Serving)), map[string]string{"a": Draining, "b": Serving}, 1}
	for name, steps := range map[string][]step{
		"a drain":                       {first, drained, stale, stale},
		"a newer version takes it back": {first, drained, {0, full(8, line("a", Serving)), map[string]string{"a": Serving}, 0}},
		"the same version does":         {first, drained, {0, full(7, line("a", Serving)), map[string]string{"a": Serving}, 0}},
		"a minute later it is believed": {first, drained, stale, {time.Minute, stale.tell, map[string]string{"a": Serving, "b": Serving}, 0}},
		"what was deleted":              {first, {0, Update{Version: 7, Servers: []Target{line("a", Deleted)}}, map[string]string{"a": Deleted}, 0}, stale},
		"what a whole list left out":    {first, {0, full(7, line("b", Serving)), map[string]string{"b": Serving}, 0}, stale},
		"an older whole list's gaps count, until a newer one": {first, {0, full(4, line("b", Serving)), map[string]string{"b": Serving}, 0},
			{0, full(5, line("a", Serving), line("b", Serving)), map[string]string{"a": Serving, "b": Serving}, 0}},
		"an older drain counts": {first, {0, full(3, line("a", Draining), line("b", Serving)), map[string]string{"a": Draining, "b": Serving}, 0},
			{0, full(5, line("a", Serving), line("b", Serving)), map[string]string{"a": Serving, "b": Serving}, 0}},
		"and does not make a newer one younger": {first, drained, {0, full(3, line("a", Draining), line("b", Serving)), map[string]string{"a": Draining, "b": Serving}, 0}, stale},
		"versions of another machine":           {first, drained, {0, Update{Version: 1, Full: true, VersionsReset: true, Servers: []Target{line("a", Serving)}}, map[string]string{"a": Serving}, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			told, now := NewRollbackGuard(), time.Hour
			for i, s := range steps {
				now += s.after
				given := append([]Target(nil), s.tell.Servers...)
				got, older := told.Apply(now, s.tell)
				if len(got.Servers) != len(s.want) || older != s.older || got.Full != s.tell.Full {
					t.Fatalf("step %d: %+v, %d older", i, got, older)
				}
				for j, l := range got.Servers {
					if l.State != s.want[l.ID] {
						t.Errorf("step %d: %s is %s, want %s", i, l.ID, l.State, s.want[l.ID])
					}
					if s.tell.Servers[j] != given[j] {
						t.Errorf("step %d: the caller's line %+v was changed", i, given[j])
					}
				}
			}
		})
	}
}
