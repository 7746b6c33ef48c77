package controlplane

import (
	"errors"
	"net/http"

	"saffronyard.example/saffronyard/internal/tier/coordination"
)

// fenceBody is the body of the response to a lock that was granted.
type fenceBody struct {
	Fence uint64 `json:"fence"`
}

// numberBody is the body of the response to a call of numbers.
type numberBody struct {
	Value uint64 `json:"value"`
}

// etagBody is the body of the response to a put: the revision of the key.
type etagBody struct {
	ETag uint64 `json:"etag"`
}

// keyBody is the body of the response to a read.
type keyBody struct {
	Value string `json:"value"`
	ETag  uint64 `json:"etag"`
}

// watchBody is the body of the response to a watch.
type watchBody struct {
	Events []eventBody `json:"events"`
	ETag   uint64      `json:"etag"` // revision of the group up to which events contains all puts
}

// eventBody is a put as a watch returns it.
type eventBody struct {
	Name  string `json:"name"`
	Value string `json:"value"`
	ETag  uint64 `json:"etag"`
}

// emptyBody is the body of a response that carries only a status.
type emptyBody struct{}

// coordinationResponse is the response for the result of a call.
func coordinationResponse(result coordination.Result) response {
	switch result := result.(type) {
	case coordination.LockGranted:
		return okResponse(fenceBody{result.Fence})
	case coordination.LockRenewed, coordination.LockReleased:
		return okResponse(emptyBody{})
	case coordination.LockUnavailable:
		return errorResponse(http.StatusConflict, "another holds the lock")
	case coordination.LockLost:
		return errorResponse(http.StatusConflict, "the lock is lost")
	case coordination.Number:
		return okResponse(numberBody{result.Value})
	case coordination.KeyWritten:
		return okResponse(etagBody{result.Revision})
	case coordination.KeyConflict:
		return jsonResponse(http.StatusPreconditionFailed, etagBody{result.Revision})
	case coordination.KeyFound:
		return okResponse(keyBody{result.Value, result.Revision})
	case coordination.KeyMissing:
		return errorResponse(http.StatusNotFound, "there is no such key")
	case coordination.GroupPuts:
		return okResponse(watchResponse(result))
	case coordination.HistoryGone:
		return errorResponse(http.StatusGone, "the history begins after this revision")
	}
	return unavailableResponse("the group has not reached this revision") // coordination.RevisionUnknown
}

// watchResponse returns the body for the puts that a watch returns.
func watchResponse(puts coordination.GroupPuts) watchBody {
	body := watchBody{Events: make([]eventBody, 0, len(puts.Puts)), ETag: puts.Revision}
	for _, put := range puts.Puts {
		body.Events = append(body.Events, eventBody{put.Name, put.Value, put.Revision})
	}
	return body
}

// coordinationErrorResponse is the response to a call without a result. It may be 503 only if the call had
// no effect and never will have one.
func coordinationErrorResponse(err error) response {
	switch {
	case errors.Is(err, coordination.ErrOutcomeUnknown):
		return errorResponse(http.StatusGatewayTimeout, err.Error())
	case errors.Is(err, coordination.ErrTooLarge):
		return errorResponse(http.StatusInsufficientStorage, err.Error())
	}
	return unavailableResponse(err.Error())
}
