package nameserver

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
)

const (
	quietPeriod       = 200 * time.Millisecond  // a file counts as written when it has stood still for so long
	maxQuietWait      = 1500 * time.Millisecond // it is looked at then, whatever: two seconds are all there is
	writeBackInterval = 2 * time.Second         // updates are written into the zone's file so long after the first of them
	pollInterval      = 10 * time.Second        // files are looked at so often besides: a folder may be a mount that tells nothing
)

// fileWatcher follows the files of zones: as they change, and now and then besides.
type fileWatcher struct {
	watcher *fsnotify.Watcher
	zones   []*managedZone
	log     *slog.Logger
	rescan  chan struct{} // all are looked at now
}

func newFileWatcher(zones []*managedZone, log *slog.Logger) (*fileWatcher, error) {
	w, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err
	}
	f := &fileWatcher{watcher: w, zones: zones, log: log, rescan: make(chan struct{}, 1)}
	seen := map[string]bool{}
	for _, z := range zones {
		// The folder, not the file: editors replace files, and what $INCLUDE names stands beside it.
		if dir := filepath.Dir(z.config.File); !seen[dir] {
			seen[dir] = true
			if err := w.Add(dir); err != nil {
				log.Warn("a folder can't be watched: it is looked at every now and then", "folder", dir, "err", err)
			}
		}
	}
	return f, nil
}

// fileStamp is what tells that a file has changed.
type fileStamp struct {
	size int64
	time time.Time
}

func fileStampOf(name string) fileStamp {
	info, err := os.Stat(name)
	if err != nil {
		return fileStamp{size: -1}
	}
	return fileStamp{info.Size(), info.ModTime()}
}

// pendingFile is a file that has changed, and may be changing still.
type pendingFile struct {
	firstChange, lastChange time.Time
	stamp                   fileStamp
}

func (f *fileWatcher) run(ctx context.Context) {
	defer f.watcher.Close()
	waiting := map[*managedZone]*pendingFile{}
	timer := time.NewTimer(0)
	every := time.NewTicker(pollInterval)
	defer every.Stop()
	defer timer.Stop()
	mark := func(z *managedZone) {
		now := time.Now()
		if d := waiting[z]; d != nil {
			d.lastChange = now
		} else {
			waiting[z] = &pendingFile{firstChange: now, lastChange: now, stamp: fileStampOf(z.config.File)}
		}
		timer.Reset(quietPeriod / 4)
	}
	loaded := map[*managedZone]fileStamp{}
	for _, z := range f.zones {
		loaded[z] = fileStampOf(z.config.File)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case e, ok := <-f.watcher.Events:
			if !ok {
				return
			}
			for _, z := range f.zones {
				if filepath.Dir(e.Name) == filepath.Dir(z.config.File) && !z.isOwnFile(e.Name) {
					mark(z)
				}
			}
		case err, ok := <-f.watcher.Errors:
			if !ok {
				return
			}
			f.log.Warn("changes of zone files may be missed: all are looked at", "err", err) // its queue was full, as a rule
			for _, z := range f.zones {
				mark(z)
			}
		case <-f.rescan:
			for _, z := range f.zones {
				z.loadFile()
				loaded[z] = fileStampOf(z.config.File)
			}
		case <-every.C:
			for _, z := range f.zones {
				if loaded[z] != fileStampOf(z.config.File) {
					mark(z)
				}
			}
		case <-timer.C:
		}
		now := time.Now()
		for z, d := range waiting {
			if s := fileStampOf(z.config.File); s != d.stamp {
				d.stamp, d.lastChange = s, now
			}
			if now.Sub(d.lastChange) >= quietPeriod || now.Sub(d.firstChange) >= maxQuietWait {
				delete(waiting, z)
				loaded[z] = d.stamp
				z.loadFile() // it tells what is wrong
			}
		}
		if len(waiting) > 0 {
			timer.Reset(quietPeriod / 4)
		}
	}
}

// isOwnFile reports whether a file is one that the daemon itself writes beside the zone's.
func (z *managedZone) isOwnFile(name string) bool {
	return name == z.config.File+".before"
}

// writeBack writes updates into zones' files, a while after they came.
func writeBack(ctx context.Context, zones []*managedZone) {
	every := time.NewTicker(writeBackInterval)
	defer every.Stop()
	told := map[*managedZone]string{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		for _, z := range zones {
			if !z.isFileBehind() {
				continue
			}
			err := z.writeFile()
			switch {
			case err == nil:
				delete(told, z)
			case told[z] != err.Error():
				told[z] = err.Error()
				z.log.Warn("updates are not written into the zone's file; they are kept in the journal", "err", err)
			}
		}
	}
}
