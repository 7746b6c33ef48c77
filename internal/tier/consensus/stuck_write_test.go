package consensus

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// hangingDisk is a disk whose syncs wait while hang is set.
type hangingDisk struct {
	wal.FS
	mu   sync.Mutex
	hang chan struct{} // closed to let syncs continue; nil: syncs do not wait
}

func (disk *hangingDisk) set(hang chan struct{}) {
	disk.mu.Lock()
	defer disk.mu.Unlock()
	disk.hang = hang
}

func (disk *hangingDisk) Open(name string) (wal.Handle, error) {
	file, err := disk.FS.Open(name)
	return hangingFile{file, disk}, err
}

func (disk *hangingDisk) Create(name string) (wal.Handle, error) {
	file, err := disk.FS.Create(name)
	return hangingFile{file, disk}, err
}

type hangingFile struct {
	wal.Handle
	disk *hangingDisk
}

func (file hangingFile) Sync() error {
	file.disk.mu.Lock()
	hang := file.disk.hang
	file.disk.mu.Unlock()
	if hang != nil {
		<-hang
	}
	return file.Handle.Sync()
}

// eventLog collects the lines that are logged.
type eventLog struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (l *eventLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(line)
}

// count returns how often an event was logged.
func (l *eventLog) count(event string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.lines.String(), `"event":"`+event+`"`)
}

// A sync that does not return blocks the loop, so that without a separate check only the peers would detect it. The node reports it in its
// health and logs it once.
func TestStuckWrite_ShownWhileItLasts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines eventLog
		disk := &hangingDisk{FS: wal.NewMemory()}
		node, err := Open(Config{Self: &tierv1.Member{Address: "a"}, Seeds: []string{"a"}, Bootstrap: true, Dir: "/data", FS: disk,
			ContactWindow: 3 * time.Second, Heartbeat: time.Second, Log: &log.Logger{Writer: log.IOWriter{Writer: &lines}},
			Dial: func(to string) tierv1.Election { return networkClient{&network{}, to} }})
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- node.Run(ctx) }()
		put := func() error {
			epoch, _ := node.Primary()
			_, err := node.Put(ctx, epoch, map[string][]byte{"key": {1}})
			return err
		}
		for put() != nil {
			time.Sleep(50 * time.Millisecond)
		}
		assert.NilError(t, node.DiskError())

		hang := make(chan struct{})
		disk.set(hang)
		written := make(chan error, 1)
		go func() { written <- put() }()
		time.Sleep(writeStuckTimeout - 100*time.Millisecond)
		assert.NilError(t, node.DiskError())
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, errorx.IsOfType(node.DiskError(), DiskStuck), "%v", node.DiskError())
		time.Sleep(time.Minute)
		assert.Equal(t, lines.count("disk_stuck"), 1)

		disk.set(nil)
		close(hang)
		<-written
		synctest.Wait()
		assert.NilError(t, node.DiskError())
		assert.Equal(t, lines.count("disk_released"), 1)
		cancel()
		assert.NilError(t, <-ended)
	})
}
