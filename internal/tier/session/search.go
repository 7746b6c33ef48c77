package session

import (
	"context"
	"math"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// candidates are all that may be or know the primary, the hint first.
func (client *Client) candidates() []string {
	client.mu.Lock()
	defer client.mu.Unlock()
	var all []string
	seen := map[string]bool{"": true}
	for _, list := range [][]string{{client.hint}, client.members, client.seeds} {
		for _, a := range list {
			if !seen[a] {
				seen[a] = true
				all = append(all, a)
			}
		}
	}
	return all
}

// search is one round of asking who is the primary.
type search struct {
	client  *Client
	calls   context.Context // of the calls that are made, which may outlast the search
	answers chan answer
	asked   map[string]bool // addresses
}

// answer is what one candidate replied; the reply is nil where the call failed.
type answer struct {
	at    string
	reply *tierv1.WatchReply
	took  time.Duration
}

// searchLimit is how long a search lasts at most after so many in a row that found no primary. Each second one of these has
// twice the time: a call that is broken off takes its connection with it, so where a new connection and a call together take
// longer than a search, as between distant regions, none would ever end.
func searchLimit(window time.Duration, failures int) time.Duration {
	limit := window / lookPart
	if failures%2 == 1 {
		return 2 * limit
	}
	return limit
}

// findPrimary asks all candidates at once who is the primary, and gives the answer of the first that says that it is;
// an empty one if none does within limit. Calls that have no answer by then go on for a while: a connection that comes to stand is
// of use to the next search, and the answer of a distant primary shows that this process is not cut off.
func (client *Client) findPrimary(ctx context.Context, limit time.Duration) answer {
	all := client.candidates()
	calls, cancelCalls := context.WithTimeout(ctx, client.config.Settings.ContactWindow/answerPart)
	ctx, cancel := context.WithTimeout(calls, limit)
	defer cancel()
	round := &search{client: client, calls: calls, answers: make(chan answer, 2*len(all)+8), asked: map[string]bool{}}
	primary := round.run(ctx, all)
	if primary.at != "" {
		cancelCalls()
	} else {
		context.AfterFunc(calls, cancelCalls)
	}
	return primary
}

// run asks until one says that it is the primary, and gives its answer; an empty one if ctx ends before.
func (round *search) run(ctx context.Context, all []string) answer {
	for _, address := range all {
		round.ask(ctx, address)
	}
	for len(round.asked) > 0 {
		var got answer
		select {
		case got = <-round.answers:
		case <-ctx.Done():
			return answer{}
		}
		if got.reply == nil {
			continue
		}
		if got.reply.IsPrimary {
			return got
		}
		round.ask(ctx, got.reply.PrimaryHint)
	}
	return answer{}
}

// ask asks one candidate, unless it is being asked already or too many are.
func (round *search) ask(ctx context.Context, at string) {
	if round.asked[at] || at == "" || len(round.asked) >= cap(round.answers) {
		return
	}
	round.asked[at] = true
	go round.askUntilPrimary(ctx, at)
}

// askUntilPrimary asks one candidate until it is the primary or ctx ends: one that is not may be it in a moment, whoever
// else is still waited for.
func (round *search) askUntilPrimary(ctx context.Context, at string) {
	config := &round.client.config
	for {
		begun := time.Now()
		// It claims to hold all: what is new is brought by the held call.
		reply, err := config.Dial(at).Watch(round.calls, &tierv1.WatchRequest{Node: config.Settings.Node, Incarnation: round.client.life,
			ConfigurationVersion: math.MaxUint64, EndpointsVersion: math.MaxUint64, PartitionMapVersion: math.MaxUint64, MembersVersion: math.MaxUint64})
		if err != nil {
			reply = nil
		}
		took := time.Since(begun)
		if ctx.Err() != nil {
			if reply.GetIsPrimary() && round.calls.Err() == nil {
				round.client.noteLateAnswer(at, took)
			}
			return
		}
		select {
		case round.answers <- answer{at, reply, took}:
		case <-ctx.Done():
			return
		}
		if reply.GetIsPrimary() {
			return
		}
		pause(ctx, config.Settings.ContactWindow/pausePart)
		if ctx.Err() != nil {
			return
		}
	}
}
