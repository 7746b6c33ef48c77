package upstream

import "errors"

// What Result.Err is where the error is not that of the network. Callers go by Result.Outcome.
var (
	errInvalidRequest  = errors.New("upstream: request can't be written as it is")
	errDeadlinePassed  = errors.New("upstream: no time is left for the call")
	errNotPermitted    = errors.New("upstream: send is no longer permitted")
	errConnectionLimit = errors.New("upstream: limit of connections is reached")
	errConnectionEnded = errors.New("upstream: endpoint closed the connection")
	errMalformed       = errors.New("upstream: no valid response to the request")
	errBodyTooLarge    = errors.New("upstream: response body is too large")
)
