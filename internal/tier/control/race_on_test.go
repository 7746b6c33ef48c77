//go:build race

package control

// raced tells that the race detector slows all down about tenfold.
const raced = true
