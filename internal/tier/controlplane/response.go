package controlplane

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// retryAfterSeconds is the Retry-After of a response that leaves a call open. (Fractions are no part of RFC 9110; the operators'
// page allows them.)
const retryAfterSeconds = "0.2"

// response is what an operator's call gets.
type response struct {
	status   int
	body     []byte // JSON
	location string // of a redirect
}

// errorBody is the body of a response that is no success.
type errorBody struct {
	Message string `json:"error_message"`
}

// final tells whether the caller will not repeat the call.
func (r response) final() bool {
	return r.status != http.StatusServiceUnavailable && r.status != http.StatusTemporaryRedirect
}

// write sends the response. A caller that has gone is not noticed: it will ask again.
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

// okResponse is a 200 with a value as JSON.
func okResponse(value any) response { return jsonResponse(http.StatusOK, value) }

// errorResponse is a final rejection. Only the primary may give one, see withholdUnlessPrimary.
func errorResponse(status int, message string) response {
	return jsonResponse(status, errorBody{Message: message})
}

// unavailableResponse leaves a call open: the outcome of a write is unknown, or no process is known that could answer.
func unavailableResponse(message string) response {
	return jsonResponse(http.StatusServiceUnavailable, errorBody{Message: message})
}

// jsonResponse is a response with a value as JSON.
func jsonResponse(status int, value any) response {
	body, err := json.Marshal(value)
	if err != nil {
		return response{status: http.StatusInternalServerError}
	}
	return response{status: status, body: body}
}

// withholdUnlessPrimary passes a final response on only while this process is the primary and in touch with its backups. The
// decision may be old by now: the process may have been paused, or have waited for its gateways. What is withheld stays true,
// and the next attempt finds it again: a change that was accepted is in the change history, one that was rejected is rejected
// again.
func (plane *ControlPlane) withholdUnlessPrimary(r response) response {
	if _, inTouch := plane.Store.Primary(); !inTouch && r.final() {
		return unavailableResponse("out of touch with the backups")
	}
	return r
}
