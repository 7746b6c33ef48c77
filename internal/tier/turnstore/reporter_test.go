package turnstore

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// reporter is whom checks report to: a test, or an observer of a planted fault.
type reporter interface {
	assert.TestingT
	Helper()
	Cleanup(func())
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

var _ reporter = (*testing.T)(nil)

// observer notes what checks report, and ends the play at the first failure, as a test does.
type observer struct {
	mu       sync.Mutex
	failed   bool
	said     []string
	cleanups []func()
}

// observe plays in a goroutine of its own and gives what the checks said, empty where nothing failed.
func observe(play func(reporter)) (failure string) {
	o := &observer{}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer o.cleanUp()
		play(o)
	}()
	<-ended
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.failed {
		return ""
	}
	return strings.Join(o.said, "\n")
}

// cleanUp does what was to be done at the end, the last first.
func (o *observer) cleanUp() {
	for _, cleanup := range slices.Backward(o.cleanups) {
		cleanup()
	}
}

func (o *observer) Helper() {}

func (o *observer) Cleanup(f func()) { o.cleanups = append(o.cleanups, f) }

func (o *observer) Log(args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.said = append(o.said, fmt.Sprint(args...))
}

func (o *observer) Fail() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failed = true
}

func (o *observer) FailNow() {
	o.Fail()
	runtime.Goexit()
}

func (o *observer) Fatal(args ...any) {
	o.Log(args...)
	o.FailNow()
}

func (o *observer) Fatalf(format string, args ...any) { o.Fatal(fmt.Sprintf(format, args...)) }

// An observer ends a play where a test would end, tells what failed, and cleans up.
func TestObserver(t *testing.T) {
	var cleaned []int
	failure := observe(func(r reporter) {
		r.Cleanup(func() { cleaned = append(cleaned, 1) })
		r.Cleanup(func() { cleaned = append(cleaned, 2) })
		assert.Check(r, false, "goes on")
		assert.Equal(r, 1, 2, "ends")
		cleaned = append(cleaned, 0)
	})
	assert.Assert(t, strings.Contains(failure, "goes on"), failure)
	assert.Assert(t, strings.Contains(failure, "ends"), failure)
	assert.DeepEqual(t, cleaned, []int{2, 1})
	assert.Equal(t, observe(func(r reporter) { r.Log("nothing failed") }), "")
}
