package controlplane

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// reporter is whom the checks of the model report to: a test, or an observer of a planted fault.
type reporter interface {
	assert.TestingT
	Helper()
	Fatalf(format string, args ...any)
}

var _ reporter = (*testing.T)(nil)

// observer notes what checks report, and ends the play at the first failure, as a test does. A play is one goroutine.
type observer struct {
	failed bool
	said   []string
}

// observe plays in a goroutine of its own and gives what the checks said, empty where nothing failed.
func observe(play func(reporter)) (failure string) {
	o := &observer{}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		play(o)
	}()
	<-ended
	if !o.failed {
		return ""
	}
	return strings.Join(o.said, "\n")
}

func (o *observer) Helper()         {}
func (o *observer) Log(args ...any) { o.said = append(o.said, fmt.Sprint(args...)) }
func (o *observer) Fail()           { o.failed = true }

func (o *observer) FailNow() {
	o.Fail()
	runtime.Goexit()
}

func (o *observer) Fatalf(format string, args ...any) {
	o.Log(fmt.Sprintf(format, args...))
	o.FailNow()
}

// An observer ends a play where a test would end, and tells what failed.
func TestObserver(t *testing.T) {
	reached := false
	failure := observe(func(r reporter) {
		assert.Check(r, false, "goes on")
		assert.Equal(r, 1, 2, "ends")
		reached = true
	})
	assert.Assert(t, strings.Contains(failure, "goes on"), failure)
	assert.Assert(t, strings.Contains(failure, "ends"), failure)
	assert.Assert(t, !reached)
	assert.Equal(t, observe(func(r reporter) { r.Log("nothing failed") }), "")
}
