package controlplane

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dockshift.example/dockshift/internal/tier/routing"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// Operators call with a silence of one second in mind, after which they move on: all that is done before an answer
// fits into these.
const (
	writeLimit  = 450 * time.Millisecond // waiting for the right to write, and the write
	answerLimit = 600 * time.Millisecond // with the wait for the sessions
	applyPart   = 3                      // of the time in which a configuration must be applied, for the wait for the sessions
	orderBytes  = 64 << 10               // of a body that is no configuration
	bodyPart    = 16                     // of the memory, for a configuration
	bodyLeast   = 4 << 20                // bytes
)

// Operators is the handler of the control_plane address.
func (plane *ControlPlane) Operators() http.Handler { return http.HandlerFunc(plane.dispatch) }

func (plane *ControlPlane) dispatch(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/saffronyard/")
	call, argument, _ := strings.Cut(path, "/")
	var method string
	var serve func()
	switch {
	case !ok:
	case call == "Configuration.Replace" && argument == "":
		method, serve = http.MethodPost, func() { plane.replaceConfiguration(w, r) }
	case call == "Configuration.Describe" && argument == "":
		method, serve = http.MethodGet, func() { plane.describeConfiguration(w, r) }
	case call == "Retire.Create" && argument != "":
		method, serve = http.MethodPost, func() { plane.createRetire(w, r, argument) }
	case call == "Retire.Describe" && argument != "":
		method, serve = http.MethodGet, func() { plane.describeRetire(w, r, argument) }
	}
	switch {
	case serve == nil:
		writeError(w, http.StatusNotFound, "no such call")
	case r.Method != method:
		w.Header().Set("Allow", method)
		writeError(w, http.StatusMethodNotAllowed, "the method is "+method)
	default:
		serve()
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = http.StatusInternalServerError, nil
	}
	writeBody(w, status, body)
}

func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]string{"error_message": message})
}

// unavailable refuses for now: the outcome of a write is unknown, or nobody is known who could answer.
func unavailable(w http.ResponseWriter, message string) {
	w.Header().Set("Retry-After", "0.2")
	writeError(w, http.StatusServiceUnavailable, message)
}

// redirect sends the caller to the primary, if another is known to be it.
func (plane *ControlPlane) redirect(w http.ResponseWriter, r *http.Request) {
	host, _, err := net.SplitHostPort(plane.Store.Hint())
	_, port, err2 := net.SplitHostPort(plane.Settings.Control)
	if err != nil || err2 != nil || host == plane.Settings.IP || host == "" {
		unavailable(w, "no primary is known")
		return
	}
	w.Header().Set("Location", "http://"+net.JoinHostPort(host, port)+r.URL.RequestURI())
	writeError(w, http.StatusTemporaryRedirect, "the primary is another process")
}

// readBody reads a body up to its end, or refuses the call.
func readBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, bool) {
	if r.ContentLength > most {
		w.Header().Set("Connection", "close")
		writeError(w, http.StatusRequestEntityTooLarge, "the body is too large")
		return nil, false
	}
	var b bytes.Buffer
	if r.ContentLength > 0 {
		b.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := b.ReadFrom(http.MaxBytesReader(w, r.Body, most))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		writeError(w, http.StatusRequestEntityTooLarge, "the body is too large")
		return nil, false
	case err != nil:
		writeError(w, http.StatusBadRequest, "the body did not come whole")
		return nil, false
	case r.ContentLength >= 0 && int64(b.Len()) != r.ContentLength:
		writeError(w, http.StatusBadRequest, "the body did not come whole")
		return nil, false
	}
	return b.Bytes(), true
}

func (plane *ControlPlane) replaceConfiguration(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, max(bodyLeast, int64(plane.Settings.MemoryMB)<<20/bodyPart))
	if !ok {
		return
	}
	begun := time.Now()
	if _, ok := plane.primary(); !ok {
		plane.redirect(w, r)
		return
	}
	base, err := strconv.ParseInt(strings.TrimSpace(r.Header.Get("X-Base-Revision")), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "X-Base-Revision is no number")
		return
	}
	c, err := routing.Parse(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	// What was begun is ended even if the caller has gone: its next try finds out.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), begun.Add(writeLimit))
	defer cancel()
	version, status, message := plane.replaceWith(ctx, body, c, base)
	switch status {
	case http.StatusOK:
		plane.waitAcknowledged(version, begun)
		writeJSON(w, http.StatusOK, map[string]int64{"revision": c.Revision})
	case http.StatusTemporaryRedirect:
		plane.redirect(w, r)
	case http.StatusServiceUnavailable:
		unavailable(w, message)
	default:
		writeError(w, status, message)
	}
}

