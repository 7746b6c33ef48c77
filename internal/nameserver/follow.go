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
	settleTime = 200 * time.Millisecond  // a file counts as written when it has stood still for so long
	settleMost = 1500 * time.Millisecond // it is looked at then, whatever: two seconds are all there is
	writeAfter = 2 * time.Second         // updates are written into the zone's file so long after the first of them
	lookEvery  = 10 * time.Second        // files are looked at so often besides: a folder may be a mount that tells nothing
)

// files follows the files of zones: as they change, and now and then besides.
type files struct {
	watcher *fsnotify.Watcher
	zones   []*served
	log     *slog.Logger
	look    chan struct{} // all are looked at now
}

func newFiles(zones []*served, log *slog.Logger) (*files, error) {
	w, err := fsnotify.NewWatcher()
	if err != nil {
		return nil, err
	}
	f := &files{watcher: w, zones: zones, log: log, look: make(chan struct{}, 1)}
	seen := map[string]bool{}
	for _, z := range zones {
		// The folder, not the file: editors replace files, and what $INCLUDE names stands beside it.
		if dir := filepath.Dir(z.c.File); !seen[dir] {
			seen[dir] = true
			if err := w.Add(dir); err != nil {
				log.Warn("a folder can't be watched: it is looked at every now and then", "folder", dir, "err", err)
			}
		}
	}
	return f, nil
}

// stamp is what tells that a file has changed.
type stamp struct {
	size int64
	time time.Time
}

func stampOf(name string) stamp {
	info, err := os.Stat(name)
	if err != nil {
		return stamp{size: -1}
	}
	return stamp{info.Size(), info.ModTime()}
}

// dirty is a file that has changed, and may be changing still.
type dirty struct {
	since, still time.Time
	stamp        stamp
}

func (f *files) run(ctx context.Context) {
	defer f.watcher.Close()
	waiting := map[*served]*dirty{}
	timer := time.NewTimer(0)
	every := time.NewTicker(lookEvery)
	defer every.Stop()
	defer timer.Stop()
	mark := func(z *served) {
		now := time.Now()
		if d := waiting[z]; d != nil {
			d.still = now
		} else {
			waiting[z] = &dirty{since: now, still: now, stamp: stampOf(z.c.File)}
		}
		timer.Reset(settleTime / 4)
	}
	loaded := map[*served]stamp{}
	for _, z := range f.zones {
		loaded[z] = stampOf(z.c.File)
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
				if filepath.Dir(e.Name) == filepath.Dir(z.c.File) && !z.own(e.Name) {
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
		case <-f.look:
			for _, z := range f.zones {
				z.load()
				loaded[z] = stampOf(z.c.File)
			}
		case <-every.C:
			for _, z := range f.zones {
				if loaded[z] != stampOf(z.c.File) {
					mark(z)
				}
			}
		case <-timer.C:
		}
		now := time.Now()
		for z, d := range waiting {
			if s := stampOf(z.c.File); s != d.stamp {
				d.stamp, d.still = s, now
			}
			if now.Sub(d.still) >= settleTime || now.Sub(d.since) >= settleMost {
				delete(waiting, z)
				loaded[z] = d.stamp
				z.load() // it tells what is wrong
			}
		}
		if len(waiting) > 0 {
			timer.Reset(settleTime / 4)
		}
	}
}

// own reports whether a file is one that the daemon itself writes beside the zone's.
func (z *served) own(name string) bool {
	return name == z.c.File+".before"
}

// writeBack writes updates into zones' files, a while after they came.
func writeBack(ctx context.Context, zones []*served) {
	every := time.NewTicker(writeAfter)
	defer every.Stop()
	told := map[*served]string{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		for _, z := range zones {
			if !z.isBehind() {
				continue
			}
			err := z.write()
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
