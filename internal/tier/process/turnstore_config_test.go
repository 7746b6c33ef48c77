package process

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/settings"
	"saffronyard.example/saffronyard/internal/tier/turnstore"
)

// The release grace period of a turn store follows the contact window of its deployment.
func TestTheReleaseTimeFollowsTheContactWindow(t *testing.T) {
	for contactWindow, want := range map[time.Duration]time.Duration{
		3 * time.Second:  turnstore.DefaultReleaseGracePeriod,
		4 * time.Second:  turnstore.DefaultReleaseGracePeriod,
		20 * time.Second: 5500 * time.Millisecond,
	} {
		p := &Process{}
		got := p.turnStoreConfig(Config{Settings: settings.Settings{ContactWindow: contactWindow}})
		assert.Equal(t, got.ReleaseGracePeriod, want, "contact window %v", contactWindow)
	}
}
