package consensus

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// A witness is lost permanently and a joiner replaces it. The first reply of each receiver to a snapshot or an accept of that view is
// lost: the call is retried, and the proposal does not fail.
func TestProposal_LostReplyIsRetried(t *testing.T) {
	for name, needed := range map[string]func(body proto.Message) bool{
		"accept": func(body proto.Message) bool {
			request, ok := body.(*tierv1.AcceptRequest)
			return ok && len(request.View.Former) > 0
		},
		"snapshot": func(body proto.Message) bool {
			request, ok := body.(*tierv1.WriteRequest)
			return ok && request.Snapshot
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				w := newSimulation(seed, 4, 1)
				w.boot()
				w.runUntil(3 * time.Second)
				leader := w.newestPrimary()
				gone := -1
				for i, s := range w.sites {
					if s.replica != nil && s != leader && containsMember(w.newestView.Members, s.replica.self) && !isNamedIn(w.newestView, s.replica.Folder) {
						gone = i
					}
				}
				assert.Assert(t, leader != nil && gone >= 0, "seed %d\n%s", seed, w.lastTrace())
				w.sites[gone].wipe()
				w.sites[gone].removed, w.sites[gone].unpowered = true, true
				lostOf := map[string]bool{}
				w.onDeliver = func(to *site, body proto.Message) {
					address := to.member.Address
					if !needed(body) || lostOf[address] || to == leader {
						return
					}
					lostOf[address] = true
					link := [2]string{address, leader.member.Address}
					w.partitions[link] = true
					w.after(20*time.Millisecond, func() { delete(w.partitions, link) })
				}
				began := len(w.trace)
				w.runUntil(w.now + 4*time.Second)
				assert.Equal(t, len(w.violations), 0, "seed %d\n%s", seed, w.lastTrace())
				assert.Assert(t, len(lostOf) > 0, "seed %d: nothing was lost\n%s", seed, w.lastTrace())
				assert.Assert(t, !strings.Contains(strings.Join(w.trace[began:], "\n"), "proposal failed"), "seed %d\n%s", seed, w.lastTrace())
				assert.Assert(t, len(w.newestView.Former) == 0 && len(w.newestView.Members) == 3, "seed %d\n%s", seed, w.lastTrace())
			}
		})
	}
}
