package controlplane

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// retryAfterSeconds is the Retry-After of a response that is not final. (RFC 9110 has no fractions of seconds; the operators'
// documentation allows them.)
const retryAfterSeconds = "0.2"

// response is the response to an operator's or application's call.
type response struct {
	status   int
	body     []byte // JSON
	location string // of a redirect
}

// errorBody is the body of an error response or redirect.
type errorBody struct {
	Message string `json:"error_message"`
}

// final reports whether the response ends the call, so that the caller does not repeat it.
func (r response) final() bool {
	return r.status != http.StatusServiceUnavailable && r.status != http.StatusTemporaryRedirect
}

// write sends the response. Errors are ignored: a caller that does not get the response repeats its call.
func (r response) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(r.body)))
	if r.status == http.StatusServiceUnavailable {
		header.Set("Retry-After", retryAfterSeconds)
	}
	if r.location != "" {
		header.Set("Location", r.location)
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body)
}

// okResponse returns a 200 with a value as JSON.
func okResponse(value any) response { return jsonResponse(http.StatusOK, value) }

// errorResponse returns a final rejection. Only the primary may send one, see withholdUnlessPrimary.
func errorResponse(status int, message string) response {
	return jsonResponse(status, errorBody{Message: message})
}

// unavailableResponse returns a 503, which is not final: the outcome of a write is unknown, or no process can answer for now.
func unavailableResponse(message string) response {
	return jsonResponse(http.StatusServiceUnavailable, errorBody{Message: message})
}

// jsonResponse returns a response with a value as JSON.
func jsonResponse(status int, value any) response {
	body, err := json.Marshal(value)
	if err != nil {
		return response{status: http.StatusInternalServerError}
	}
	return response{status: status, body: body}
}

// withholdUnlessPrimary passes a final response on only while this process is the primary and in contact with its backups, and
// otherwise returns a 503. The decision may be old by now: the process may have been paused, or have waited for its gateways. A
// withheld decision stays valid, and the next attempt gets it again: an accepted change is in the change history, and a
// rejected one is rejected again.
func (plane *ControlPlane) withholdUnlessPrimary(r response) response {
	if _, inTouch := plane.Store.Primary(); !inTouch && r.final() {
		return unavailableResponse("out of touch with the backups")
	}
	return r
}
