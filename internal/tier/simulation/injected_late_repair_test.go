package simulation

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/tier/turnstore"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// lateReports is the delay of a turn store's reports of synced replicas: longer than the time until the next loss may begin.
const lateReports = syncTime + 2*time.Second

// lateSyncedReports delays reports of synced replicas.
type lateSyncedReports struct {
	synced SyncedFunc

	mu    sync.Mutex
	since map[string]time.Time // when each replica was first reported
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

// Point 3: replicas that were recreated count as synced only after the next loss may have begun. The fault is also found without
// RuleRecovery, the check of the replicas at the end of a play, through the data that the next loss destroys.
func TestInjectedFault_LateRepair(t *testing.T) {
	hooks := Hooks{Synced: func(_ *turnstore.TurnStore, synced SyncedFunc) SyncedFunc {
		l := &lateSyncedReports{synced: synced}
		return l.reports
	}}
	expectFound(t, hooks, RuleRecovery, RuleTurn, RuleBudget)
	expectFoundInBatch(t, Batch{Kinds: []FaultKind{LossesInRow, Wipe, WipeZone, Replace}, Options: Options{Hooks: hooks, Ignore: []Rule{RuleRecovery}}},
		RuleTurn, RuleBudget)
}
