package turnstore

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// appender is the part of a write-ahead log file that commits need.
type appender interface {
	Append(records ...[]byte) error
	Sync() error
}

// logBatch is records that are written and synced together.
type logBatch struct {
	records [][]byte
	to      appender
	done    chan struct{}
	err     error // set before done is closed
}

// groupCommitter writes batches in order: while one is synced, the next gathers. After a failure it takes nothing more.
type groupCommitter struct {
	mu      sync.Mutex
	file    appender
	next    *logBatch // gathers
	last    *logBatch // being written, or written last
	running bool
	began   time.Time // when the batch being written was begun; zero: none is
	now     func() time.Time
	failed  chan struct{} // closed at the first failure
	err     error
}

func newGroupCommitter(file appender, now func() time.Time) *groupCommitter {
	return &groupCommitter{file: file, now: now, failed: make(chan struct{})}
}

// add takes facts into the batch that gathers; without facts it gives the batch after which all added before is synced.
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

// switchTo makes what is added from now on go to another file. It gives the batch after which nothing is written to the
// one before.
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

func (c *groupCommitter) fail(err error) {
	if c.err == nil {
		c.err = err
		close(c.failed)
	}
}

func (c *groupCommitter) run() {
	for {
		c.mu.Lock()
		b := c.next
		if b == nil {
			c.running, c.began = false, time.Time{}
			c.mu.Unlock()
			return
		}
		c.next, c.last, c.began = nil, b, c.now()
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

func (c *groupCommitter) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

func (c *groupCommitter) broken() bool {
	select {
	case <-c.failed:
		return true
	default:
		return false
	}
}

// writing is how long the batch that is being written has been so; 0 where none is.
func (c *groupCommitter) writing(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.began.IsZero() {
		return 0
	}
	return now.Sub(c.began)
}
