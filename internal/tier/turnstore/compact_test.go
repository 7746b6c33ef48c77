package turnstore

import (
	"fmt"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// TestCompact_DiskFaultAtEachOperation makes a disk fail once, or be full from then on, at each operation of a compaction.
func TestCompact_DiskFaultAtEachOperation(t *testing.T) {
	for _, full := range []bool{true, false} {
		for at := 1; at <= 16; at++ {
			t.Run(fmt.Sprintf("full=%v/%d", full, at), func(t *testing.T) {
				t.Parallel()
				s := newScript(t, false)
				s.storeThreeTurns()
				v, disk := s.cluster.nodes["b"].turnstore, s.cluster.nodes["b"].disk
				if full {
					disk.FailFrom(at, syscall.ENOSPC)
				} else {
					disk.FailAt(at, syscall.EIO)
				}
				for range 2 {
					_ = v.Compact(s.cluster.ctx, true)
				}
				disk.Recover()
				for range 4 { // detects the failure and reopens the logs, and again for a file that is found broken later
					v.CheckDisk(s.cluster.now())
					_ = v.Compact(s.cluster.ctx, true)
				}
				v.CheckDisk(s.cluster.now())
				v.CheckDisk(s.cluster.now())
				assert.NilError(t, v.Compact(s.cluster.ctx, true))
				assert.Assert(t, !reportsDiskFault(t, v))
				assert.Equal(t, s.checker.beginUntilNotBusy("a", &tierv1.BeginRequest{Program: "q", Attempt: "x", RetentionMs: 1}), ok)
				s.verify()
			})
		}
	}
}

func TestCompact_PowerLossAtEachOperation(t *testing.T) {
	for at := 0; at <= 14; at++ {
		t.Run(fmt.Sprint(at), func(t *testing.T) {
			t.Parallel()
			s := newScript(t, false)
			s.storeThreeTurns()
			if at > 0 {
				s.cluster.nodes["b"].disk.DieAt(at)
			}
			v := s.cluster.nodes["b"].turnstore
			err := v.Compact(s.cluster.ctx, true)
			if err == nil {
				err = v.Compact(s.cluster.ctx, true) // and back into the first file
			}
			assert.Assert(t, at > 0 || err == nil)
			if err != nil {
				s.cluster.crash("b", false)
				s.repair()
			}
			s.verify()
		})
	}
}

func TestCompactionDue(t *testing.T) {
	const mb = 1 << 20
	for _, test := range []struct {
		name              string
		size, live, limit int64
		want              bool
	}{
		{"half dead, little of it", 2*mb + minDeadBytes, mb, 0, false},
		{"more than half dead", 2*mb + minDeadBytes + 1, mb, 0, true},
		{"limit is close", 40 * mb, 31 * mb, 100 * mb, true},
		{"limit is not close", 40 * mb, 30 * mb, 100 * mb, false},
		{"limit is close, and little is dead", 40 * mb, 35 * mb, 100 * mb, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, compactionDue(test.size, test.live, test.limit), test.want)
		})
	}
}
