package upstream

import (
	"bufio"
	"hash/maphash"
	"net"
	"time"
)

// conn is a connection to an endpoint. It belongs to the pool while idle, else to one call.
type conn struct {
	*net.TCPConn
	reader *bufio.Reader // nil while idle
	key    hostKey
	host   *host
	// requests counts the requests of which a byte was written; responses counts the responses read completely, to whichever request.
	// A connection on which the two differ is never used again.
	requests, responses int
	recentAttempts      [recentAttemptCount]uint64 // ring buffer of the hashes of the last requests' attempt ids

	idleSince time.Time // when it last carried a response, or was established
	expiresAt time.Time // when its idle time is over
	scratch   []byte    // buffer of heads, reused
}

var attemptSeed = maphash.MakeSeed()

// attemptHash returns a hash of an attempt id. The hash is never 0, which marks an unused entry of recentAttempts.
func attemptHash(attempt string) uint64 { return maphash.String(attemptSeed, attempt) | 1 }

// recordRequest records that a byte of a request was written.
func (conn *conn) recordRequest(attempt string) {
	conn.recentAttempts[conn.requests%recentAttemptCount] = attemptHash(attempt)
	conn.requests++
}
