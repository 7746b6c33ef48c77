package controlplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

func TestStatusTellsWhatIsAtRisk(t *testing.T) {
	set := site()
	set.SyncTime = 4 * time.Second
	withinSite(t, set, nil, func(r *rig) {
		risk := func() *tierv1.Risk {
			s, err := r.k.Sessions().Status(r.ctx, &tierv1.StatusRequest{})
			assert.NilError(t, err)
			return s.Risk
		}
		stores := map[string]*process{}
		for _, node := range []string{"v1", "v2"} {
			stores[node] = r.join(roleTurnStore, node, nil)
		}
		r.pass(3 * time.Second)
		assert.Equal(t, risk().Partitions, uint32(0))
		assert.Equal(t, risk().PartitionsBorne, int32(1))
		assert.Equal(t, risk().Losses, uint32(1))
		stores["v1"].end() // nobody else can take its copies
		r.pass(time.Second)
		at := risk()
		assert.Equal(t, at.Partitions, uint32(partitionCount))
		assert.Equal(t, at.PartitionsBorne, int32(0))
		assert.Assert(t, at.PartitionsForMs > 0 && at.PartitionsForMs <= 1000, "%v", at)
		assert.Equal(t, at.PartitionsForMs+at.PartitionsUntilMs, int64(4000))
		r.pass(5 * time.Second)
		assert.Assert(t, risk().PartitionsUntilMs < 0) // overdue
		r.join(roleTurnStore, "v3", nil)
		r.pass(8 * time.Second)
		assert.Equal(t, risk().Partitions, uint32(0))
		assert.Equal(t, risk().PartitionsForMs, int64(0))
	})
}
