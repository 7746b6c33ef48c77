package controlplane

import (
	"context"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// tender is what the loop that tends the turn store map remembers within an epoch.
type tender struct {
	last  string // what the map was made from
	done  bool   // and nothing was to be changed
	wrote time.Time
	stall stallTracker
}

// tend brings the turn store map in line with the turn stores that are alive, and tells whether that went well.
func (k *ControlPlane) tend(ctx context.Context, epoch uint64, t *tender) bool {
	now := time.Now()
	v, ready := k.primary()
	if !ready || v.epoch != epoch {
		return true
	}
	k.mu.Lock()
	alive, leaving, reports := k.sessions.storeNodes(now)
	arrived := k.sessions.arrived
	k.mu.Unlock()
	in := Input{Spread: k.spread, Alive: alive, Leaving: leaving, Reports: reports}
	in.Certain = now.Sub(v.since) >= k.window(gracePart)
	in.Create = now.Sub(arrived) >= k.window(settlePart)
	in.Move = now.Sub(t.wrote) >= k.window(tickPart)
	in.Slow, in.Stalled = t.stall.observe(now, k.Settings.ContactWindow, v.turnStores, alive)
	seen := strconv.FormatUint(v.turnStores.GetVersion(), 10) + ";" + in.signature()
	if t.done && t.last == seen {
		return true
	}
	if _, changed := Assign(v.turnStores, in); !changed {
		t.last, t.done = seen, in.Move
		return true
	}
	t.done = false
	ctx, cancel := context.WithTimeout(ctx, k.window(writePart))
	defer cancel()
	if k.lock(ctx) != nil {
		return false
	}
	defer k.unlock()
	v, ready = k.primary() // an order to retire may have come meanwhile
	if !ready || v.epoch != epoch {
		return true
	}
	if next, changed := Assign(v.turnStores, in); changed {
		t.wrote = now
		err := k.putPartitionMap(ctx, epoch, next)
		if err == nil {
			k.Log.Info().Str("event", "turnstores").Int("keepers", len(next.StoreNodes)).Int("alive", len(alive)).Int("moved", moved(v.turnStores, next)).
				Int("unsynced", unsynced(next)).Msg("")
		}
		return err == nil
	}
	return true
}

// signature is the same for inputs that lead to the same.
func (in Input) signature() string {
	var parts []string
	for folder, one := range in.Alive {
		mark := "="
		if in.Leaving[folder] {
			mark = "-"
		}
		parts = append(parts, folder+mark+one.Address)
	}
	for _, r := range in.Reports {
		parts = append(parts, fmt.Sprint(r.From, "/", r.Copy.Partition, "/", r.Copy.Epoch, "/", r.Copy.Folder))
	}
	slices.Sort(parts)
	parts = append(parts, fmt.Sprint(in.Certain, in.Create, in.Slow, in.Stalled))
	return strings.Join(parts, ";")
}

// moved is how many partitions have another epoch.
func moved(before, after *tierv1.PartitionMap) (n int) {
	for i, p := range after.GetPartitions() {
		if old := before.GetPartitions(); i >= len(old) || old[i].Epoch != p.Epoch {
			n++
		}
	}
	return n
}

// unsynced is how many copies are not whole yet.
func unsynced(m *tierv1.PartitionMap) (n int) {
	for _, p := range m.GetPartitions() {
		for _, c := range p.Backups {
			if !c.Synced {
				n++
			}
		}
	}
	return n
}
