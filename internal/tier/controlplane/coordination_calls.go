package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"saffronyard.example/saffronyard/internal/tier/coordination"
)

// Calls of applications: locks, counters, keys and watches (package coordination). Unlike for operators' calls, a 503
// guarantees that the call had no effect, and a committed result is returned even if this process is no longer the primary.

const (
	// coordinationTimeout bounds a call, without the time that a watch is held: callers try another process after one second
	// without an answer.
	coordinationTimeout = 800 * time.Millisecond
	// maxCoordinationName and maxCoordinationValue bound names and holders, and values, in bytes.
	maxCoordinationName  = 256
	maxCoordinationValue = 16 << 10
	// maxHoldTime bounds the hold time of a lock: after a takeover a lock stays held for at least its hold time.
	maxHoldTime = time.Hour
	// maxWatchWait bounds the time that a watch is held.
	maxWatchWait = time.Minute
)

// Reasons for which a call of an application is rejected. Their texts are sent to callers.
var (
	errNameMissing     = errors.New("a name is missing, has over 256 bytes, or is not UTF-8")
	errValueTooLong    = errors.New("the value has over 16384 bytes, or is not UTF-8")
	errHoldTime        = errors.New("hold_time_ms is not between 1 and 3600000")
	errFenceMissing    = errors.New("fence is missing")
	errRevisionInvalid = errors.New("enabled is no revision")
	errAfterInvalid    = errors.New("after is no revision")
	errWaitInvalid     = errors.New("wait_time_ms is no number of milliseconds")
)

// lockBody is the body of a call of locks.
type lockBody struct {
	Owner      string  `json:"holder"`
	Fence      *uint64 `json:"fence"`
	HoldTimeMS int64   `json:"hold_time_ms"`
}

// putBody is the body of Cells.Replace.
type putBody struct {
	Value   *string `json:"value"`
	Enabled *int64  `json:"enabled"` // the revision that the key must have
}

// coordinationCall returns the HTTP method of an application's call and the function that parses it from a request; nil if
// there is no such call.
func coordinationCall(call, argument string) (method string, parse func(r *http.Request, body []byte) (coordination.Call, error)) {
	switch call {
	case "Locks.Create", "Locks.Heartbeat", "Locks.Delete":
		return http.MethodPost, func(_ *http.Request, body []byte) (coordination.Call, error) {
			return parseLockCall(call, argument, body)
		}
	case "numbers":
		return http.MethodPost, func(*http.Request, []byte) (coordination.Call, error) {
			return coordination.NextNumber{ID: argument}, checkName(argument)
		}
	case "Cells.Replace":
		return http.MethodPost, func(_ *http.Request, body []byte) (coordination.Call, error) { return parsePut(argument, body) }
	case "Cells.Describe":
		return http.MethodGet, func(*http.Request, []byte) (coordination.Call, error) {
			return coordination.ReadKey{Name: argument}, checkName(argument)
		}
	case "watch":
		return http.MethodGet, func(r *http.Request, _ []byte) (coordination.Call, error) { return parseWatch(r, argument) }
	}
	return "", nil
}

// checkName checks a name or a holder.
func checkName(name string) error {
	if name == "" || len(name) > maxCoordinationName || !utf8.ValidString(name) {
		return errNameMissing
	}
	return nil
}

// parseLockCall reads the body of a call of a lock.
func parseLockCall(call, id string, body []byte) (coordination.Call, error) {
	var fields lockBody
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("the body is no JSON of this call: %w", err)
	}
	if err := errors.Join(checkName(id), checkName(fields.Owner)); err != nil {
		return nil, err
	}
	if call != "Locks.Create" && fields.Fence == nil {
		return nil, errFenceMissing
	}
	if call == "Locks.Delete" {
		return coordination.ReleaseLock{ID: id, Owner: fields.Owner, Fence: *fields.Fence}, nil
	}
	if fields.HoldTimeMS < 1 || fields.HoldTimeMS > maxHoldTime.Milliseconds() {
		return nil, errHoldTime
	}
	hold := time.Duration(fields.HoldTimeMS) * time.Millisecond
	if call == "Locks.Create" {
		return coordination.AcquireLock{ID: id, Owner: fields.Owner, Hold: hold}, nil
	}
	return coordination.RenewLock{ID: id, Owner: fields.Owner, Fence: *fields.Fence, Hold: hold}, nil
}

// parsePut reads the body of Cells.Replace.
func parsePut(name string, body []byte) (coordination.Call, error) {
	var fields putBody
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fmt.Errorf("the body is no JSON of this call: %w", err)
	}
	if err := checkName(name); err != nil {
		return nil, err
	}
	if fields.Value == nil || len(*fields.Value) > maxCoordinationValue || !utf8.ValidString(*fields.Value) {
		return nil, errValueTooLong
	}
	put := coordination.PutKey{Name: name, Value: *fields.Value}
	if fields.Enabled != nil {
		if *fields.Enabled < 0 {
			return nil, errRevisionInvalid
		}
		revision := uint64(*fields.Enabled)
		put.IfRevision = &revision
	}
	return put, nil
}

// parseWatch reads the query of a watch.
func parseWatch(r *http.Request, group string) (coordination.Call, error) {
	if err := checkName(group); err != nil {
		return nil, err
	}
	query := r.URL.Query()
	watch := coordination.WatchGroup{Group: group}
	var err error
	if after := query.Get("after"); after != "" {
		if watch.After, err = strconv.ParseUint(after, 10, 64); err != nil {
			return nil, errAfterInvalid
		}
	}
	if wait := query.Get("wait_time_ms"); wait != "" {
		milliseconds, err := strconv.ParseFloat(wait, 64)
		if err != nil || !(milliseconds >= 0) {
			return nil, errWaitInvalid
		}
		watch.Wait = time.Duration(min(milliseconds, float64(maxWatchWait.Milliseconds())) * float64(time.Millisecond))
	}
	return watch, nil
}

// serveCoordination serves an application's call, which parse reads from the request.
func (plane *ControlPlane) serveCoordination(w http.ResponseWriter, r *http.Request, parse func(*http.Request, []byte) (coordination.Call, error)) response {
	begun := time.Now()
	body, err := readBody(w, r, maxRequestBody)
	if err != nil {
		return bodyErrorResponse(err)
	}
	call, err := parse(r, body)
	if err != nil {
		return errorResponse(http.StatusBadRequest, err.Error())
	}
	if _, ok := plane.primary(); !ok {
		return plane.redirectToPrimary(r)
	}
	timeout := coordinationTimeout
	if watch, isWatch := call.(coordination.WatchGroup); isWatch {
		timeout += watch.Wait
	}
	ctx, cancel := context.WithDeadline(r.Context(), begun.Add(timeout))
	defer cancel()
	result, err := plane.coordination.Do(ctx, call)
	switch {
	case errors.Is(err, coordination.ErrNotPrimary):
		return plane.redirectToPrimary(r)
	case err != nil:
		return coordinationErrorResponse(err)
	}
	return coordinationResponse(result)
}
