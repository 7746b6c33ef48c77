package controlplane

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// retryAfterSeconds is told, in seconds, with each answer that leaves a call open.
const retryAfterSeconds = "0.2"

// response is what an operator's call gets.
type response struct {
	status   int
	body     []byte // JSON
	location string // of a redirect
}

// final tells whether the answer settles the call: the caller does not send it again.
func (a response) final() bool {
	return a.status != http.StatusServiceUnavailable && a.status != http.StatusTemporaryRedirect
}

func (a response) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	if a.status == http.StatusServiceUnavailable {
		header.Set("Retry-After", retryAfterSeconds)
	}
	if a.location != "" {
		header.Set("Location", a.location)
	}
	w.WriteHeader(a.status)
	w.Write(a.body)
}

// okResponse is a 200 with a value as JSON.
func okResponse(value any) response { return jsonResponse(http.StatusOK, value) }

// errorResponse is a final refusal. Only the primary may give one, see gate.
func errorResponse(status int, message string) response {
	return jsonResponse(status, map[string]string{"error_message": message})
}

// unavailableResponse leaves a call open: the outcome of a write is unknown, or nobody is known who could answer.
func unavailableResponse(message string) response {
	return jsonResponse(http.StatusServiceUnavailable, map[string]string{"error_message": message})
}

func jsonResponse(status int, value any) response {
	body, err := json.Marshal(value)
	if err != nil {
		return response{status: http.StatusInternalServerError}
	}
	return response{status: status, body: body}
}

// withholdUnlessPrimary lets a final answer out only while this process is the primary and in touch with its backups. The decision may be
// old by now: the process may have been paused, or have waited for its gateways. What it withholds stays true, and is
// found again by the next try: an order that was taken is in the order history, one that was refused is refused again.
func (plane *ControlPlane) withholdUnlessPrimary(a response) response {
	if _, inTouch := plane.Store.Primary(); !inTouch && a.final() {
		return unavailableResponse("out of touch with the backups")
	}
	return a
}
