package upstream

import "errors"

// Values of Result.Err that are not network errors. Callers decide by Result.Outcome.
var (
	errInvalidRequest  = errors.New("upstream: request line or a header field is invalid")
	errDeadlinePassed  = errors.New("upstream: deadline of the call has passed")
	errNotPermitted    = errors.New("upstream: permit to send the request was denied")
	errConnectionLimit = errors.New("upstream: connection limit is reached")
	errConnectionEnded = errors.New("upstream: endpoint closed the connection")
	errMalformed       = errors.New("upstream: response is malformed or belongs to another request")
	errBodyTooLarge    = errors.New("upstream: response body is too large")
)
