//go:build !race

package consensus

const raceDetector = false
