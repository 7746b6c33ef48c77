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
	quietPeriod       = 200 * time.Millisecond  // a file counts as written when it has not changed for so long
	maxQuietWait      = 1500 * time.Millisecond // it is read then, even while it changes: it has to be served within two seconds
	writeBackInterval = 2 * time.Second         // between two writes of updates into the zones' files
	pollInterval      = 10 * time.Second        // files are polled so often: a mounted folder may give no notification
)

// fileWatcher follows the files of zones, by notification and by polling.
type fileWatcher struct {
	watcher *fsnotify.Watcher
	zones   []*managedZone
	log     *slog.Logger
	rescan  chan struct{} // all files are read now
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
				log.Warn("a folder can't be watched: its files are polled", "folder", dir, "err", err)
			}
		}
	}
	return f, nil
}

// fileStamp tells whether a file has changed.
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

// pendingFile is a file that has changed, and may still be changing.
type pendingFile struct {
	firstChange, lastChange time.Time
	stamp                   fileStamp
}

// run follows the files until ctx ends: as they change, by polling, and by rescan. A file is loaded once it has stood still.
func (f *fileWatcher) run(ctx context.Context) {
	defer f.watcher.Close()
	timer := time.NewTimer(0)
	poll := time.NewTicker(pollInterval)
	defer poll.Stop()
	defer timer.Stop()
	p := pendingFiles{files: map[*managedZone]*pendingFile{}, loaded: map[*managedZone]fileStamp{}, timer: timer}
	for _, z := range f.zones {
		p.loaded[z] = fileStampOf(z.config.File)
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
					p.add(z)
				}
			}
		case err, ok := <-f.watcher.Errors:
			if !ok {
				return
			}
			f.log.Warn("notifications of zone files may be missed: all files are checked", "err", err) // as a rule its queue was full
			for _, z := range f.zones {
				p.add(z)
			}
		case <-f.rescan:
			for _, z := range f.zones {
				z.loadFile()
				p.loaded[z] = fileStampOf(z.config.File)
			}
		case <-poll.C:
			for _, z := range f.zones {
				if p.loaded[z] != fileStampOf(z.config.File) {
					p.add(z)
				}
			}
		case <-timer.C:
		}
		p.loadQuiet()
	}
}

// pendingFiles are the files that have changed and are not loaded yet. It is for the watcher's goroutine.
type pendingFiles struct {
	files  map[*managedZone]*pendingFile
	loaded map[*managedZone]fileStamp // as they were when they were loaded last
	timer  *time.Timer                // fires when files are to be looked at again
}

// add notes that a zone's file has changed just now.
func (p *pendingFiles) add(z *managedZone) {
	now := time.Now()
	if f := p.files[z]; f != nil {
		f.lastChange = now
	} else {
		p.files[z] = &pendingFile{firstChange: now, lastChange: now, stamp: fileStampOf(z.config.File)}
	}
	p.timer.Reset(quietPeriod / 4)
}

// loadQuiet loads the files that have stood still for quietPeriod, or have been changing for maxQuietWait.
func (p *pendingFiles) loadQuiet() {
	now := time.Now()
	for z, f := range p.files {
		if s := fileStampOf(z.config.File); s != f.stamp {
			f.stamp, f.lastChange = s, now
		}
		if now.Sub(f.lastChange) >= quietPeriod || now.Sub(f.firstChange) >= maxQuietWait {
			delete(p.files, z)
			p.loaded[z] = f.stamp
			z.loadFile() // it logs what is wrong
		}
	}
	if len(p.files) > 0 {
		p.timer.Reset(quietPeriod / 4)
	}
}

// isOwnFile reports whether a file is one that the daemon itself writes beside the zone's.
func (z *managedZone) isOwnFile(name string) bool {
	return name == z.config.File+".before"
}
