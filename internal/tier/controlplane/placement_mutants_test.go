package controlplane

import (
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/tier/tiertest/observer"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// mutant is an injected fault of the model's turn stores or of Assign. The zero mutant has none.
type mutant struct {
	assign             assignFunc // in place of Assign
	acceptsStaleEpochs bool       // backups accept facts of an epoch that is over
	reportsEarly       bool       // replicas are reported as synced before facts are exchanged
	recoversNothing    bool       // a recovery exchanges no facts, and is reported as done
}

// assignFunc has the signature of Assign.
type assignFunc func(before *tierv1.PartitionMap, in Input) (*tierv1.PartitionMap, bool)

// runAssign returns the map of Assign, or of the function that replaces it.
func (m mutant) runAssign(before *tierv1.PartitionMap, in Input) (*tierv1.PartitionMap, bool) {
	if m.assign == nil {
		return Assign(before, in)
	}
	return m.assign(before, in)
}

// changeAssigned returns an assignFunc that applies change to each partition of the maps that Assign has changed.
func changeAssigned(change func(old, next *tierv1.Partition)) assignFunc {
	return func(before *tierv1.PartitionMap, in Input) (*tierv1.PartitionMap, bool) {
		next, ok := Assign(before, in)
		if !ok || len(before.GetPartitions()) == 0 {
			return next, ok
		}
		next = proto.CloneOf(next)
		for i, p := range next.Partitions {
			change(before.Partitions[i], p)
		}
		return next, ok
	}
}

// promoteUnsynced makes a replica being synced the primary if Assign has chosen a new primary.
func promoteUnsynced(old, next *tierv1.Partition) {
	if next.Primary == old.Primary {
		return
	}
	for _, c := range next.Backups {
		if !c.Synced {
			next.Primary, c.Folder, c.Synced = c.Folder, next.Primary, true
			return
		}
	}
}

// dropRetained drops the retained replicas.
func dropRetained(_, next *tierv1.Partition) { next.Retained = nil }

// acceptOldReports accepts reports of older epochs as reports of the current one.
func acceptOldReports(before *tierv1.PartitionMap, in Input) (*tierv1.PartitionMap, bool) {
	in.Reports = slices.Clone(in.Reports)
	for i, r := range in.Reports {
		if int(r.Replica.Partition) < len(before.GetPartitions()) {
			r.Replica = proto.CloneOf(r.Replica)
			r.Replica.Epoch = before.Partitions[r.Replica.Partition].Epoch
			in.Reports[i] = r
		}
	}
	return Assign(before, in)
}

// Findings of the model's checks.
const (
	findingNotComplete      = "is marked synced and is not complete"
	findingUnserved         = "has no primary"
	findingServesIncomplete = "serves and is not complete"
)

// TestPlacement_MutantsFound injects faults, and expects that a check of the model finds each under random events and session
// expiries.
func TestPlacement_MutantsFound(t *testing.T) {
	for _, play := range []struct {
		name string
		run  func(t reporter, fault mutant, seed uint64)
	}{{"session expiries", simulateSessionExpiries}, {"random events", simulateRandomEvents}} {
		for _, fault := range []struct {
			name   string
			mutant mutant
			by     []string // findings, one of which the check reports
		}{
			{"a backup takes a stale epoch", mutant{acceptsStaleEpochs: true}, []string{findingNotComplete, findingServesIncomplete}},
			{"replicas are reported synced too early", mutant{reportsEarly: true}, []string{findingNotComplete}},
			{"a recovery loses what it fetches", mutant{recoversNothing: true}, []string{findingNotComplete}},
			{"an unsynced replica becomes primary", mutant{assign: changeAssigned(promoteUnsynced)}, []string{findingNotComplete, findingServesIncomplete}},
			{"control forgets retained replicas", mutant{assign: changeAssigned(dropRetained)}, []string{findingUnserved}},
			{"reports of an older epoch are accepted", mutant{assign: acceptOldReports}, []string{findingNotComplete}},
		} {
			t.Run(play.name+"/"+fault.name, func(t *testing.T) {
				for seed := range uint64(mutantSeeds) {
					failure := observer.Observe(func(r reporter) { play.run(r, fault.mutant, seed) })
					if failure == "" {
						continue
					}
					t.Logf("seed %d: %s", seed, failure[:min(200, len(failure))])
					if containsAny(failure, fault.by) {
						return
					}
				}
				t.Fatalf("not found in %d seeds", mutantSeeds)
			})
		}
	}
}

func containsAny(text string, parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return strings.Contains(text, part) })
}
