package gateway

import (
	"container/list"
	"sync"
)

// transcriptCache is an LRU cache of the texts of stored turns that went through this gateway, so that a turn store need not send them
// again: most turns of a conversation come through the same zone. It decides nothing: whether a turn can be continued is
// asked of its turn store each time. It is safe for concurrent use.
type transcriptCache struct {
	mu        sync.Mutex
	capacity  int // bytes
	used      int
	order     list.List                // of *cachedPrompt, the most recently used in front
	byAttempt map[string]*list.Element // elements by attempt
	newestOf  map[string]string        // by conversation: the attempt of its newest cached turn
}

// cachedPrompt is the text of a conversation up to the end of a turn: its prompt and its output. It is not modified.
type cachedPrompt struct {
	attempt, conversation string
	instance              string // that ran the turn
	prompt                []byte
}

// newTranscriptCache returns a cache of at most capacity bytes of texts.
func newTranscriptCache(capacity int) *transcriptCache {
	return &transcriptCache{capacity: capacity, byAttempt: map[string]*list.Element{}, newestOf: map[string]string{}}
}

// nearest returns the text of a turn, or else of the newest cached turn of its conversation, or nil.
func (cache *transcriptCache) nearest(previous, conversation string) *cachedPrompt {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	e := cache.byAttempt[previous]
	if e == nil {
		e = cache.byAttempt[cache.newestOf[conversation]]
	}
	if e == nil || previous == "" {
		return nil
	}
	cache.order.MoveToFront(e)
	return e.Value.(*cachedPrompt)
}

// add adds the text of a stored turn, unless it is too large. It replaces the newest one of its conversation.
func (cache *transcriptCache) add(t *cachedPrompt) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if len(t.prompt) > cache.capacity/8 || cache.byAttempt[t.attempt] != nil {
		return
	}
	if old := cache.byAttempt[cache.newestOf[t.conversation]]; old != nil && old.Value.(*cachedPrompt).conversation == t.conversation {
		cache.remove(old) // a conversation continues from its newest turn
	}
	cache.byAttempt[t.attempt] = cache.order.PushFront(t)
	cache.newestOf[t.conversation] = t.attempt
	cache.used += len(t.prompt)
	for cache.used > cache.capacity {
		cache.remove(cache.order.Back())
	}
}

// remove removes an element. The caller holds mu.
func (cache *transcriptCache) remove(e *list.Element) {
	t := e.Value.(*cachedPrompt)
	cache.order.Remove(e)
	cache.used -= len(t.prompt)
	delete(cache.byAttempt, t.attempt)
	if cache.newestOf[t.conversation] == t.attempt {
		delete(cache.newestOf, t.conversation)
	}
}
