package session

import (
	"context"
	"math"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// candidates returns the addresses of all that may be or know the primary, the hint first.
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

// search is one attempt to find the primary.
type search struct {
	client         *Client
	calls          context.Context // of the calls, which may outlast the search
	answers        chan searchAnswer
	askedAddresses map[string]bool
}

// searchAnswer is the answer of one candidate; reply is nil where the call failed.
type searchAnswer struct {
	address string
	reply   *tierv1.WatchReply
	took    time.Duration
}

// findPrimary asks all candidates at once who is the primary, and returns the answer of the first that says that it is; an
// empty one if none does within limit. Calls without an answer by then go on for a while (lateAnswerDivisor): a connection
// that is established meanwhile is of use to the next search, and a late answer shows that the primary is distant and this
// process not partitioned.
func (client *Client) findPrimary(ctx context.Context, limit time.Duration) searchAnswer {
	all := client.candidates()
	calls, cancelCalls := context.WithTimeout(ctx, client.config.Settings.ContactWindow/lateAnswerDivisor)
	ctx, cancel := context.WithTimeout(calls, limit)
	defer cancel()
	round := &search{client: client, calls: calls, answers: make(chan searchAnswer, 2*len(all)+8), askedAddresses: map[string]bool{}}
	primary := round.run(ctx, all)
	if primary.address != "" {
		cancelCalls()
	} else {
		context.AfterFunc(calls, cancelCalls)
	}
	return primary
}

// run asks until one candidate says that it is the primary, and returns its answer; an empty one if ctx ends before.
func (s *search) run(ctx context.Context, all []string) searchAnswer {
	for _, address := range all {
		s.ask(ctx, address)
	}
	for len(s.askedAddresses) > 0 {
		var got searchAnswer
		select {
		case got = <-s.answers:
		case <-ctx.Done():
			return searchAnswer{}
		}
		if got.reply == nil {
			continue
		}
		if got.reply.IsPrimary {
			return got
		}
		s.ask(ctx, got.reply.PrimaryHint)
	}
	return searchAnswer{}
}

// ask begins to ask one candidate, unless it is being asked already or too many are.
func (s *search) ask(ctx context.Context, at string) {
	if s.askedAddresses[at] || at == "" || len(s.askedAddresses) >= cap(s.answers) {
		return
	}
	s.askedAddresses[at] = true
	go s.askUntilPrimary(ctx, at)
}

// askUntilPrimary asks one candidate until it is the primary or ctx ends: one that is not may be so in a moment, whoever else
// has not answered yet.
func (s *search) askUntilPrimary(ctx context.Context, at string) {
	config := &s.client.config
	for {
		begun := time.Now()
		// It claims the newest version of all there is: updates are for the long poll.
		reply, err := config.Dial(at).Watch(s.calls, &tierv1.WatchRequest{Node: config.Settings.Node, Incarnation: s.client.incarnation,
			ConfigurationVersion: math.MaxUint64, EndpointsVersion: math.MaxUint64, PartitionMapVersion: math.MaxUint64, MembersVersion: math.MaxUint64})
		if err != nil {
			reply = nil
		}
		took := time.Since(begun)
		if ctx.Err() != nil {
			if reply.GetIsPrimary() && s.calls.Err() == nil {
				s.client.recordLateAnswer(at, took)
			}
			return
		}
		select {
		case s.answers <- searchAnswer{at, reply, took}:
		case <-ctx.Done():
			return
		}
		if reply.GetIsPrimary() {
			return
		}
		sleep(ctx, config.Settings.ContactWindow/searchPauseDivisor)
		if ctx.Err() != nil {
			return
		}
	}
}
