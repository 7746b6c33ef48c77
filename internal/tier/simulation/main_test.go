package simulation

import (
	"os"
	"testing"

	"github.com/phuslu/log"
)

func TestMain(m *testing.M) {
	log.DefaultLogger.Level = log.PanicLevel // logs of disks, which have none of their own
	os.Exit(m.Run())
}
