package gateway_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/tiertest"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// What a try reserved that has not run, or was broken off, is free again when its client hears of it: a 402 at the next try
// would end its program.
func TestRelease_NextAttemptFindsBudgetFree(t *testing.T) {
	for name, fails := range map[string]func(*tiertest.ReceivedRequest){
		"refused":         func(a *tiertest.ReceivedRequest) { a.RespondUnsigned(503, "X-Not-Executed: full\r\n") },
		"before an event": (*tiertest.ReceivedRequest).Reset,
		"broken off":      func(a *tiertest.ReceivedRequest) { say(a, 1); a.Reset() },
	} {
		t.Run(name, func(t *testing.T) {
			e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) {
				if a.Header.Get("X-Try") == "0" {
					fails(a)
					return
				}
				talk(a)
			})
			r := startGateway(t, e)
			spent := 0
			for n := range 50 {
				ask := func(try, most int) tiertest.Reply {
					return r.do(turnRequest(fmt.Sprintf("t-%d-%d", n, try), "", fmt.Sprintf("p-%d", n),
						fmt.Sprintf("X-Try: %d\r\nBudget: 20\r\nX-Token-Usage: 9,%d\r\n", try, most), "in"))
				}
				got := ask(0, 20)
				assert.Assert(t, got.Err != nil || got.Status >= 502, "%+v", got)
				if ask(1, 19).Status == 402 {
					spent++
				}
			}
			assert.Equal(t, spent, 0, "of 50 next tries, so many were told that the budget is spent")
		})
	}
}

// A 402 waits for every reservation of the program that is being given up here, not for the newest alone.
func TestRelease_SpentBudgetWaitsForAllReleases(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) {
		if strings.HasPrefix(a.AttemptID, "t-3") {
			talk(a)
			return
		}
		a.RespondUnsigned(503, "X-Not-Executed: full\r\n")
	})
	r := startGateway(t, e)
	begun := make(chan struct{})
	var once sync.Once
	r.turnStores.List[0].SetInterceptor(func(m tiertest.RPC) error {
		switch q := m.Request.(type) {
		case *tierv1.SettleRequest:
			if q.Attempt == "t-1" { // held until the third turn has been looked at
				select {
				case <-begun:
				case <-m.Ctx.Done():
					return m.Ctx.Err()
				}
			}
		case *tierv1.BeginRequest:
			if q.Attempt == "t-3" {
				defer once.Do(func() { close(begun) })
			}
		}
		return m.Serve()
	})
	ask := func(id string, most int) tiertest.Reply {
		return r.do(turnRequest(id, "", "p", fmt.Sprintf("Budget: 20\r\nX-Token-Usage: 9,%d\r\n", most), "in"))
	}
	assertNotExecuted(t, ask("t-1", 10))
	assertNotExecuted(t, ask("t-2", 10))
	got := ask("t-3", 20)
	for n := 0; got.Status == 503 && n < 100; n++ { // its endpoint is paused after refusals; a 402 is what may not come
		got = ask(fmt.Sprintf("t-3-%d", n), 20)
	}
	assert.Equal(t, got.Status, 200)
}
