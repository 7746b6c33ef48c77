package controlplane

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// reconciler is the state of the loop that reconciles the turn store map, within one epoch.
type reconciler struct {
	last  string // what the map was made from
	done  bool   // and nothing was to be changed
	wrote time.Time
	stall stallTracker
}

// reconcile brings the turn store map in line with the turn stores that are alive, and tells whether that went well.
func (plane *ControlPlane) reconcile(ctx context.Context, epoch uint64, t *reconciler) bool {
	now := time.Now()
	v, ready := plane.primary()
	if !ready || v.epoch != epoch {
		return true
	}
	plane.mu.Lock()
	alive, leaving, reports := plane.sessions.storeNodes(now)
	lapsed := plane.lapsed(now, v, alive)
	arrived := plane.sessions.arrived
	left := plane.retireTimes.left(now, v.partitionMap.GetRetiring())
	plane.riskClock.observe(now, AtRisk(v.partitionMap, plane.spread, alive, plane.Settings.SyncTime).Partitions)
	plane.mu.Unlock()
	in := Input{Spread: plane.spread, Alive: alive, Leaving: leaving, Reports: reports, Lapsed: lapsed}
	in.Certain = now.Sub(v.since) >= plane.window(gracePart)
	in.Create = now.Sub(arrived) >= plane.window(settlePart)
	in.Move = now.Sub(t.wrote) >= plane.window(tickPart)
	in.Pace = retirePace(v.partitionMap, left, plane.window(moveTimePart))
	in.Slow, in.Stalled = t.stall.observe(now, plane.Settings.ContactWindow, v.partitionMap, alive)
	seen := strconv.FormatUint(v.partitionMap.GetVersion(), 10) + ";" + in.signature()
	if t.done && t.last == seen {
		return true
	}
	if _, changed := nextMap(v.partitionMap, in); !changed {
		t.last, t.done = seen, in.Move
		return true
	}
	t.done = false
	ctx, cancel := context.WithTimeout(ctx, plane.window(writePart))
	defer cancel()
	if plane.lockWriter(ctx) != nil {
		return false
	}
	defer plane.unlockWriter()
	v, ready = plane.primary() // an order to retire may have come meanwhile
	if !ready || v.epoch != epoch {
		return true
	}
	if next, changed := nextMap(v.partitionMap, in); changed {
		t.wrote = now
		err := plane.putPartitionMap(ctx, epoch, next)
		if err == nil {
			plane.Log.Info().Str("event", "turnstores").Int("store_nodes", len(next.StoreNodes)).Int("alive", len(alive)).Int("moved", moved(v.partitionMap, next)).
				Int("unsynced", unsynced(next)).Int("pace", in.Pace).Msg("")
			for _, node := range next.Retired[len(v.partitionMap.GetRetired()):] {
				plane.Log.Info().Str("event", "retired").Str("node", node).Msg("")
			}
		}
		return err == nil
	}
	return true
}

// lapsed gives the turn stores of the map that have been lost for less than the wait (reducePart): since their sessions lapsed,
// or since the grace after a takeover was over. One that had told that it leaves, or that its disk is not sound, has not
// lapsed. The caller holds the lock.
func (plane *ControlPlane) lapsed(now time.Time, v *view, alive map[string]*tierv1.StoreNode) map[string]bool {
	graceOver := v.since.Add(plane.window(gracePart))
	found := map[string]bool{}
	for _, one := range v.partitionMap.GetStoreNodes() {
		if alive[one.Folder] != nil {
			continue
		}
		since := graceOver
		if s := plane.sessions.sessionOf(one); s != nil {
			if s.leaving || !usable(s.disk) {
				continue
			}
			if lapse := s.ended.Add(s.lapse); lapse.After(since) {
				since = lapse
			}
		}
		if now.Sub(since) < plane.window(reducePart) {
			found[one.Folder] = true
		}
	}
	return found
}

// nextMap is the map that Assign makes, with the machines recorded that have been emptied by it.
func nextMap(before *tierv1.PartitionMap, in Input) (after *tierv1.PartitionMap, changed bool) {
	after, changed = Assign(before, in)
	retired := newlyRetired(after, in.Losses)
	if len(retired) == 0 {
		return after, changed
	}
	if !changed {
		after = proto.Clone(after).(*tierv1.PartitionMap) // the one in force is shared
	}
	after.Retired = append(after.Retired, retired...)
	return after, true
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
	parts = append(parts, fmt.Sprint(in.Certain, in.Create, in.Pace, in.Slow, in.Stalled, in.Lapsed))
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
