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
	quietPeriod       = 200 * time.Millisecond  // a file that has not changed for this time counts as completely written
	maxQuietWait      = 1500 * time.Millisecond // a file that keeps changing is read after this time: changes must be served within two seconds
	writeBackInterval = 2 * time.Second         // between two writes of updates into the zones' files
	pollInterval      = 10 * time.Second        // between two polls of the files: a mounted folder may give no notifications
)

// fileWatcher watches the files of zones, by notifications and by polling.
type fileWatcher struct {
	watcher *fsnotify.Watcher
	zones   []*managedZone
	log     *slog.Logger
	rescan  chan struct{} // requests to read all files now
}

func newFileWatcher(zones []*managedZone, log *slog.Logger) (*fileWatcher, error) {
	w, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err
	}
	f := &fileWatcher{watcher: w, zones: zones, log: log, rescan: make(chan struct{}, 1)}
	seen := map[string]bool{}
	for _, z := range zones {
		// The folder is watched, not the file: editors replace files, and the files of $INCLUDE are in the same folder.
		if dir := filepath.Dir(z.config.File); !seen[dir] {
			seen[dir] = true
			if err := w.Add(dir); err != nil {
				log.Warn("a folder can't be watched: its files are polled", "folder", dir, "err", err)
			}
		}
	}
	return f, nil
}

// fileStamp is the size and modification time of a file, by which changes are detected.
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

// pendingFile is a file that has changed and may still be changing.
type pendingFile struct {
	firstChange, lastChange time.Time
	stamp                   fileStamp
}

// run loads changed files until ctx ends. Changes are detected by notifications and polling; a file is loaded once it has been unchanged
// for quietPeriod, and immediately on a rescan.
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
			f.log.Warn("notifications of zone files may be missed: all files are checked", "err", err) // usually the queue of notifications was full
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

// pendingFiles are the files that have changed and are not loaded yet. Only the watcher's goroutine may use it.
type pendingFiles struct {
	files  map[*managedZone]*pendingFile
	loaded map[*managedZone]fileStamp // the files' stamps when they were last loaded
	timer  *time.Timer                // fires when pending files must be checked again
}

// add records that a zone's file has changed now.
func (p *pendingFiles) add(z *managedZone) {
	now := time.Now()
	if f := p.files[z]; f != nil {
		f.lastChange = now
	} else {
		p.files[z] = &pendingFile{firstChange: now, lastChange: now, stamp: fileStampOf(z.config.File)}
	}
	p.timer.Reset(quietPeriod / 4)
}

// loadQuiet loads the files that have not changed for quietPeriod, or have been changing for maxQuietWait.
func (p *pendingFiles) loadQuiet() {
	now := time.Now()
	for z, f := range p.files {
		if s := fileStampOf(z.config.File); s != f.stamp {
			f.stamp, f.lastChange = s, now
		}
		if now.Sub(f.lastChange) >= quietPeriod || now.Sub(f.firstChange) >= maxQuietWait {
			delete(p.files, z)
			p.loaded[z] = f.stamp
			z.loadFile() // logs its errors itself
		}
	}
	if len(p.files) > 0 {
		p.timer.Reset(quietPeriod / 4)
	}
}

// isOwnFile reports whether a file in the folder of the zone's file is written by the sender itself.
func (z *managedZone) isOwnFile(name string) bool {
	return name == z.config.File+".before"
}
