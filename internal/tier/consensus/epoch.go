package consensus

import (
	"hash/fnv"
)

// epochBits are the low bits of an epoch that come from the proposer's folder, so that two proposers rarely use the same one.
const epochBits = 12

// nextEpoch is the lowest epoch of a folder above highest.
func nextEpoch(highest uint64, folder string) uint64 {
	h := fnv.New32a()
	h.Write([]byte(folder))
	return (highest>>epochBits+1)<<epochBits | uint64(h.Sum32())&(1<<epochBits-1)
}
