package controlplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

func TestLossesThatAPartitionBears(t *testing.T) {
	node := func(folder, zone string) *tierv1.StoreNode {
		return &tierv1.StoreNode{Folder: folder, Node: folder, Zone: zone}
	}
	all := map[string]*tierv1.StoreNode{"a": node("a", "z1"), "b": node("b", "z1"), "c": node("c", "z2")}
	byNode := func(one *tierv1.StoreNode) string { return one.Node }
	byZone := func(one *tierv1.StoreNode) string { return one.Zone }
	partition := func(primary string, backups ...*tierv1.Copy) *tierv1.Partition {
		return &tierv1.Partition{Primary: primary, Backups: backups}
	}
	synced := func(folder string) *tierv1.Copy { return &tierv1.Copy{Folder: folder, Synced: true} }
	for _, c := range []struct {
		name      string
		partition *tierv1.Partition
		domain    func(*tierv1.StoreNode) string
		want      int
	}{
		{"both copies", partition("a", synced("b")), byNode, 1},
		{"both in one zone", partition("a", synced("b")), byZone, 0},
		{"two zones", partition("a", synced("c")), byZone, 1},
		{"the backup is not whole", partition("a", &tierv1.Copy{Folder: "b"}), byNode, 0},
		{"the backup is down", partition("a", synced("x")), byNode, 0},
		{"the primary is down", partition("x", synced("a")), byNode, 0},
		{"the primary is down, the backup is not whole", partition("x", &tierv1.Copy{Folder: "a"}), byNode, -1},
		{"three copies", partition("a", synced("b"), synced("c")), byNode, 2},
		{"no copy", partition("x"), byNode, -1},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, borne(c.partition, all, c.domain), c.want) })
	}
	m := &tierv1.PartitionMap{Partitions: []*tierv1.Partition{partition("a", synced("b")), partition("a"), partition("x")}}
	atRisk, worst := partitionsAtRisk(m, all, Spread{Losses: 1, Domain: byNode})
	assert.Equal(t, atRisk, 2)
	assert.Equal(t, worst, -1)
	atRisk, worst = partitionsAtRisk(nil, all, Spread{Losses: 1, Domain: byNode})
	assert.Equal(t, atRisk, 0)
	assert.Equal(t, worst, 1)
}

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
