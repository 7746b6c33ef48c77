//go:build race

package consensus

// raceDetector reports whether the race detector is on, which slows the tests down about tenfold.
const raceDetector = true
