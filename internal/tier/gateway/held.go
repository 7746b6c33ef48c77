package gateway

import (
	"container/list"
	"sync"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// held remembers the texts of turns that went through this gateway, so that a turn store need not send them again: most turns of
// a line come through the same zone. It is a cache of what turn stores have kept, least recently used out first, and decides
// nothing: whether a turn stands is asked of its turn store each time.
type held struct {
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

func newHeld(room int) *held {
	return &held{room: room, attempt: map[string]*list.Element{}, line: map[string]string{}}
}

// nearest is the text of a turn, or else of the newest turn of its line that is held.
func (h *held) nearest(previous, line string) *text {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.attempt[previous]
	if e == nil {
		e = h.attempt[h.line[line]]
	}
	if e == nil || previous == "" {
		return nil
	}
	h.order.MoveToFront(e)
	return e.Value.(*text)
}

// keep adds the text of a turn that its turn store has kept. prompt is not changed after.
func (h *held) keep(t *text) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(t.prompt) > h.room/8 || h.attempt[t.attempt] != nil {
		return
	}
	if old := h.attempt[h.line[t.line]]; old != nil && old.Value.(*text).line == t.line {
		h.drop(old) // a line goes on from its newest turn
	}
	h.attempt[t.attempt] = h.order.PushFront(t)
	h.line[t.line] = t.attempt
	h.used += len(t.prompt)
	for h.used > h.room {
		h.drop(h.order.Back())
	}
}

func (h *held) drop(e *list.Element) {
	t := e.Value.(*text)
	h.order.Remove(e)
	h.used -= len(t.prompt)
	delete(h.attempt, t.attempt)
	if h.line[t.line] == t.attempt {
		delete(h.line, t.line)
	}
}

// prompt joins what is held and the turns that follow it.
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
