package gateway

import (
	"container/list"
	"sync"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// transcriptCache holds the texts of turns that went through this gateway, so that a turn store need not send them again: most turns of
// a line come through the same zone. It is a cache of what turn stores have kept, least recently used out first, and decides
// nothing: whether a turn stands is asked of its turn store each time.
type transcriptCache struct {
	mu        sync.Mutex
	capacity  int // bytes
	used      int
	order     list.List                // of *text, the one used last in front
	byAttempt map[string]*list.Element // by the last turn in it
	newestOf  map[string]string        // a session's newest such turn
}

// cachedPrompt is what an endpoint was given and gave up to the end of a turn.
type cachedPrompt struct {
	attempt, conversation, instance string
	prompt                          []byte
}

// newTranscriptCache makes a cache of at most room bytes of texts.
func newTranscriptCache(room int) *transcriptCache {
	return &transcriptCache{capacity: room, byAttempt: map[string]*list.Element{}, newestOf: map[string]string{}}
}

// nearest is the text of a turn, or else of the newest cached turn of its line.
func (cache *transcriptCache) nearest(previous, line string) *cachedPrompt {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	e := cache.byAttempt[previous]
	if e == nil {
		e = cache.byAttempt[cache.newestOf[line]]
	}
	if e == nil || previous == "" {
		return nil
	}
	cache.order.MoveToFront(e)
	return e.Value.(*cachedPrompt)
}

// add adds the text of a turn that its turn store has kept. prompt is not changed after.
func (cache *transcriptCache) add(t *cachedPrompt) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if len(t.prompt) > cache.capacity/8 || cache.byAttempt[t.attempt] != nil {
		return
	}
	if old := cache.byAttempt[cache.newestOf[t.conversation]]; old != nil && old.Value.(*cachedPrompt).conversation == t.conversation {
		cache.remove(old) // a line goes on from its newest turn
	}
	cache.byAttempt[t.attempt] = cache.order.PushFront(t)
	cache.newestOf[t.conversation] = t.attempt
	cache.used += len(t.prompt)
	for cache.used > cache.capacity {
		cache.remove(cache.order.Back())
	}
}

// remove takes a text out. The caller holds mu.
func (cache *transcriptCache) remove(e *list.Element) {
	t := e.Value.(*cachedPrompt)
	cache.order.Remove(e)
	cache.used -= len(t.prompt)
	delete(cache.byAttempt, t.attempt)
	if cache.newestOf[t.conversation] == t.attempt {
		delete(cache.newestOf, t.conversation)
	}
}

// assemblePrompt joins what is cached and the turns that follow it.
func assemblePrompt(from *cachedPrompt, chain []*tierv1.Turn, input []byte) []byte {
	size := len(input)
	if from != nil {
		size += len(from.prompt)
	}
	for _, t := range chain {
		size += len(t.Input) + len(t.Output)
	}
	if size == len(input) {
		return input
	}
	all := make([]byte, 0, size)
	if from != nil {
		all = append(all, from.prompt...)
	}
	for _, t := range chain {
		all = append(append(all, t.Input...), t.Output...)
	}
	return append(all, input...)
}
