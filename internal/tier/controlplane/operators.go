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
func (k *ControlPlane) Operators() http.Handler { return http.HandlerFunc(k.dispatch) }

func (k *ControlPlane) dispatch(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/saffronyard/")
	call, argument, _ := strings.Cut(path, "/")
	var method string
	var serve func()
	switch {
	case !ok:
	case call == "Configuration.Replace" && argument == "":
		method, serve = http.MethodPost, func() { k.replaceConfiguration(w, r) }
	case call == "Configuration.Describe" && argument == "":
		method, serve = http.MethodGet, func() { k.describeConfiguration(w, r) }
	case call == "Retire.Create" && argument != "":
		method, serve = http.MethodPost, func() { k.createRetire(w, r, argument) }
	case call == "Retire.Describe" && argument != "":
		method, serve = http.MethodGet, func() { k.describeRetire(w, r, argument) }
	}
	switch {
	case serve == nil:
		refuse(w, http.StatusNotFound, "no such call")
	case r.Method != method:
		w.Header().Set("Allow", method)
		refuse(w, http.StatusMethodNotAllowed, "the method is "+method)
	default:
		serve()
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = http.StatusInternalServerError, nil
	}
	give(w, status, body)
}

func give(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

func refuse(w http.ResponseWriter, status int, message string) {
	answer(w, status, map[string]string{"error_message": message})
}

// later refuses for now: the outcome of a write is unknown, or nobody is known who could answer.
func later(w http.ResponseWriter, message string) {
	w.Header().Set("Retry-After", "0.2")
	refuse(w, http.StatusServiceUnavailable, message)
}

// pass sends the caller to the primary, if another is known to be it.
func (k *ControlPlane) pass(w http.ResponseWriter, r *http.Request) {
	host, _, err := net.SplitHostPort(k.Store.Hint())
	_, port, err2 := net.SplitHostPort(k.Settings.Control)
	if err != nil || err2 != nil || host == k.Settings.IP || host == "" {
		later(w, "no primary is known")
		return
	}
	w.Header().Set("Location", "http://"+net.JoinHostPort(host, port)+r.URL.RequestURI())
	refuse(w, http.StatusTemporaryRedirect, "the primary is elsewhere")
}

// whole reads a body up to its end, or refuses the call.
func whole(w http.ResponseWriter, r *http.Request, most int64) ([]byte, bool) {
	if r.ContentLength > most {
		w.Header().Set("Connection", "close")
		refuse(w, http.StatusRequestEntityTooLarge, "the body is too large")
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
		refuse(w, http.StatusRequestEntityTooLarge, "the body is too large")
		return nil, false
	case err != nil:
		refuse(w, http.StatusBadRequest, "the body did not come whole")
		return nil, false
	case r.ContentLength >= 0 && int64(b.Len()) != r.ContentLength:
		refuse(w, http.StatusBadRequest, "the body did not come whole")
		return nil, false
	}
	return b.Bytes(), true
}

func (k *ControlPlane) replaceConfiguration(w http.ResponseWriter, r *http.Request) {
	body, ok := whole(w, r, max(bodyLeast, int64(k.Settings.MemoryMB)<<20/bodyPart))
	if !ok {
		return
	}
	begun := time.Now()
	if _, ok := k.primary(); !ok {
		k.pass(w, r)
		return
	}
	base, err := strconv.ParseInt(strings.TrimSpace(r.Header.Get("X-Base-Revision")), 10, 64)
	if err != nil {
		refuse(w, http.StatusBadRequest, "X-Base-Revision is no number")
		return
	}
	c, err := routing.Parse(body)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	// What was begun is ended even if the caller has gone: its next try finds out.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), begun.Add(writeLimit))
	defer cancel()
	version, status, message := k.replaceWith(ctx, body, c, base)
	switch status {
	case http.StatusOK:
		k.told(version, begun)
		answer(w, http.StatusOK, map[string]int64{"revision": c.Revision})
	case http.StatusTemporaryRedirect:
		k.pass(w, r)
	case http.StatusServiceUnavailable:
		later(w, message)
	default:
		refuse(w, status, message)
	}
}

// replaceWith compares and sets in one step, and gives the version in force or the status of a refusal.
func (k *ControlPlane) replaceWith(ctx context.Context, body []byte, c *routing.Table, base int64) (version uint64, status int, message string) {
	if err := k.lock(ctx); err != nil {
		return 0, http.StatusServiceUnavailable, "another write is under way"
	}
	defer k.unlock()
	v, ok := k.primary()
	if !ok {
		return 0, http.StatusTemporaryRedirect, ""
	}
	if v.routing != nil && bytes.Equal(v.routing.Body, body) {
		if err := k.confirm.wait(ctx, v.epoch); err != nil {
			return 0, http.StatusServiceUnavailable, "the backups do not confirm it"
		}
		return v.routing.Version, http.StatusOK, ""
	}
	if base != v.revision || c.Revision <= v.revision {
		// A primary that was deposed must not refuse what has been taken elsewhere.
		if err := k.confirm.wait(ctx, v.epoch); err != nil {
			return 0, http.StatusServiceUnavailable, "the backups do not confirm the current revision"
		}
	}
	if base != v.revision {
		return 0, http.StatusPreconditionFailed, "the current revision is " + strconv.FormatInt(v.revision, 10)
	}
	if c.Revision <= v.revision {
		return 0, http.StatusBadRequest, "revision is not above the current one, " + strconv.FormatInt(v.revision, 10)
	}
	version, err := k.put(ctx, v.epoch, map[string][]byte{keyConfiguration: body})
	if err != nil {
		return 0, http.StatusServiceUnavailable, "the outcome is unknown"
	}
	taken := &tierv1.Configuration{Version: version, Body: body}
	packed := pack(taken)
	k.change(v.epoch, func(v *view) {
		v.routing, v.packed, v.revision = taken, packed, c.Revision
	})
	k.Log.Info().Str("event", "configuration").Int64("revision", c.Revision).Uint64("version", version).Msg("")
	return version, http.StatusOK, ""
}

// told waits until all gateways whose sessions stand have acknowledged a version, or the time for that is over.
func (k *ControlPlane) told(version uint64, begun time.Time) {
	limit := min(k.Settings.ConfigApply/applyPart, answerLimit-time.Since(begun))
	if limit <= 0 {
		return
	}
	end := time.NewTimer(limit)
	defer end.Stop()
	for {
		k.mu.Lock()
		lacking := k.sessions.lacking(time.Now(), version)
		acked := k.sessions.acknowledged()
		k.mu.Unlock()
		if lacking == 0 {
			return
		}
		again := time.NewTimer(50 * time.Millisecond) // a session may have lapsed
		select {
		case <-acked:
		case <-again.C:
		case <-end.C:
			again.Stop()
			k.Log.Info().Str("event", "counters_behind").Uint64("version", version).Int("lacking", lacking).Msg("")
			return
		}
		again.Stop()
	}
}

// confirmed gives a view that a round trip to all backups, begun after the call, has confirmed; or it has answered.
func (k *ControlPlane) confirmed(w http.ResponseWriter, r *http.Request) (*view, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), writeLimit)
	defer cancel()
	v, ok := k.primary()
	if !ok {
		k.pass(w, r)
		return nil, false
	}
	if err := k.confirm.wait(ctx, v.epoch); err != nil {
		later(w, "the backups do not confirm it")
		return nil, false
	}
	now, ok := k.primary()
	if !ok || now.epoch != v.epoch {
		k.pass(w, r)
		return nil, false
	}
	return now, true
}

func (k *ControlPlane) describeConfiguration(w http.ResponseWriter, r *http.Request) {
	v, ok := k.confirmed(w, r)
	switch {
	case !ok:
	case v.routing == nil:
		refuse(w, http.StatusNotFound, "there is no configuration")
	default:
		give(w, http.StatusOK, v.routing.Body)
	}
}

// drain reads what comes of a body that is not used, so that the answer is not lost to a reset.
func drain(r *http.Request) { io.Copy(io.Discard, io.LimitReader(r.Body, orderBytes)) }
