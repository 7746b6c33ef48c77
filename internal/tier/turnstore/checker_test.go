package turnstore

import (
	"fmt"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

const (
	ok      = tierv1.Verdict_OK
	spent   = tierv1.Verdict_SPENT
	unknown = tierv1.Verdict_UNKNOWN
	moved   = tierv1.Verdict_MOVED
	busy    = tierv1.Verdict_BUSY
)

// checker is a client that records acknowledged turns and charges, and checks later replies against them.
type checker struct {
	cluster  *cluster
	stored   []string          // attempts whose turn was acknowledged as stored
	previous map[string]string // previous by attempt
	granted  map[string]uint64 // tokens by attempt: the maximum once Begin is answered OK, then those of the settlement
}

func newChecker(c *cluster) *checker {
	return &checker{cluster: c, previous: map[string]string{}, granted: map[string]uint64{}}
}

// begin calls Begin and checks the reply: no stored turn is unknown, the budget is not exceeded, and the chain is complete.
func (k *checker) begin(to string, r *tierv1.BeginRequest) tierv1.Verdict {
	k.cluster.t.Helper()
	w := &transport{cluster: k.cluster, to: to}
	reply, err := w.Begin(k.cluster.ctx, r)
	if err != nil {
		return tierv1.Verdict_VERDICT_UNSPECIFIED
	}
	if reply.Verdict == tierv1.Verdict_UNKNOWN {
		for _, a := range k.stored {
			assert.Assert(k.cluster.t, a != r.Previous, "stored turn %s is unknown", a)
		}
	}
	if reply.Verdict == tierv1.Verdict_OK {
		if _, again := k.granted[r.Attempt]; !again {
			k.granted[r.Attempt] = r.MaxTokens
		}
		if r.Limited {
			var sum uint64
			for _, n := range k.granted {
				sum += n
			}
			assert.Assert(k.cluster.t, sum <= r.Budget, "%d tokens granted of %d", sum, r.Budget)
		}
		if !r.ChainKnown {
			want := []string{}
			for a := r.Previous; a != ""; a = k.previous[a] {
				want = append([]string{a}, want...)
			}
			got := []string{}
			for _, t := range reply.Chain {
				got = append(got, t.Attempt)
				assert.Equal(k.cluster.t, string(t.Output), "out "+t.Attempt)
			}
			assert.DeepEqual(k.cluster.t, got, want)
		}
	}
	return reply.Verdict
}

// settle settles an attempt with its turn, and records what is acknowledged.
func (k *checker) settle(to, program, attempt, previous string, tokens uint64) tierv1.Verdict {
	k.cluster.t.Helper()
	w := &transport{cluster: k.cluster, to: to}
	reply, err := w.Settle(k.cluster.ctx, &tierv1.SettleRequest{Program: program, Attempt: attempt, Stored: true, Tokens: tokens,
		Turn: turn(program, attempt, previous)})
	if err != nil {
		return tierv1.Verdict_VERDICT_UNSPECIFIED
	}
	if reply.Verdict == tierv1.Verdict_OK {
		k.stored = append(k.stored, attempt)
		k.previous[attempt] = previous
		k.granted[attempt] = tokens
	}
	return reply.Verdict
}

// mustStore begins and settles a turn.
func (k *checker) mustStore(to, attempt, previous string) {
	k.cluster.t.Helper()
	assert.Equal(k.cluster.t, k.begin(to, beginRequest(attempt, previous)), ok)
	assert.Equal(k.cluster.t, k.settle(to, "p", attempt, previous, 10), ok)
}

// beginUntilNotBusy retries Begin while the verdict is BUSY, up to 100 times.
func (k *checker) beginUntilNotBusy(to string, r *tierv1.BeginRequest) tierv1.Verdict {
	k.cluster.t.Helper()
	v := busy
	for range 100 {
		if v = k.begin(to, r); v != busy {
			break
		}
	}
	return v
}

// release settles an attempt with no tokens and no turn.
func (k *checker) release(to, attempt string) tierv1.Verdict {
	k.cluster.t.Helper()
	w := &transport{cluster: k.cluster, to: to}
	reply, err := w.Settle(k.cluster.ctx, &tierv1.SettleRequest{Program: "p", Attempt: attempt})
	if err != nil {
		return tierv1.Verdict_VERDICT_UNSPECIFIED
	}
	if reply.Verdict == ok {
		k.granted[attempt] = 0
	}
	return reply.Verdict
}

func newPair(t reporter) (*cluster, *checker) { return newPairWith(t, injection{}) }

// newPairWith is newPair with an injected fault.
func newPairWith(t reporter, injected injection) (*cluster, *checker) {
	c := newClusterWith(t, injected, "a", "b", "c")
	c.assign("a", "b")
	c.publish()
	return c, newChecker(c)
}

func turn(program, attempt, previous string) *tierv1.Turn {
	return &tierv1.Turn{Attempt: attempt, Previous: previous, Program: program, Input: []byte("in " + attempt),
		Output: []byte("out " + attempt), RetentionMs: 60_000}
}

func beginRequest(attempt, previous string) *tierv1.BeginRequest {
	return &tierv1.BeginRequest{Program: "p", Attempt: attempt, Previous: previous, Limited: true, Budget: 100, MaxTokens: 20,
		RetentionMs: 60_000}
}

// beginRequestMaxTokens returns a Begin that reserves maxTokens of a budget of 100 tokens.
func beginRequestMaxTokens(attempt string, maxTokens uint64) *tierv1.BeginRequest {
	r := beginRequest(attempt, "")
	r.MaxTokens = maxTokens
	return r
}

func attemptName(n int) string { return fmt.Sprintf("t%d", n) }
