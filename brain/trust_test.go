package brain

import (
	"math"
	"testing"
	"time"
)

// The trust in a learned value halves with each trustHalfLife.
func TestTrust_HalvesWithAge(t *testing.T) {
	for age, want := range map[time.Duration]float64{-time.Second: 1, 0: 1, time.Hour: 0.5, 3 * time.Hour: 0.125} {
		if got := trust(age); math.Abs(got-want) > 1e-12 {
			t.Errorf("trust after %v is %v, want %v", age, got, want)
		}
	}
	if blend(4, 1, 0.5) != 2.5 || blend(4, 1, 0) != 4 || blend(4, 1, 1) != 1 {
		t.Error("blend does not interpolate by trust")
	}
}
