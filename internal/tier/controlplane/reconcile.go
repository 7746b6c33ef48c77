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

// reconciler is the state of the loop that reconciles the partition map with the turn stores, within one epoch.
type reconciler struct {
	lastInput string // fingerprint of the last input
	unchanged bool   // the last input required no change of the map
	lastWrite time.Time
	stalls    stallTracker
}

// reconcile brings the partition map in line with the turn stores that are alive. It returns false if a write has failed.
func (plane *ControlPlane) reconcile(ctx context.Context, epoch uint64, loop *reconciler) bool {
	now := time.Now()
	state, ready := plane.primary()
	if !ready || state.epoch != epoch {
		return true
	}
	in := plane.observeInput(now, state, loop)
	fingerprint := strconv.FormatUint(state.partitionMap.GetVersion(), 10) + ";" + in.fingerprint()
	if loop.unchanged && loop.lastInput == fingerprint {
		return true
	}
	if _, changed := nextMap(state.partitionMap, in); !changed {
		loop.lastInput, loop.unchanged = fingerprint, in.MayMove
		return true
	}
	loop.unchanged = false
	ctx, cancel := context.WithTimeout(ctx, plane.windowFraction(writeTimeoutDivisor))
	defer cancel()
	if plane.lockWriter(ctx) != nil {
		return false
	}
	defer plane.unlockWriter()
	state, ready = plane.primary() // an order to retire may have been accepted meanwhile
	if !ready || state.epoch != epoch {
		return true
	}
	next, changed := nextMap(state.partitionMap, in)
	if !changed {
		return true
	}
	loop.lastWrite = now
	if plane.writePartitionMap(ctx, epoch, next) != nil {
		return false
	}
	plane.logPartitionMap(state.partitionMap, next, in)
	return true
}

// observeInput returns the current input for the partition map.
func (plane *ControlPlane) observeInput(now time.Time, state *publishedState, loop *reconciler) Input {
	plane.mu.Lock()
	alive, draining, reports := plane.sessions.storeNodes(now)
	expired := plane.recentlyExpired(now, state, alive)
	lastArrival := plane.sessions.lastStoreArrival
	timeLeft := plane.retireDeadlines.remaining(now, state.partitionMap.GetRetiring())
	plane.riskTimer.observe(now, AssessRisk(state.partitionMap, plane.faultTolerance, alive, plane.Settings.SyncTime).Partitions)
	plane.mu.Unlock()
	in := Input{
		FaultTolerance:  plane.faultTolerance,
		Alive:           alive,
		Draining:        draining,
		Reports:         reports,
		RecentlyExpired: expired,
		GraceOver:       now.Sub(state.since) >= plane.windowFraction(takeoverGraceDivisor),
		MayCreate:       now.Sub(lastArrival) >= plane.windowFraction(firstMapDelayDivisor),
		MayMove:         now.Sub(loop.lastWrite) >= plane.windowFraction(sessionCheckDivisor),
		RequiredMoves:   requiredMoves(state.partitionMap, timeLeft, plane.windowFraction(moveTimeDivisor)),
	}
	in.Slow, in.Stalled = loop.stalls.observe(now, plane.Settings.ContactWindow, state.partitionMap, alive)
	return in
}

// logPartitionMap logs the replacement of a partition map by another.
func (plane *ControlPlane) logPartitionMap(before, after *tierv1.PartitionMap, in Input) {
	plane.Log.Info().Str("event", "turnstores").Int("store_nodes", len(after.StoreNodes)).Int("alive", len(in.Alive)).
		Int("moved", countMoved(before, after)).Int("unsynced", countUnsynced(after)).Int("pace", in.RequiredMoves).
		Msg("changed the partition map")
	for _, node := range after.Retired[len(before.GetRetired()):] {
		plane.Log.Info().Str("event", "retired").Str("node", node).Msg("emptied a machine: it may be removed")
	}
}

// recentlyExpired returns the turn stores of the map, by folder, that have been lost for less than the wait of
// lostReplicaWaitDivisor. The wait begins when the session expires or when the grace after a takeover ends, whichever is later.
// Turn stores that were draining, or whose disks are not sound, are lost at once and not included. The caller holds mu.
func (plane *ControlPlane) recentlyExpired(now time.Time, state *publishedState, alive map[string]*tierv1.StoreNode) map[string]bool {
	graceOver := state.since.Add(plane.windowFraction(takeoverGraceDivisor))
	found := map[string]bool{}
	for _, store := range state.partitionMap.GetStoreNodes() {
		if alive[store.Folder] != nil {
			continue
		}
		since := graceOver
		if s := plane.sessions.storeSession(store); s != nil {
			if s.draining || !diskUsable(s.disk) {
				continue
			}
			if expiry := s.lastCallEnded.Add(s.ttl); expiry.After(since) {
				since = expiry
			}
		}
		if now.Sub(since) < plane.windowFraction(lostReplicaWaitDivisor) {
			found[store.Folder] = true
		}
	}
	return found
}

// nextMap returns the map that Assign makes, in which the machines that are empty are recorded as retired.
func nextMap(before *tierv1.PartitionMap, in Input) (after *tierv1.PartitionMap, changed bool) {
	after, changed = Assign(before, in)
	retired := newlyRetired(after, in.Losses)
	if len(retired) == 0 {
		return after, changed
	}
	if !changed {
		after = proto.Clone(after).(*tierv1.PartitionMap) // the published map is shared
	}
	after.Retired = append(after.Retired, retired...)
	return after, true
}

// fingerprint returns a text that is the same for inputs that lead to the same map.
func (in Input) fingerprint() string {
	var parts []string
	for folder, store := range in.Alive {
		state := "="
		if in.Draining[folder] {
			state = "-"
		}
		parts = append(parts, folder+state+store.Address)
	}
	for _, r := range in.Reports {
		parts = append(parts, fmt.Sprint(r.From, "/", r.Replica.Partition, "/", r.Replica.Epoch, "/", r.Replica.Folder))
	}
	slices.Sort(parts)
	parts = append(parts, fmt.Sprint(in.GraceOver, in.MayCreate, in.RequiredMoves, in.Slow, in.Stalled, in.RecentlyExpired))
	return strings.Join(parts, ";")
}

// countMoved counts the partitions whose epoch differs.
func countMoved(before, after *tierv1.PartitionMap) (n int) {
	for i, p := range after.GetPartitions() {
		if old := before.GetPartitions(); i >= len(old) || old[i].Epoch != p.Epoch {
			n++
		}
	}
	return n
}

// countUnsynced counts the replicas that are being synced.
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

// writePartitionMap writes a partition map, sets its version, and publishes it. The caller holds the writer lock.
func (plane *ControlPlane) writePartitionMap(ctx context.Context, epoch uint64, m *tierv1.PartitionMap) error {
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
	plane.updatePublished(epoch, func(state *publishedState) { state.partitionMap = m })
	return nil
}
