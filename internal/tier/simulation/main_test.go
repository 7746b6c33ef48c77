package simulation

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"testing"

	"github.com/phuslu/log"
)

// workerVariable makes a process of the test a worker. Its value is the first seed and the number of seeds.
const workerVariable = "SIMULATION_TEST_WORKER"

func TestMain(m *testing.M) {
	log.DefaultLogger.Level = log.PanicLevel // the disks have no logger of their own
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
