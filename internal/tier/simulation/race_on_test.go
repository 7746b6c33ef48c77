//go:build race

package simulation

const raceDetector = true
