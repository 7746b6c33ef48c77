package upstream

import (
	"bufio"
	"hash/maphash"
	"net"
	"time"
)

// conn is a connection to an endpoint. It is in the pool while idle, else of one call.
type conn struct {
	*net.TCPConn
	reader *bufio.Reader // nil while idle
	key    hostKey
	host   *host
	// requests counts those of which a byte was written, answers those read whole, whoever they are to. A connection on
	// which they differ is never used again.
	requests, responses int
	recentAttempts      [recentAttemptCount]uint64 // hashes of the attempt ids of the last requests

	idleSince time.Time // when it last carried an answer, or came up
	expiresAt time.Time // until when it may be used again
	scratch   []byte    // for heads
}

var attemptSeed = maphash.MakeSeed()

// attemptHash is never 0, which stands for no request.
func attemptHash(attempt string) uint64 { return maphash.String(attemptSeed, attempt) | 1 }

// recordRequest notes that a byte of a request was written.
func (conn *conn) recordRequest(attempt string) {
	conn.recentAttempts[conn.requests%recentAttemptCount] = attemptHash(attempt)
	conn.requests++
}
