package peers

import (
	"time"
)

// The limits of the exchange of facts. A peer can cost no more than these, whatever it does.
const (
	maxChunkFacts      = 500              // in one piece
	maxChunkBytes      = 256 << 10        // of a piece that is taken in
	maxFollowers       = 64               // that are told at once
	maxChunksPerSecond = 100              // taken in of one peer; beyond that it floods
	maxChunkBurst      = 400              // at once: a first snapshot of 200,000 facts
	connectTimeout     = 2 * time.Second  // a peer is up within this
	keepaliveInterval  = 20 * time.Second // without a word, a ping is sent
	keepaliveTimeout   = 5 * time.Second  // and answered within this, or the stream is over
)
