package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case early-expiry: many turns end while the machine of one gateway freezes. Each turn that was answered whole is continued through
// another gateway shortly before its retention is over, and must not get a 404 or 410.
const (
	expiryGateways  = 6
	expiryEndpoints = 6
	expiryTurns     = 240 // through the gateway that freezes
	expiryLead      = 1500 * time.Millisecond
	expirySpread    = 60 * time.Millisecond // the turns end within this time around the freeze
	freezeTime      = 3 * time.Second
	continueAfter   = turnRetention - 400*time.Millisecond // from the end of the answer to the next turn
)

func init() { cases["early-expiry"] = earlyExpiry }

// earlyExpiry plays the case.
func earlyExpiry(l *lab, trouble bool) (verdict, error) {
	var freezeAt time.Time
	serve := func(w http.ResponseWriter, r *http.Request, body string) {
		w.Header().Set("Content-Type", "text/event-stream")
		last := time.Now().Add(5 * time.Millisecond)
		if !strings.Contains(body, "goes on") {
			last = freezeAt.Add(rand.N(expirySpread) - expirySpread/2)
		}
		for n := 1; ; n++ {
			pause := min(200*time.Millisecond, time.Until(last))
			time.Sleep(max(pause, 0))
			if !sendEvent(w, n, fmt.Sprintf("%s says %d", r.Header.Get("X-Attempt-Id"), n)) {
				panic(http.ErrAbortHandler)
			}
			if !time.Now().Before(last) {
				return
			}
		}
	}
	for range expiryEndpoints {
		if err := l.platform.add(serve); err != nil {
			return verdict{}, err
		}
	}
	if err := l.start(tierSize{cores: 3, stores: 4, gateways: expiryGateways}); err != nil {
		return verdict{}, err
	}
	if err := l.configure(); err != nil {
		return verdict{}, err
	}
	freezeAt = time.Now().Add(expiryLead)
	var result verdict
	var mu sync.Mutex
	var running sync.WaitGroup
	for n := range expiryTurns {
		running.Go(func() {
			name := fmt.Sprintf("p%d", n)
			t := turn{program: name, session: "s", input: name + " asks\n", budget: 1000, maxTokens: 100}
			first := l.send(context.Background(), l.frontend(0), t)
			if first.status != http.StatusOK || !first.complete {
				return
			}
			time.Sleep(time.Until(first.ended.Add(continueAfter)))
			t.previous, t.input = first.id, name+" goes on\n"
			age := time.Since(first.ended)
			next := l.send(context.Background(), l.frontend(1+n%(expiryGateways-1)), t)
			l.note("turn %s, which goes on from %s %.3f s after its end: %d", next.id, first.id, age.Seconds(), next.status)
			mu.Lock()
			defer mu.Unlock()
			if next.status == http.StatusOK || next.status == http.StatusNotFound || next.status == http.StatusGone {
				result.checked++
			}
			if age < turnRetention && (next.status == http.StatusNotFound || next.status == http.StatusGone) {
				result.broken = append(result.broken, fmt.Sprintf("LOST: turn %s names %s, answered whole %.3f s before (retention_s %v): %d", next.id, first.id,
					age.Seconds(), turnRetention.Seconds(), next.status))
			}
		})
	}
	time.Sleep(time.Until(freezeAt))
	if trouble {
		frozen := l.of("gateway")[0]
		if err := frozen.signal(syscall.SIGSTOP); err != nil {
			return verdict{}, err
		}
		time.Sleep(freezeTime)
		if err := frozen.signal(syscall.SIGCONT); err != nil {
			return verdict{}, err
		}
	}
	running.Wait()
	return result, nil
}
