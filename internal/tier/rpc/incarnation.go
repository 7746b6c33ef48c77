package rpc

import (
	"crypto/rand"
	"encoding/hex"
)

// NewIncarnation returns the random ID, 64 bits in hexadecimal, of one incarnation of a process: from its start to its end.
func NewIncarnation() string {
	var bits [8]byte
	_, _ = rand.Read(bits[:]) // never fails
	return hex.EncodeToString(bits[:])
}
