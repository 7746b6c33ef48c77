package session

import (
	"context"
	"math"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// candidates returns the addresses of all processes that may be the primary or may name it, the hint first.
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
	client           *Client
	calls            context.Context // of the calls, which may outlast the search
	answers          chan searchAnswer
	queriedAddresses map[string]bool
}

// searchAnswer is the answer of one candidate; reply is nil where the call failed.
type searchAnswer struct {
	address string
	reply   *tierv1.WatchReply
	took    time.Duration
}

// findPrimary queries all candidates concurrently and returns the first answer of a primary, or an empty one if there is none
// within limit. Calls without an answer by then continue for a while (lateAnswerDivisor): the next search can use a connection
// that is established meanwhile, and a late answer shows that the primary is distant and this process not partitioned.
func (client *Client) findPrimary(ctx context.Context, limit time.Duration) searchAnswer {
	all := client.candidates()
	calls, cancelCalls := context.WithTimeout(ctx, client.config.Settings.ContactWindow/lateAnswerDivisor)
	ctx, cancel := context.WithTimeout(calls, limit)
	defer cancel()
	attempt := &search{client: client, calls: calls, answers: make(chan searchAnswer, 2*len(all)+8), queriedAddresses: map[string]bool{}}
	primary := attempt.run(ctx, all)
	if primary.address != "" {
		cancelCalls()
	} else {
		context.AfterFunc(calls, cancelCalls)
	}
	return primary
}

// run queries the candidates until one is the primary, and returns its answer; an empty one if ctx ends before.
func (s *search) run(ctx context.Context, all []string) searchAnswer {
	for _, address := range all {
		s.query(ctx, address)
	}
	for len(s.queriedAddresses) > 0 {
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
		s.query(ctx, got.reply.PrimaryHint)
	}
	return searchAnswer{}
}

// query starts to query one candidate, unless it is being queried already or too many are.
func (s *search) query(ctx context.Context, at string) {
	if s.queriedAddresses[at] || at == "" || len(s.queriedAddresses) >= cap(s.answers) {
		return
	}
	s.queriedAddresses[at] = true
	go s.queryUntilPrimary(ctx, at)
}

// queryUntilPrimary queries one candidate until it is the primary or ctx ends. It repeats the query, even while other
// candidates have not answered, because the candidate may become the primary at any moment.
func (s *search) queryUntilPrimary(ctx context.Context, at string) {
	config := &s.client.config
	for {
		begun := time.Now()
		// The request claims the newest versions, so that the reply has no updates: these are for the long poll.
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
