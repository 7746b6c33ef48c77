package membership

import (
	"testing"
	"time"
)

// A lagging machine of discovery sends an older version after a newer one: drained or removed endpoints must not serve again until a version
// that is at least as new lists them, or a minute has passed.
func TestRollbackGuard_OlderVersions(t *testing.T) {
	target := func(id, state string) Target { return Target{ID: id, Addr: id + ":1", State: state} }
	full := func(version int64, targets ...Target) Update {
		return Update{Version: version, Full: true, Servers: targets}
	}
	type step struct {
		after  time.Duration
		update Update
		want   map[string]string // states that take effect, by id
		older  int
	}
	first := step{0, full(5, target("a", Serving), target("b", Serving)), map[string]string{"a": Serving, "b": Serving}, 0}
	drained := step{0, Update{Version: 7, Servers: []Target{target("a", Draining)}}, map[string]string{"a": Draining}, 0}
	stale := step{time.Second, full(6, target("a", Serving), target("b", Serving)), map[string]string{"a": Draining, "b": Serving}, 1}
	for name, steps := range map[string][]step{
		"a drain":                                      {first, drained, stale, stale},
		"a newer version ends a drain":                 {first, drained, {0, full(8, target("a", Serving)), map[string]string{"a": Serving}, 0}},
		"the same version ends a drain":                {first, drained, {0, full(7, target("a", Serving)), map[string]string{"a": Serving}, 0}},
		"an older version takes effect after a minute": {first, drained, stale, {time.Minute, stale.update, map[string]string{"a": Serving, "b": Serving}, 0}},
		"a deletion":                                   {first, {0, Update{Version: 7, Servers: []Target{target("a", Deleted)}}, map[string]string{"a": Deleted}, 0}, stale},
		"an omission from a full list":                 {first, {0, full(7, target("b", Serving)), map[string]string{"b": Serving}, 0}, stale},
		"an omission from an older full list takes effect until a newer version": {first, {0, full(4, target("b", Serving)), map[string]string{"b": Serving}, 0},
			{0, full(5, target("a", Serving), target("b", Serving)), map[string]string{"a": Serving, "b": Serving}, 0}},
		"a drain by an older version takes effect until a newer version": {first, {0, full(3, target("a", Draining), target("b", Serving)), map[string]string{"a": Draining, "b": Serving}, 0},
			{0, full(5, target("a", Serving), target("b", Serving)), map[string]string{"a": Serving, "b": Serving}, 0}},
		"a drain by an older version does not replace a newer version's": {first, drained, {0, full(3, target("a", Draining), target("b", Serving)), map[string]string{"a": Draining, "b": Serving}, 0}, stale},
		"reset versions": {first, drained, {0, Update{Version: 1, Full: true, VersionsReset: true, Servers: []Target{target("a", Serving)}}, map[string]string{"a": Serving}, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			guard, now := NewRollbackGuard(), time.Hour
			for i, s := range steps {
				now += s.after
				given := append([]Target(nil), s.update.Servers...)
				got, older := guard.Apply(now, s.update)
				if len(got.Servers) != len(s.want) || older != s.older || got.Full != s.update.Full {
					t.Fatalf("step %d: %+v, %d older", i, got, older)
				}
				for j, l := range got.Servers {
					if l.State != s.want[l.ID] {
						t.Errorf("step %d: %s is %s, want %s", i, l.ID, l.State, s.want[l.ID])
					}
					if s.update.Servers[j] != given[j] {
						t.Errorf("step %d: the caller's target %+v was changed", i, given[j])
					}
				}
			}
		})
	}
}
