package turnstore

import (
	"testing"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestFind_CertainOnlyWhenConfirmed(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	v := c.nodes["a"].turnstore
	r, err := v.Find(c.ctx, &tierv1.FindRequest{Attempt: "nothing"})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Partitions), partitionCount)
	c.mu.Lock()
	c.nodes["b"].partitioned = true
	c.mu.Unlock()
	r, err = v.Find(c.ctx, &tierv1.FindRequest{Attempt: "nothing"})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Partitions), 0)
	r, err = v.Find(c.ctx, &tierv1.FindRequest{Attempt: "t1"})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Chain), 1)
	assert.Equal(t, k.begin("a", beginRequest("t2", "nothing")), busy)
	q := beginRequest("t3", "")
	q.Budget = 1
	assert.Equal(t, k.begin("a", q), busy) // spent, but not confirmed by the backup
}
