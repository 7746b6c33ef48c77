package sender

import (
	"fmt"
	"log/slog"
	"testing"
)

// Clients, calls and idle connections together leave some of the machine's descriptors for files.
func TestLimits_Descriptors(t *testing.T) {
	for sockets, want := range map[int]int{1024: 100, 256: 100, 128: 48, 16: 6} {
		c, err := ParseConfig([]byte(fmt.Sprintf(`{"limits":{"sockets":%d},"settings":{"familyInfo":{"callsOut":100}}}`, sockets)))
		if err != nil {
			t.Fatal(err)
		}
		if got := c.Settings.Slots; got != want {
			t.Errorf("%d descriptors: %d slots, want %d", sockets, got, want)
		}
		if all := newServer(c, newClock(), slog.Default(), nil).maxClients + c.maxIdleEndpointConns() + c.Settings.Slots; all >= sockets {
			t.Errorf("%d descriptors: %d used for connections, none left for files", sockets, all)
		}
	}
}
