package gateway

import (
	"container/list"
	"sync"
)

// maxAffinityEntries is how many lines a gateway remembers the endpoints of.
const maxAffinityEntries = 8192

// affinityTable remembers which endpoint ran a line of turns last, where no turn store keeps that with the text: what its engine holds of the
// line need not be read again. Least recently used out first. It is safe for concurrent use.
type affinityTable struct {
	mu      sync.Mutex
	order   list.List // of *home, the one used last in front
	entries map[string]*list.Element
}

// affinityEntry is where a line was run.
type affinityEntry struct{ key, instance string }

func newAffinityTable() *affinityTable { return &affinityTable{entries: map[string]*list.Element{}} }

// record remembers the endpoint that ran what the keys name.
func (homes *affinityTable) record(instance string, keys ...string) {
	homes.mu.Lock()
	defer homes.mu.Unlock()
	for _, key := range keys {
		if key == "" {
			continue
		}
		if element := homes.entries[key]; element != nil {
			element.Value.(*affinityEntry).instance = instance
			homes.order.MoveToFront(element)
			continue
		}
		homes.entries[key] = homes.order.PushFront(&affinityEntry{key, instance})
		if homes.order.Len() > maxAffinityEntries {
			oldest := homes.order.Back()
			delete(homes.entries, homes.order.Remove(oldest).(*affinityEntry).key)
		}
	}
}

// find gives the endpoint of the first key that is known; empty: none.
func (homes *affinityTable) find(keys ...string) string {
	homes.mu.Lock()
	defer homes.mu.Unlock()
	for _, key := range keys {
		if element := homes.entries[key]; element != nil {
			homes.order.MoveToFront(element)
			return element.Value.(*affinityEntry).instance
		}
	}
	return ""
}

// affinityKeys are what a stream that is not kept is found by: its session, and the parts of its prompt from the last one on. The
// prompt of a line that branches off begins with that of another one, whose last part is among its own.
func (request *clientRequest) affinityKeys() []string {
	keys := make([]string, 0, len(request.prefix)+1)
	if session := request.x.Header.Get("Session"); session != "" {
		keys = append(keys, "session "+session)
	}
	for i := len(request.prefix) - 1; i >= 0; i-- {
		keys = append(keys, "part "+request.prefix[i])
	}
	return keys
}

// recordAffinity remembers where the stream was run, by its session and the last part of its prompt: the parts before are shared with others.
func (request *clientRequest) recordAffinity(instance string) {
	if keys := request.affinityKeys(); len(keys) > 0 {
		request.gateway.affinity.record(instance, keys[:min(len(keys), 2)]...)
	}
}
