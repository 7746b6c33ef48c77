package simulation

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"testing"

	"github.com/phuslu/log"
)

// workerVariable has a process of the test play seeds: the first and their number.
const workerVariable = "SIMULATION_TEST_WORKER"

func TestMain(m *testing.M) {
	log.DefaultLogger.Level = log.PanicLevel // logs of disks, which have none of their own
	debug.SetGCPercent(GCPercent)
	if seedRange := os.Getenv(workerVariable); seedRange != "" {
		runAsWorker(seedRange)
		return
	}
	os.Exit(m.Run())
}

func runAsWorker(seedRange string) {
	var b Batch
	_, err := fmt.Sscan(seedRange, &b.From, &b.Seeds)
	if err == nil {
		err = b.PlayAsWorker(context.Background(), os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
