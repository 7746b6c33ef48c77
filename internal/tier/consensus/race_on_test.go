//go:build race

package consensus

// raced tells that the race detector slows all down about tenfold.
const raced = true