// replaceWith compares and sets in one step, and gives the version in force or the status of a refusal.
func (plane *ControlPlane) replaceWith(ctx context.Context, body []byte, c *routing.Table, base int64) (version uint64, status int, message string) {
	if err := plane.lockWriter(ctx); err != nil {
		return 0, http.StatusServiceUnavailable, "another write is under way"
	}
	defer plane.unlockWriter()
	v, ok := plane.primary()
	if !ok {
		return 0, http.StatusTemporaryRedirect, ""
	}
	if v.configuration != nil && bytes.Equal(v.configuration.Body, body) {
		if err := plane.confirm.wait(ctx, v.epoch); err != nil {
			return 0, http.StatusServiceUnavailable, "the backups do not confirm it"
		}
		return v.configuration.Version, http.StatusOK, ""
	}
	if base != v.revision || c.Revision <= v.revision {
		// A primary that was deposed must not refuse what has been taken by its successor.
		if err := plane.confirm.wait(ctx, v.epoch); err != nil {
			return 0, http.StatusServiceUnavailable, "the backups do not confirm the current revision"
		}
	}
	if base != v.revision {
		return 0, http.StatusPreconditionFailed, "the current revision is " + strconv.FormatInt(v.revision, 10)
	}
	if c.Revision <= v.revision {
		return 0, http.StatusBadRequest, "revision is not above the current one, " + strconv.FormatInt(v.revision, 10)
	}
	version, err := plane.put(ctx, v.epoch, map[string][]byte{keyConfiguration: body})
	if err != nil {
		return 0, http.StatusServiceUnavailable, "the outcome is unknown"
	}
	taken := &tierv1.Configuration{Version: version, Body: body}
	packed := pack(taken)
	plane.changeView(v.epoch, func(v *view) {
		v.configuration, v.packed, v.revision = taken, packed, c.Revision
	})
	plane.Log.Info().Str("event", "configuration").Int64("revision", c.Revision).Uint64("version", version).Msg("")
	return version, http.StatusOK, ""
}

// waitAcknowledged waits until all gateways whose sessions stand have acknowledged a version, or the time for that is over.
func (plane *ControlPlane) waitAcknowledged(version uint64, begun time.Time) {
	limit := min(plane.Settings.ConfigApply/applyPart, answerLimit-time.Since(begun))
	if limit <= 0 {
		return
	}
	end := time.NewTimer(limit)
	defer end.Stop()
	for {
		plane.mu.Lock()
		lacking := plane.sessions.behind(time.Now(), version)
		acked := plane.sessions.acknowledged()
		plane.mu.Unlock()
		if lacking == 0 {
			return
		}
		again := time.NewTimer(50 * time.Millisecond) // a session may have lapsed
		select {
		case <-acked:
		case <-again.C:
		case <-end.C:
			again.Stop()
			plane.Log.Info().Str("event", "gateways_behind").Uint64("version", version).Int("lacking", lacking).Msg("")
			return
		}
		again.Stop()
	}
}

// confirmed gives a view that a round trip to all backups, begun after the call, has confirmed; or it has answered.
func (plane *ControlPlane) confirmed(w http.ResponseWriter, r *http.Request) (*view, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), writeLimit)
	defer cancel()
	v, ok := plane.primary()
	if !ok {
		plane.redirect(w, r)
		return nil, false
	}
	if err := plane.confirm.wait(ctx, v.epoch); err != nil {
		unavailable(w, "the backups do not confirm it")
		return nil, false
	}
	now, ok := plane.primary()
	if !ok || now.epoch != v.epoch {
		plane.redirect(w, r)
		return nil, false
	}
	return now, true
}

func (plane *ControlPlane) describeConfiguration(w http.ResponseWriter, r *http.Request) {
	v, ok := plane.confirmed(w, r)
	switch {
	case !ok:
	case v.configuration == nil:
		writeError(w, http.StatusNotFound, "there is no configuration")
	default:
		writeBody(w, http.StatusOK, v.configuration.Body)
	}
}

// discardBody reads what comes of a body that is not used, so that the answer is not lost to a reset.
func discardBody(r *http.Request) { io.Copy(io.Discard, io.LimitReader(r.Body, orderBytes)) }
