package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The case store-memory: programs bring turns whose input keeps within max_body_bytes. A burst brings 2.3 times as many of them at once. The
// platform's stand-in kills a process that goes over its memory_mb, and starts it again after a short delay. The rule is broken when that
// happens three times on each of two machines. Small conversations, begun before, go on all the while.
const (
	storeGateways      = 6
	storeEndpoints     = 9
	largeInput         = 4_000_000 // bytes; max_body_bytes is 4194304
	largePromptTokens  = 1000      // X-Token-Usage of such a turn
	usualLarge         = 34        // large turns at once
	burstLarge         = 78        // in a burst, 2.3 times as many
	largeStream        = 2500 * time.Millisecond
	largeArrival       = 400 * time.Millisecond // within which they begin
	smallConversations = 24
	smallPause         = time.Second // between two turns of a small conversation
	burstLeadTime      = 5 * time.Second
	observeTime        = 40 * time.Second       // after the begin of the burst
	turnTries          = 3                      // of a turn, each with as many tries as a request has
	requestTries       = 2                      // after a promise that the request has not run
	retryAfter         = 250 * time.Millisecond // between these
)

func init() { cases["store-memory"] = storeMemory }

// conversation is a small conversation that goes on, one turn after the other.
type conversation struct {
	name, last    string
	served, tried int
}

// storeMemory plays the case.
func storeMemory(l *lab, trouble bool) (verdict, error) {
	serve := func(w http.ResponseWriter, r *http.Request, body string) {
		w.Header().Set("Content-Type", "text/event-stream")
		until := time.Now()
		if strings.HasPrefix(body, "large") {
			until = until.Add(largeStream)
		}
		for n := 1; ; n++ {
			if !sendEvent(w, n, fmt.Sprintf("%s says %d", r.Header.Get("X-Attempt-Id"), n)) {
				panic(http.ErrAbortHandler)
			}
			if !time.Now().Before(until) {
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	for range storeEndpoints {
		if err := l.platform.add(serve); err != nil {
			return verdict{}, err
		}
	}
	if err := l.start(tierSize{cores: 3, stores: 4, gateways: storeGateways}); err != nil {
		return verdict{}, err
	}
	if err := l.configure(); err != nil {
		return verdict{}, err
	}
	burst := time.Now().Add(burstLeadTime)
	end := burst.Add(observeTime)
	var running, watching sync.WaitGroup
	stores := l.of("turn-store")
	limits := make([]memoryWatch, len(stores))
	for i, store := range stores {
		watching.Go(func() { limits[i].run(store, end) })
	}
	talks := make([]conversation, smallConversations)
	for i := range talks {
		talks[i].name = fmt.Sprintf("small%d", i)
		running.Go(func() { l.talk(&talks[i], end) })
	}
	large := usualLarge
	if trouble {
		large = burstLarge
	}
	for i := range large {
		running.Go(func() {
			time.Sleep(time.Until(burst) + rand.N(largeArrival))
			l.largeTurn(i)
		})
	}
	running.Wait()
	watching.Wait()
	var result verdict
	machines := 0
	for i, store := range stores {
		l.note("%s: peak %d MB, over its limit %d times", store.node, limits[i].peak, limits[i].kills)
		if limits[i].kills >= ownEnds {
			machines++
		}
	}
	for i := range talks {
		result.checked += talks[i].served
		l.note("conversation %s: %d of %d tries served", talks[i].name, talks[i].served, talks[i].tried)
	}
	if machines >= 2 {
		result.broken = append(result.broken, fmt.Sprintf("Fault: on %d machines processes went over memory_mb (%d) %d times or more", machines, memoryLimitMB, ownEnds))
	}
	return result, nil
}

// talk goes on with a conversation until the given time.
func (l *lab) talk(c *conversation, until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		t := turn{program: c.name, session: "s", previous: c.last, input: fmt.Sprintf("%s asks %d\n", c.name, n), budget: 1_000_000, maxTokens: 20}
		a := l.send(context.Background(), l.frontend(rand.N(storeGateways)), t)
		c.tried++
		if a.status == http.StatusOK && a.complete {
			c.served++
			c.last = a.id
		}
		time.Sleep(smallPause)
	}
}

// largeTurn sends a large turn, and sends it again at most twice if it fails. Each time it is tried once more after a 503.
func (l *lab) largeTurn(number int) {
	name := fmt.Sprintf("large%d", number)
	for range turnTries {
		for range requestTries {
			t := turn{program: name, session: "s", input: name + strings.Repeat("x", largeInput) + "\n", promptTokens: largePromptTokens, budget: 10_000, maxTokens: 100}
			a := l.send(context.Background(), l.frontend(rand.N(storeGateways)), t)
			if a.status == http.StatusOK && a.complete || a.status == http.StatusNotFound || a.status == http.StatusPaymentRequired {
				return
			}
			if a.status != http.StatusServiceUnavailable {
				break
			}
			time.Sleep(retryAfter)
		}
		time.Sleep(100*time.Millisecond + rand.N(300*time.Millisecond))
	}
}
