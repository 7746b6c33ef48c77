package peers

import (
	"time"
)

// Limits of the exchange of facts. They bound the resources that any peer can use, whatever it does.
const (
	maxChunkFacts      = 500              // in one chunk sent
	maxChunkBytes      = 256 << 10        // of one chunk received
	maxFollowers       = 64               // served at once
	maxChunksPerSecond = 100              // received from one peer; more than that is flooding
	maxChunkBurst      = 400              // received at once: enough for a first snapshot of 200,000 facts
	connectTimeout     = 2 * time.Second  // for a connection to be set up, and for the first chunk of a stream
	keepaliveInterval  = 20 * time.Second // idle time after which a ping is sent
	keepaliveTimeout   = 5 * time.Second  // for the answer to a ping; after that the stream ends
)
