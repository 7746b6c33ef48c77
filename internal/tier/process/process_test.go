package process_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/metrics"
	"saffronyard.example/saffronyard/internal/tier/process"
	"saffronyard.example/saffronyard/internal/tier/settings"
	"saffronyard.example/saffronyard/internal/tier/wal"
)

// discardLogger logs nothing.
func discardLogger() *log.Logger { return &log.Logger{Level: log.PanicLevel} }

// machine returns settings of a machine on a random loopback address, with ports below the ephemeral ones.
func machine(t *testing.T) settings.Settings {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.N(254), rand.N(256), 1+rand.N(254))
	first := 10000 + rand.N(20000)
	s, err := settings.Parse(fmt.Appendf(nil, "node_name: machine-1\nip_address: %s\ninternal_port_range: [%d, %d]\n", ip, first, first+process.TurnStorePort))
	assert.NilError(t, err)
	s.Control, s.Frontend, s.Readiness = ip+":0", ip+":0", ip+":0"
	s.DataDir, s.Bootstrap = t.TempDir(), true
	s.GracePeriod = time.Second
	return s
}

func TestStart_EachRole(t *testing.T) {
	for _, role := range []string{process.RoleGateway, process.RoleControlPlane, process.RoleTurnStore} {
		for name, end := range map[string]func(*process.Process){"killed": (*process.Process).Kill, "shut down": (*process.Process).Shutdown} {
			t.Run(role+" "+name, func(t *testing.T) {
				p, err := process.Start(t.Context(), role, process.Config{Settings: machine(t), Log: discardLogger()})
				assert.NilError(t, err)
				end(p)
				assert.NilError(t, p.Wait())
			})
		}
	}
}

// Control planes and turn stores serve metrics on their internal listeners, by GET only.
func TestInternalListenersServeMetrics(t *testing.T) {
	for role, port := range map[string]int{process.RoleControlPlane: process.ControlPlanePort, process.RoleTurnStore: process.TurnStorePort} {
		t.Run(role, func(t *testing.T) {
			s := machine(t)
			p, err := process.Start(t.Context(), role, process.Config{Settings: s, Log: discardLogger()})
			assert.NilError(t, err)
			defer p.Kill()
			at := "http://" + s.Internal(port) + metrics.Path
			got, err := http.Get(at)
			assert.NilError(t, err)
			defer got.Body.Close()
			text, err := io.ReadAll(got.Body)
			assert.NilError(t, err)
			assert.Equal(t, got.StatusCode, http.StatusOK)
			assert.Equal(t, got.Header.Get("Content-Type"), metrics.ContentType)
			assert.Assert(t, strings.Contains(string(text), "saffronyard_disk_state{state=\"sound\"} 1\n"), "%s", text)
			other, err := http.Post(at, "text/plain", nil)
			assert.NilError(t, err)
			assert.NilError(t, other.Body.Close())
			assert.Equal(t, other.StatusCode, http.StatusMethodNotAllowed)
		})
	}
}

// The end of the context kills the process.
func TestStart_ContextDone(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p, err := process.Start(ctx, process.RoleTurnStore, process.Config{Settings: machine(t), Log: discardLogger()})
	assert.NilError(t, err)
	cancel()
	assert.NilError(t, p.Wait())
}

func TestUnknownRole(t *testing.T) {
	_, err := process.Start(t.Context(), "janitor", process.Config{Settings: machine(t), Log: discardLogger()})
	assert.ErrorContains(t, err, `unknown role "janitor"`)
}

// A turn store whose disk is full at its start keeps running, does not listen meanwhile, and can be ended.
func TestATurnStoreOnAFullDiskStaysUp(t *testing.T) {
	for name, end := range map[string]func(*process.Process){"killed": (*process.Process).Kill, "shut down": (*process.Process).Shutdown} {
		t.Run(name, func(t *testing.T) {
			disk := wal.NewMemory()
			disk.FailFrom(1, syscall.ENOSPC)
			s := machine(t)
			p, err := process.Start(t.Context(), process.RoleTurnStore, process.Config{Settings: s, Log: discardLogger(), FS: disk})
			assert.NilError(t, err)
			l, err := net.Listen("tcp", s.Internal(process.TurnStorePort))
			assert.NilError(t, err)
			assert.NilError(t, l.Close())
			end(p)
			assert.NilError(t, p.Wait())
		})
	}
}

// A process whose data directory can't be made doesn't start, and leaves no listener behind.
func TestDataDirectoryThatCannotBeMade(t *testing.T) {
	s := machine(t)
	s.DataDir = "/dev/null/nowhere"
	_, err := process.Start(t.Context(), process.RoleTurnStore, process.Config{Settings: s, Log: discardLogger()})
	assert.ErrorContains(t, err, "/dev/null")
	l, err := net.Listen("tcp", s.Internal(process.TurnStorePort))
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
}
