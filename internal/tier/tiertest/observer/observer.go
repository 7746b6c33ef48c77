// Package observer runs checks that are expected to fail: a test that injects a fault observes that a check finds it. It
// imports no package of the tier, so that the tests inside any of them can use it.
package observer

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Reporter is what checks report to: a test, or an observer of an injected fault.
type Reporter interface {
	assert.TestingT
	Helper()
	Cleanup(func())
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

var (
	_ Reporter = (*testing.T)(nil)
	_ Reporter = (*observer)(nil)
)

// observer records what checks report, and ends the run at the first fatal failure, as a test does.
type observer struct {
	mu       sync.Mutex
	failed   bool
	messages []string
	cleanups []func()
}

// Observe calls run in a goroutine of its own, waits for it and its cleanups, and returns the messages of the checks. They
// are empty where no check failed.
func Observe(run func(Reporter)) (failure string) {
	observer := &observer{}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer observer.cleanUp()
		run(observer)
	}()
	<-ended
	observer.mu.Lock()
	defer observer.mu.Unlock()
	if !observer.failed {
		return ""
	}
	return strings.Join(observer.messages, "\n")
}

// cleanUp calls the functions registered with Cleanup, the last first.
func (observer *observer) cleanUp() {
	for _, cleanup := range slices.Backward(observer.cleanups) {
		cleanup()
	}
}

// Helper implements Reporter. An observer reports no lines of code.
func (observer *observer) Helper() {}

// Cleanup implements Reporter.
func (observer *observer) Cleanup(cleanup func()) {
	observer.cleanups = append(observer.cleanups, cleanup)
}

// Log implements assert.TestingT.
func (observer *observer) Log(args ...any) {
	observer.mu.Lock()
	defer observer.mu.Unlock()
	observer.messages = append(observer.messages, fmt.Sprint(args...))
}

// Fail implements assert.TestingT.
func (observer *observer) Fail() {
	observer.mu.Lock()
	defer observer.mu.Unlock()
	observer.failed = true
}

// FailNow implements assert.TestingT.
func (observer *observer) FailNow() {
	observer.Fail()
	runtime.Goexit()
}

// Fatal implements Reporter.
func (observer *observer) Fatal(args ...any) {
	observer.Log(args...)
	observer.FailNow()
}

// Fatalf implements Reporter.
func (observer *observer) Fatalf(format string, args ...any) {
	observer.Fatal(fmt.Sprintf(format, args...))
}
