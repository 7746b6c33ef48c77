package tierdemo

import (
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const holdUpEvery = 100 * time.Millisecond

// holdUps measures how long the machine itself keeps a rehearsal waiting: for the processor, and for the disk to sync. Rules
// with a bound in time do not hold then.
type holdUps struct {
	mu        sync.Mutex
	begun     time.Time // of the measurement under way; zero: none
	allowed   time.Duration
	processor time.Duration // longest
	disk      time.Duration
	seen      []heldUp // those over a tenth of a second
}

type heldUp struct {
	until time.Time
	took  time.Duration
}

// run measures until ctx ends, in a file of its own.
func (h *holdUps) run(ctx context.Context, dir string) error {
	file, err := os.Create(filepath.Join(dir, "hold-up"))
	if err != nil {
		return err
	}
	defer file.Close()
	for ctx.Err() == nil {
		h.begin(holdUpEvery)
		pause(ctx, holdUpEvery)
		h.end(&h.processor)
		h.begin(0)
		if _, err := file.WriteAt([]byte{1}, 0); err != nil {
			return err
		}
		if err := file.Sync(); err != nil {
			return err
		}
		h.end(&h.disk)
	}
	return nil
}

func (h *holdUps) begin(allowed time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.begun, h.allowed = time.Now(), allowed
}

func (h *holdUps) end(longest *time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	took := time.Since(h.begun) - h.allowed
	*longest = max(*longest, took)
	if took > holdUpEvery {
		h.seen = append(h.seen, heldUp{time.Now(), took})
	}
	h.begun = time.Time{}
}

// worst is the longest hold-up that has ended since, or is under way.
func (h *holdUps) worst(since time.Time) (worst time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, one := range h.seen {
		if one.until.After(since) {
			worst = max(worst, one.took)
		}
	}
	if !h.begun.IsZero() {
		worst = max(worst, time.Since(h.begun)-h.allowed)
	}
	return worst
}

func (h *holdUps) longest() (processor, disk time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.processor, h.disk
}
