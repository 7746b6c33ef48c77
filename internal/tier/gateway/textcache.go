package gateway

import (
	"container/list"
	"sync"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// textCache holds the texts of turns that went through this gateway, so that a turn store need not send them again: most turns of
// a line come through the same zone. It is a cache of what turn stores have kept, least recently used out first, and decides
// nothing: whether a turn stands is asked of its turn store each time.
type textCache struct {
	mu      sync.Mutex
	room    int // bytes
	used    int
	order   list.List                // of *text, the one used last in front
	attempt map[string]*list.Element // by the last turn in it
	line    map[string]string        // a session's newest such turn
}

// text is what an endpoint was given and gave up to the end of a turn.
type text struct {
	attempt, line, instance string
	prompt                  []byte
}

// newTextCache makes a cache of at most room bytes of texts.
func newTextCache(room int) *textCache {
	return &textCache{room: room, attempt: map[string]*list.Element{}, line: map[string]string{}}
}

// nearest is the text of a turn, or else of the newest cached turn of its line.
func (cache *textCache) nearest(previous, line string) *text {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	e := cache.attempt[previous]
	if e == nil {
		e = cache.attempt[cache.line[line]]
	}
	if e == nil || previous == "" {
		return nil
	}
	cache.order.MoveToFront(e)
	return e.Value.(*text)
}

// keep adds the text of a turn that its turn store has kept. prompt is not changed after.
func (cache *textCache) keep(t *text) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if len(t.prompt) > cache.room/8 || cache.attempt[t.attempt] != nil {
		return
	}
	if old := cache.attempt[cache.line[t.line]]; old != nil && old.Value.(*text).line == t.line {
		cache.drop(old) // a line goes on from its newest turn
	}
	cache.attempt[t.attempt] = cache.order.PushFront(t)
	cache.line[t.line] = t.attempt
	cache.used += len(t.prompt)
	for cache.used > cache.room {
		cache.drop(cache.order.Back())
	}
}

// drop takes a text out. The caller holds mu.
func (cache *textCache) drop(e *list.Element) {
	t := e.Value.(*text)
	cache.order.Remove(e)
	cache.used -= len(t.prompt)
	delete(cache.attempt, t.attempt)
	if cache.line[t.line] == t.attempt {
		delete(cache.line, t.line)
	}
}

// prompt joins what is cached and the turns that follow it.
func prompt(from *text, chain []*tierv1.Turn, input []byte) []byte {
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
