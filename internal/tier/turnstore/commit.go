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

// batch is records that are written and synced together.
type batch struct {
	records [][]byte
	to      appender
	done    chan struct{}
	err     error // set before done is closed
}

// committer writes batches in order: while one is synced, the next gathers. After a failure it takes nothing more.
type committer struct {
	mu      sync.Mutex
	file    appender
	next    *batch // gathers
	last    *batch // being written, or written last
	running bool
	began   time.Time // when the batch being written was begun; zero: none is
	now     func() time.Time
	failed  chan struct{} // closed at the first failure
	err     error
}

func newCommitter(file appender, now func() time.Time) *committer {
	return &committer{file: file, now: now, failed: make(chan struct{})}
}

// add takes facts into the batch that gathers; without facts it gives the batch after which all added before is synced.
func (c *committer) add(facts ...*tierv1.Fact) *batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(facts) == 0 {
		switch {
		case c.next != nil:
			return c.next
		case c.last != nil:
			return c.last
		}
		b := &batch{done: make(chan struct{}), err: c.err}
		close(b.done)
		return b
	}
	if c.next == nil {
		c.next = &batch{done: make(chan struct{}), to: c.file}
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
func (c *committer) switchTo(file appender) *batch {
	c.mu.Lock()
	c.file = file
	if c.next != nil {
		c.next.to = file
	}
	b := c.last
	c.mu.Unlock()
	if b == nil {
		b = &batch{done: make(chan struct{})}
		close(b.done)
	}
	return b
}

func (c *committer) fail(err error) {
	if c.err == nil {
		c.err = err
		close(c.failed)
	}
}

func (c *committer) run() {
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

func (c *committer) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

func (c *committer) broken() bool {
	select {
	case <-c.failed:
		return true
	default:
		return false
	}
}

// writing is how long the batch that is being written has been so; 0 where none is.
func (c *committer) writing(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.began.IsZero() {
		return 0
	}
	return now.Sub(c.began)
}
