package gateway

import (
	"container/list"
	"sync"
)

// maxAffinityEntries bounds the entries of an affinityTable.
const maxAffinityEntries = 8192

// affinityTable is an LRU cache of the instances that last ran the conversations that no turn store stores. The prefix cache of such an
// instance may still have the conversation. An affinityTable is safe for concurrent use.
type affinityTable struct {
	mu      sync.Mutex
	order   list.List // of *affinityEntry, the most recently used in front
	entries map[string]*list.Element
}

// affinityEntry is the instance that last ran a stream with a key.
type affinityEntry struct{ key, instance string }

// newAffinityTable returns an empty table.
func newAffinityTable() *affinityTable { return &affinityTable{entries: map[string]*list.Element{}} }

// record records the instance that ran a stream with the given keys. Empty keys are ignored.
func (table *affinityTable) record(instance string, keys ...string) {
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, key := range keys {
		if key == "" {
			continue
		}
		if element := table.entries[key]; element != nil {
			element.Value.(*affinityEntry).instance = instance
			table.order.MoveToFront(element)
			continue
		}
		table.entries[key] = table.order.PushFront(&affinityEntry{key, instance})
		if table.order.Len() > maxAffinityEntries {
			oldest := table.order.Back()
			delete(table.entries, table.order.Remove(oldest).(*affinityEntry).key)
		}
	}
}

// find returns the instance of the first key that has one, or an empty string.
func (table *affinityTable) find(keys ...string) string {
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, key := range keys {
		if element := table.entries[key]; element != nil {
			table.order.MoveToFront(element)
			return element.Value.(*affinityEntry).instance
		}
	}
	return ""
}

// affinityKeys returns the keys of a stream that is not stored: its session, and the parts of its prompt, the last one first. The prompt of
// a conversation that branches off another one begins with the prompt of the other one, so its parts include the last part of that prompt.
func (request *clientRequest) affinityKeys() []string {
	keys := make([]string, 0, len(request.prefix)+1)
	if session := request.exchange.Header.Get("Session"); session != "" {
		keys = append(keys, "session "+session)
	}
	for i := len(request.prefix) - 1; i >= 0; i-- {
		keys = append(keys, "part "+request.prefix[i])
	}
	return keys
}

// recordAffinity records the instance that ran the stream for its session and the last part of its prompt. Earlier parts are not
// recorded, as they are shared with other conversations.
func (request *clientRequest) recordAffinity(instance string) {
	if keys := request.affinityKeys(); len(keys) > 0 {
		request.gateway.affinity.record(instance, keys[:min(len(keys), 2)]...)
	}
}
