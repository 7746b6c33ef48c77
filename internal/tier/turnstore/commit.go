package turnstore

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// appender is the part of wal.File that a groupCommitter needs.
type appender interface {
	Append(records ...[]byte) error
	Sync() error
}

// logBatch is records that are written and synced together.
type logBatch struct {
	records [][]byte
	to      appender
	done    chan struct{} // closed when the records are synced, or the write or sync has failed
	err     error         // of the write or sync; set before done is closed
}

// groupCommitter is the group commit of the write-ahead log: while a batch is written and synced, the next one collects records. After
// a failure all further batches fail with the same error. Its methods are safe for concurrent use.
type groupCommitter struct {
	mu         sync.Mutex
	file       appender
	next       *logBatch // collects records; nil: empty
	last       *logBatch // being written, or the last one written
	running    bool
	writeBegan time.Time // when the write in progress began; zero: there is none
	now        func() time.Time
	failed     chan struct{} // closed at the first failure
	err        error
}

// newGroupCommitter returns a groupCommitter that writes to file and reads the clock now.
func newGroupCommitter(file appender, now func() time.Time) *groupCommitter {
	return &groupCommitter{file: file, now: now, failed: make(chan struct{})}
}

// add adds facts to the next batch and returns it. Without facts it returns the batch after which all facts added before are synced.
func (c *groupCommitter) add(facts ...*tierv1.Fact) *logBatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(facts) == 0 {
		switch {
		case c.next != nil:
			return c.next
		case c.last != nil:
			return c.last
		}
		b := &logBatch{done: make(chan struct{}), err: c.err}
		close(b.done)
		return b
	}
	if c.next == nil {
		c.next = &logBatch{done: make(chan struct{}), to: c.file}
	}
	b := c.next
	for _, f := range facts {
		record, err := proto.Marshal(f)
		if err != nil {
			c.fail(err)
			break
		}
		b.records = append(b.records, record)
	}
	if !c.running {
		c.running = true
		go c.run()
	}
	return b
}

// switchTo directs the records that are not being written yet, and all later ones, to another file. It returns the batch after which
// nothing is written to the former file.
func (c *groupCommitter) switchTo(file appender) *logBatch {
	c.mu.Lock()
	c.file = file
	if c.next != nil {
		c.next.to = file
	}
	b := c.last
	c.mu.Unlock()
	if b == nil {
		b = &logBatch{done: make(chan struct{})}
		close(b.done)
	}
	return b
}

// fail records the first error. The caller holds mu.
func (c *groupCommitter) fail(err error) {
	if c.err == nil {
		c.err = err
		close(c.failed)
	}
}

// run writes batches until there is none. It is the only writer while running is set.
func (c *groupCommitter) run() {
	for {
		c.mu.Lock()
		b := c.next
		if b == nil {
			c.running, c.writeBegan = false, time.Time{}
			c.mu.Unlock()
			return
		}
		c.next, c.last, c.writeBegan = nil, b, c.now()
		err := c.err
		c.mu.Unlock()
		if err == nil {
			if err = b.to.Append(b.records...); err == nil {
				err = b.to.Sync()
			}
			if err != nil {
				c.mu.Lock()
				c.fail(err)
				c.mu.Unlock()
			}
		}
		b.records = nil
		b.err = err
		close(b.done)
	}
}

// failure returns the first error, or nil.
func (c *groupCommitter) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// broken reports whether a write or sync has failed.
func (c *groupCommitter) broken() bool {
	select {
	case <-c.failed:
		return true
	default:
		return false
	}
}

// writeDuration returns how long the write in progress has lasted, or 0.
func (c *groupCommitter) writeDuration(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeBegan.IsZero() {
		return 0
	}
	return now.Sub(c.writeBegan)
}
