package simulation

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/tier/turnstore"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// lateReports is how late a turn store reports synced replicas: later than the next loss may come.
const lateReports = syncTime + 2*time.Second

// lateSyncedReports has reports of synced replicas come late.
type lateSyncedReports struct {
	synced SyncedFunc

	mu    sync.Mutex
	since map[string]time.Time // when each was first reported
}

func (l *lateSyncedReports) reports() ([]*tierv1.SyncedReplica, <-chan struct{}) {
	all, _ := l.synced()
	l.mu.Lock()
	defer l.mu.Unlock()
	since := map[string]time.Time{}
	var list []*tierv1.SyncedReplica
	for _, c := range all {
		key := fmt.Sprint(c.Partition, " ", c.Epoch, " ", c.Folder)
		first, ok := l.since[key]
		if !ok {
			first = time.Now()
		}
		since[key] = first
		if time.Since(first) >= lateReports {
			list = append(list, c)
		}
	}
	l.since = since
	changed := make(chan struct{})
	time.AfterFunc(sampleInterval, func() { close(changed) })
	return list, changed
}

// Point 3: replicas that were made anew count only after the next loss may have come. It is found without the rule that all replicas are there in
// the end, by what the next loss takes.
func TestInjectedFault_LateRepair(t *testing.T) {
	hooks := Hooks{Synced: func(_ *turnstore.TurnStore, synced SyncedFunc) SyncedFunc {
		l := &lateSyncedReports{synced: synced}
		return l.reports
	}}
	expectFound(t, hooks, RuleRecovery, RuleTurn, RuleBudget)
	expectFoundInBatch(t, Batch{Kinds: []FaultKind{LossesInRow, Wipe, WipeZone, Replace}, Options: Options{Hooks: hooks, Ignore: []Rule{RuleRecovery}}},
		RuleTurn, RuleBudget)
}
