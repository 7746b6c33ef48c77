package simulation

import (
	"os"
	"runtime/debug"
	"testing"

	"github.com/phuslu/log"
)

func TestMain(m *testing.M) {
	log.DefaultLogger.Level = log.PanicLevel // logs of disks, which have none of their own
	debug.SetGCPercent(GCPercent)
	os.Exit(m.Run())
}
