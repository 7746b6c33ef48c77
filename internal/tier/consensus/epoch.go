package consensus

import (
	"hash/fnv"
)

// epochBits is the number of low bits of an epoch that are a hash of the proposer's folder, so that two proposers rarely use the same
// epoch.
const epochBits = 12

// nextEpoch returns an epoch of a folder above highest. Its bits above epochBits are those of highest plus one.
func nextEpoch(highest uint64, folder string) uint64 {
	h := fnv.New32a()
	h.Write([]byte(folder))
	return (highest>>epochBits+1)<<epochBits | uint64(h.Sum32())&(1<<epochBits-1)
}
