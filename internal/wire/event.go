package wire

// Codes of the event records, with their names in WIRE-saffronyard.md.
const (
	CodeHello          = 1  // hello: an instance starts
	CodeEndpointUpdate = 2  // directory_update
	CodeMessage        = 3  // submit
	CodeHead           = 4  // head_received; the decision module does not use it
	CodeAttemptResult  = 5  // attempt_end
	CodeWithdrawn      = 6  // cancelled_by_client
	CodeTimerFired     = 7  // alarm
	CodeStatus         = 8  // status_back; the decision module does not use it
	CodeInbox          = 9  // inbox; the decision module does not use it
	CodeExit           = 10 // exit: an instance ends
	CodeEndpointPage   = 11 // catalog: endpoints that updates refer to by their page
)

// Event is one record of a frame. Code determines which fields are set. Quoted names are those of WIRE-saffronyard.md.
type Event struct {
	Code     uint16
	Index    int // number of the record in its frame
	Offset   int // where the record starts in the frame body, in bytes
	Instance uint16

	// CodeHello
	Seed     uint64 // "nonce64"
	Settings string // "env": lines of path=value

	// CodeEndpointUpdate and CodeEndpointPage
	Scope     uint8 // 0: a change, 1 and 2: the complete list, 3: the request failed
	Page      uint32
	Endpoints []Endpoint // "nodesList"

	// CodeMessage, CodeAttemptResult and CodeWithdrawn
	Message uint64 // "call"

	// CodeMessage
	Tenant      uint16  // "billing"
	OrderingKey uint64  // "object"; 0 for none
	Class       uint8   // "priority"
	Destination float32 // "farEnd"
	Bits        uint8
	Deadline    float64 // "expires", ms of the clock

	// CodeAttemptResult
	Attempt      uint8 // "try"
	Endpoint     uint32
	Outcome      uint8     // "result"
	Elapsed      float64   // ms
	Final        bool      // "noMore"
	RetryAfterMs uint32    // "waitMs"
	LoadReport   []float32 // "telemetry"

	// CodeTimerFired
	Label uint32
}

// Endpoint is one entry of an endpoint list.
type Endpoint struct {
	Kind         uint16
	ID           uint32 // "endpoint"
	Rating       float32
	Destination  uint16 // "cell"
	Availability uint8  // 1: ready
	Zone         uint8  // "rackZone"
}

// endpointSize is the size of an Endpoint on the wire, in bytes.
const endpointSize = 22

// Batch is one frame of events.
type Batch struct {
	Clock  float64 // ms
	Events []Event
}
