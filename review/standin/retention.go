package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"
)

const (
	retentionTime = 60 * time.Second        // retention_s of the route
	freezeTime    = 3100 * time.Millisecond // the site freezes edge machines for up to 3.2 s
	continueAt    = 59850 * time.Millisecond
)

// retention freezes one gateway of ten, and sends it, before the retention of a turn has passed, the turn that goes on from there.
func retention(record io.Writer, trouble bool) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return cannot
	}
	defer os.RemoveAll(dir)
	p, err := startPlatform(3, 1)
	if err != nil {
		return cannot
	}
	t, err := newTier(dir, p.address, 4, 4, 10)
	if err != nil {
		return cannot
	}
	defer t.killAll()
	if err := t.startAll(); err != nil || !t.configure(context.Background(), 20*time.Second) {
		return cannot
	}
	first := &turn{attempt: "first", program: "p", input: "first question|"}
	first.do(t.at(t.gateways[1], frontendPort))
	answered := time.Now()
	fmt.Fprintln(record, first)
	if !first.complete {
		return cannot
	}
	frozen := t.gateways[0]
	time.Sleep(time.Until(answered.Add(continueAt - 50*time.Millisecond)))
	if trouble {
		fmt.Fprintf(record, "trouble: %s of ten gateways is stopped for %v\n", frozen.name, freezeTime)
		frozen.signal(syscall.SIGSTOP)
		resume := time.AfterFunc(freezeTime, func() { frozen.signal(syscall.SIGCONT) })
		defer resume.Stop()
	}
	time.Sleep(time.Until(answered.Add(continueAt)))
	next := &turn{attempt: "next", previous: "first", program: "p", input: "second question|"}
	next.do(t.at(frozen, frontendPort))
	age := next.sent.Sub(answered)
	fmt.Fprintf(record, "sent %v after the end of the answer of its Previous (retention_s is %v): %v\n", age.Round(time.Millisecond), retentionTime, next)
	switch {
	case age >= retentionTime:
		return cannot
	case next.status == 404 || next.status == 410:
		fmt.Fprintln(record, "BROKEN LOST: a turn whose Previous was answered whole less than retention_s before gets", next.status)
		return broken
	case next.status != 200 && !trouble:
		return cannot
	}
	return held
}
