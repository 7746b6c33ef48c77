// Package tiertest provides fakes of the environment of a process of the tier: the control plane, turn stores, endpoints and
// clients, on loopback. They are scripted by tests, and wait for conditions instead of fixed times.
package tiertest

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/phuslu/log"

	"saffronyard.example/saffronyard/internal/tier/settings"
)

// Timeout is how long a condition is awaited before the test fails. A passing test takes far less.
const Timeout = 30 * time.Second

// DiscardLogger returns a logger that discards all entries.
func DiscardLogger() *log.Logger { return &log.Logger{Writer: log.IOWriter{Writer: io.Discard}} }

const (
	frontendPort  = ":8080"
	readinessPort = ":8081"
)

// Settings returns the settings of a process on a random loopback address whose ports are free.
func Settings(node string) settings.Settings {
	ip := freeAddress()
	return settings.Settings{Node: node, IP: ip, Zone: "z-1", Region: "r-1", Frontend: ip + frontendPort, Readiness: ip + readinessPort, PortFirst: 9000,
		PortLast: 9010, Seeds: []string{"control-1:80"}, MaxFileDescriptors: 1000, MemoryMB: 256, ContactWindow: 4 * time.Second,
		GracePeriod: 200 * time.Millisecond}
}

// freeAddress returns a loopback address whose ports are free. The readiness port of a gateway stays in use until the test's
// process ends, so thousands of addresses are in use where many copies of the tests run at once.
func freeAddress() string {
	for {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.N(254), rand.N(256), 1+rand.N(254))
		if isFree(ip+frontendPort) && isFree(ip+readinessPort) {
			return ip
		}
	}
}

// isFree reports whether an address is free to listen at.
func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

// WaitUntil polls until a condition is met.
func WaitUntil(t testing.TB, what string, met func() bool) {
	t.Helper()
	for begin := time.Now(); !met(); runtime.Gosched() {
		if time.Since(begin) > Timeout {
			t.Fatalf("timed out waiting: %s", what)
		}
	}
}

// WaitFor waits for a channel to be closed, or for a value on it, and returns the value.
func WaitFor[T any](t testing.TB, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(Timeout):
		t.Fatalf("timed out waiting: %s", what)
		panic("unreachable")
	}
}
