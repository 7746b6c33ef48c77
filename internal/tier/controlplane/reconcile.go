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
	lastInput string // what the map was made from
	unchanged bool   // and nothing was to be changed
	lastWrite time.Time
	stall     stallTracker
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
	lapsed := plane.recentlyExpired(now, v, alive)
	arrived := plane.sessions.lastStoreArrival
	left := plane.retireDeadlines.remaining(now, v.partitionMap.GetRetiring())
	plane.riskTimer.observe(now, AssessRisk(v.partitionMap, plane.faultTolerance, alive, plane.Settings.SyncTime).Partitions)
	plane.mu.Unlock()
	in := Input{FaultTolerance: plane.faultTolerance, Alive: alive, Draining: leaving, Reports: reports, RecentlyExpired: lapsed}
	in.GraceOver = now.Sub(v.since) >= plane.windowFraction(takeoverGraceDivisor)
	in.MayCreate = now.Sub(arrived) >= plane.windowFraction(firstMapDelayDivisor)
	in.MayMove = now.Sub(t.lastWrite) >= plane.windowFraction(sessionCheckDivisor)
	in.RequiredMoves = requiredMoves(v.partitionMap, left, plane.windowFraction(moveTimeDivisor))
	in.Slow, in.Stalled = t.stall.observe(now, plane.Settings.ContactWindow, v.partitionMap, alive)
	seen := strconv.FormatUint(v.partitionMap.GetVersion(), 10) + ";" + in.fingerprint()
	if t.unchanged && t.lastInput == seen {
		return true
	}
	if _, changed := nextMap(v.partitionMap, in); !changed {
		t.lastInput, t.unchanged = seen, in.MayMove
		return true
	}
	t.unchanged = false
	ctx, cancel := context.WithTimeout(ctx, plane.windowFraction(writeTimeoutDivisor))
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
		t.lastWrite = now
		err := plane.putPartitionMap(ctx, epoch, next)
		if err == nil {
			plane.Log.Info().Str("event", "turnstores").Int("store_nodes", len(next.StoreNodes)).Int("alive", len(alive)).Int("moved", countMoved(v.partitionMap, next)).
				Int("unsynced", countUnsynced(next)).Int("pace", in.RequiredMoves).Msg("")
			for _, node := range next.Retired[len(v.partitionMap.GetRetired()):] {
				plane.Log.Info().Str("event", "retired").Str("node", node).Msg("")
			}
		}
		return err == nil
	}
	return true
}

// recentlyExpired gives the turn stores of the map that have been lost for less than the wait (reducePart): since their sessions lapsed,
// or since the grace after a takeover was over. One that had told that it leaves, or that its disk is not sound, has not
// lapsed. The caller holds the lock.
func (plane *ControlPlane) recentlyExpired(now time.Time, v *view, alive map[string]*tierv1.StoreNode) map[string]bool {
	graceOver := v.since.Add(plane.windowFraction(takeoverGraceDivisor))
	found := map[string]bool{}
	for _, one := range v.partitionMap.GetStoreNodes() {
		if alive[one.Folder] != nil {
			continue
		}
		since := graceOver
		if s := plane.sessions.storeSession(one); s != nil {
			if s.draining || !diskUsable(s.disk) {
				continue
			}
			if lapse := s.lastCallEnded.Add(s.ttl); lapse.After(since) {
				since = lapse
			}
		}
		if now.Sub(since) < plane.windowFraction(lostReplicaWaitDivisor) {
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

// fingerprint is the same for inputs that lead to the same.
func (in Input) fingerprint() string {
	var parts []string
	for folder, one := range in.Alive {
		mark := "="
		if in.Draining[folder] {
			mark = "-"
		}
		parts = append(parts, folder+mark+one.Address)
	}
	for _, r := range in.Reports {
		parts = append(parts, fmt.Sprint(r.From, "/", r.Replica.Partition, "/", r.Replica.Epoch, "/", r.Replica.Folder))
	}
	slices.Sort(parts)
	parts = append(parts, fmt.Sprint(in.GraceOver, in.MayCreate, in.RequiredMoves, in.Slow, in.Stalled, in.RecentlyExpired))
	return strings.Join(parts, ";")
}

// countMoved is how many partitions have another epoch.
func countMoved(before, after *tierv1.PartitionMap) (n int) {
	for i, p := range after.GetPartitions() {
		if old := before.GetPartitions(); i >= len(old) || old[i].Epoch != p.Epoch {
			n++
		}
	}
	return n
}

// countUnsynced is how many copies are not whole yet.
func countUnsynced(m *tierv1.PartitionMap) (n int) {
	for _, p := range m.GetPartitions() {
		for _, c := range p.Backups {
			if !c.Synced {
				n++
			}
		}
	}
	return n
}

// putPartitionMap writes a turn store map and shows it. The caller has the right to write.
func (plane *ControlPlane) putPartitionMap(ctx context.Context, epoch uint64, m *tierv1.PartitionMap) error {
	m.Version = 0
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return err
	}
	version, err := plane.write(ctx, epoch, map[string][]byte{keyPartitionMap: body})
	if err != nil {
		return err
	}
	m.Version = version
	plane.updateView(epoch, func(v *view) { v.partitionMap = m })
	return nil
}
