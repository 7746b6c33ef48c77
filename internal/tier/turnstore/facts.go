package turnstore

import (
	"slices"
	"strconv"
	"strings"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// facts returns the facts of an entry, as they are written to a write-ahead log or sent to another replica.
func (p *partition) facts(e *entry) []*tierv1.Fact {
	list := make([]*tierv1.Fact, 0, 2)
	if e.reserved {
		list = append(list, &tierv1.Fact{Partition: p.id, Program: e.program.name, Attempt: e.attempt,
			Of: &tierv1.Fact_Reserved{Reserved: &tierv1.Reservation{Limited: e.limited, Budget: e.budget, MaxTokens: e.maxTokens,
				RetentionMs: e.retentionMs}}})
	}
	if e.settled {
		list = append(list, &tierv1.Fact{Partition: p.id, Program: e.program.name, Attempt: e.attempt,
			Of: &tierv1.Fact_Settled{Settled: &tierv1.Settlement{Tokens: e.tokens, Turn: e.turn}}})
	} else if e.turn != nil {
		list = append(list, &tierv1.Fact{Partition: p.id, Program: e.turn.Program, Attempt: e.attempt,
			Of: &tierv1.Fact_Adopted{Adopted: e.turn}})
	}
	return list
}

// Kinds of keys by which replicas compare their facts. A key is a kind followed by the attempt; that of kind tokensKey is followed by
// a slash and the number of tokens. They are sent in FactKeysReply and FetchRequest.
const (
	reservedKey = "r/"
	settledKey  = "s/"
	turnKey     = "a/" // the text of a turn, from a settlement or an adoption
	tokensKey   = "t/" // the tokens of a settlement, as a later one may have raised them; left out if 0
)

// tokensKey returns the key of the tokens of a settled entry.
func (e *entry) tokensKey() string {
	return tokensKey + e.attempt + "/" + strconv.FormatUint(e.tokens, 10)
}

// parseKey splits a key into its kind, its attempt and, for tokensKey, its tokens. It reports !ok for a malformed key or an unknown kind.
func parseKey(key string) (kind, attempt string, tokens uint64, ok bool) {
	if len(key) <= len(reservedKey) {
		return "", "", 0, false
	}
	kind, attempt = key[:len(reservedKey)], key[len(reservedKey):]
	switch kind {
	case reservedKey, settledKey, turnKey:
		return kind, attempt, 0, true
	case tokensKey:
		at := strings.LastIndexByte(attempt, '/')
		if at <= 0 {
			return "", "", 0, false
		}
		tokens, err := strconv.ParseUint(attempt[at+1:], 10, 64)
		return kind, attempt[:at], tokens, err == nil
	}
	return "", "", 0, false
}

// keys appends the keys of an entry to list.
func (e *entry) keys(list []string) []string {
	if e.reserved {
		list = append(list, reservedKey+e.attempt)
	}
	if e.settled {
		list = append(list, settledKey+e.attempt)
	}
	if e.settled && e.tokens > 0 {
		list = append(list, e.tokensKey())
	}
	if e.turn != nil {
		list = append(list, turnKey+e.attempt)
	}
	return list
}

// missingFrom reports whether a replica that has the keys held lacks a fact of the entry.
func (e *entry) missingFrom(held map[string]struct{}) bool {
	lacks := func(key string) bool { _, ok := held[key]; return !ok }
	return e.reserved && lacks(reservedKey+e.attempt) ||
		e.settled && lacks(settledKey+e.attempt) ||
		e.settled && e.tokens > 0 && lacks(e.tokensKey()) ||
		e.turn != nil && lacks(turnKey+e.attempt)
}

// has reports whether the partition has the fact that a key names. It returns true for a key that parseKey rejects, so that such a
// key is not fetched.
func (p *partition) has(key string) bool {
	kind, attempt, tokens, ok := parseKey(key)
	if !ok {
		return true
	}
	e := p.entries[attempt]
	if e == nil {
		return false
	}
	switch kind {
	case reservedKey:
		return e.reserved
	case settledKey:
		return e.settled
	case tokensKey:
		return e.settled && e.tokens >= tokens
	}
	return e.turn != nil
}

// missing returns the keys of the facts that the partition lacks.
func (p *partition) missing(keys []string) []string {
	return slices.DeleteFunc(slices.Clone(keys), p.has)
}
