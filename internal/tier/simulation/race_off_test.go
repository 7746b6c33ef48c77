//go:build !race

package simulation

const raceDetector = false
