package process

import (
	"context"
	"errors"
	"syscall"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/wal"
)

var (
	errFull    = errorx.Decorate(wal.Broken.Wrap(wal.IO.Wrap(syscall.ENOSPC, "write"), "append"), "turn store")
	errForeign = wal.Foreign.New("another version")
)

// scriptedDisk returns scripted results of opening the disk and of running on it, in order. A run after the last result ends the
// process.
type scriptedDisk struct {
	t        *testing.T
	openings []error // of open
	runs     []error // of run
	opened   int
	ran      int
	delays   []time.Duration
	cancel   context.CancelFunc
}

func (s *scriptedDisk) open() (diskWorker, error) {
	err := s.openings[s.opened]
	s.opened++
	return s, err
}

func (s *scriptedDisk) run() error {
	s.ran++
	if s.ran > len(s.runs) {
		s.cancel()
		return nil
	}
	return s.runs[s.ran-1]
}

func (s *scriptedDisk) sleep(_ context.Context, span time.Duration) {
	s.delays = append(s.delays, span)
}

func (s *scriptedDisk) retry(first error, shuttingDown func() bool) error {
	ctx, cancel := context.WithCancel(s.t.Context())
	defer cancel()
	s.cancel = cancel
	retrier := diskRetrier{log: &log.Logger{Level: log.PanicLevel}, open: s.open, shuttingDown: shuttingDown, sleep: s.sleep}
	return retrier.run(ctx, s, first)
}

func notShuttingDown() bool { return false }

// A disk that is full at the start, and again later, must not end the process.
func TestRetryDisk_FullDisk(t *testing.T) {
	s := &scriptedDisk{t: t, openings: []error{errFull, errFull, errFull, errFull, errFull, nil, errFull, nil}, runs: []error{errFull}}
	assert.NilError(t, s.retry(errFull, notShuttingDown))
	assert.Equal(t, s.opened, len(s.openings))
	assert.Equal(t, s.ran, 2)
	assert.DeepEqual(t, s.delays[:5], []time.Duration{minDiskRetryDelay, 2 * minDiskRetryDelay, 4 * minDiskRetryDelay, maxDiskRetryDelay, maxDiskRetryDelay})
}

// An error that more space cannot resolve ends the process, also after a recovery.
func TestRetryDisk_PermanentError(t *testing.T) {
	s := &scriptedDisk{t: t, openings: []error{errForeign}}
	assert.ErrorIs(t, s.retry(errFull, notShuttingDown), errForeign)
	s = &scriptedDisk{t: t, runs: []error{errForeign}}
	assert.ErrorIs(t, s.retry(nil, notShuttingDown), errForeign)
	assert.Equal(t, s.opened, 0)
}

// A process that shuts down must not reopen its disk.
func TestRetryDisk_ProcessShuttingDown(t *testing.T) {
	s := &scriptedDisk{t: t, runs: []error{errFull}}
	assert.NilError(t, s.retry(nil, func() bool { return s.ran > 0 }))
	assert.Equal(t, s.opened, 0)
	s = &scriptedDisk{t: t, runs: []error{errFull}}
	assert.NilError(t, s.retry(nil, func() bool { return len(s.delays) > 0 }))
	assert.Equal(t, s.opened, 0)
}

func TestDiskMayRecover(t *testing.T) {
	for _, transient := range []error{errFull, wal.IO.Wrap(syscall.EIO, "sync"), wal.NoSpace.Wrap(wal.IO.Wrap(syscall.ENOSPC, "write"), "reopen")} {
		assert.Assert(t, diskMayRecover(transient), "%v", transient)
	}
	for _, permanent := range []error{errForeign, wal.IO.Wrap(syscall.ENOTDIR, "mkdir"), syscall.ENOSPC, errors.New("else"), wal.Broken.New("closed")} {
		assert.Assert(t, !diskMayRecover(permanent), "%v", permanent)
	}
}
