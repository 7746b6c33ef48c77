package gateway

import (
	"container/list"
	"sync"
)

// maxHomes is how many lines a gateway remembers the endpoints of.
const maxHomes = 8192

// homes remembers which endpoint ran a line of turns last, where no turn store keeps that with the text: what its engine holds of the
// line need not be read again. Least recently used out first. It is safe for concurrent use.
type homes struct {
	mu    sync.Mutex
	order list.List // of *home, the one used last in front
	of    map[string]*list.Element
}

// home is where a line was run.
type home struct{ key, instance string }

func newHomes() *homes { return &homes{of: map[string]*list.Element{}} }

// note remembers the endpoint that ran what the keys name.
func (homes *homes) note(instance string, keys ...string) {
	homes.mu.Lock()
	defer homes.mu.Unlock()
	for _, key := range keys {
		if key == "" {
			continue
		}
		if element := homes.of[key]; element != nil {
			element.Value.(*home).instance = instance
			homes.order.MoveToFront(element)
			continue
		}
		homes.of[key] = homes.order.PushFront(&home{key, instance})
		if homes.order.Len() > maxHomes {
			oldest := homes.order.Back()
			delete(homes.of, homes.order.Remove(oldest).(*home).key)
		}
	}
}

// find gives the endpoint of the first key that is known; empty: none.
func (homes *homes) find(keys ...string) string {
	homes.mu.Lock()
	defer homes.mu.Unlock()
	for _, key := range keys {
		if element := homes.of[key]; element != nil {
			homes.order.MoveToFront(element)
			return element.Value.(*home).instance
		}
	}
	return ""
}

// homeKeys are what a stream that is not kept is found by: its session, and the parts of its prompt from the last one on. The
// prompt of a line that branches off begins with that of another one, whose last part is among its own.
func (request *clientRequest) homeKeys() []string {
	keys := make([]string, 0, len(request.prefix)+1)
	if session := request.x.Header.Get("Session"); session != "" {
		keys = append(keys, "session "+session)
	}
	for i := len(request.prefix) - 1; i >= 0; i-- {
		keys = append(keys, "part "+request.prefix[i])
	}
	return keys
}

// noteHome remembers where the stream was run, by its session and the last part of its prompt: the parts before are shared with others.
func (request *clientRequest) noteHome(instance string) {
	if keys := request.homeKeys(); len(keys) > 0 {
		request.gateway.homes.note(instance, keys[:min(len(keys), 2)]...)
	}
}
