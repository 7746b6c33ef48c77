package gateway

import (
	"container/list"
	"sync"
)

// maxTextFraction limits a text to 1/maxTextFraction of the capacity of a transcriptCache.
const maxTextFraction = 8

// transcriptCache is an LRU cache of the texts of stored turns that this gateway has served, so that a turn store need not send them
// again: most turns of a conversation come through the same zone. The cache is not authoritative: for each new turn the turn store decides
// whether the previous one can be continued. It is safe for concurrent use.
type transcriptCache struct {
	mu        sync.Mutex
	capacity  int // bytes
	used      int
	order     list.List                // of *cachedPrompt, the most recently used in front
	byAttempt map[string]*list.Element // elements by attempt
	newestOf  map[string]string        // by conversation: the attempt of its newest cached turn
}

// cachedPrompt is the text of a conversation up to the end of a turn: its prompt and its output. It is immutable.
type cachedPrompt struct {
	attempt, conversation string
	instance              string // that ran the turn
	text                  []byte
}

// newTranscriptCache returns a cache of at most capacity bytes of texts.
func newTranscriptCache(capacity int) *transcriptCache {
	return &transcriptCache{capacity: capacity, byAttempt: map[string]*list.Element{}, newestOf: map[string]string{}}
}

// nearest returns the text of a turn, or else of the newest cached turn of its conversation, or nil.
func (cache *transcriptCache) nearest(previous, conversation string) *cachedPrompt {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	element := cache.byAttempt[previous]
	if element == nil {
		element = cache.byAttempt[cache.newestOf[conversation]]
	}
	if element == nil || previous == "" {
		return nil
	}
	cache.order.MoveToFront(element)
	return element.Value.(*cachedPrompt)
}

// add adds the text of a stored turn, unless it is too large. It replaces the newest cached text of its conversation.
func (cache *transcriptCache) add(entry *cachedPrompt) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if len(entry.text) > cache.capacity/maxTextFraction || cache.byAttempt[entry.attempt] != nil {
		return
	}
	if old := cache.byAttempt[cache.newestOf[entry.conversation]]; old != nil && old.Value.(*cachedPrompt).conversation == entry.conversation {
		cache.remove(old) // a conversation continues from its newest turn
	}
	cache.byAttempt[entry.attempt] = cache.order.PushFront(entry)
	cache.newestOf[entry.conversation] = entry.attempt
	cache.used += len(entry.text)
	for cache.used > cache.capacity {
		cache.remove(cache.order.Back())
	}
}

// remove removes an element. The caller holds mu.
func (cache *transcriptCache) remove(element *list.Element) {
	removed := element.Value.(*cachedPrompt)
	cache.order.Remove(element)
	cache.used -= len(removed.text)
	delete(cache.byAttempt, removed.attempt)
	if cache.newestOf[removed.conversation] == removed.attempt {
		delete(cache.newestOf, removed.conversation)
	}
}
