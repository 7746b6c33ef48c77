package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

const (
	commandTimeout   = 4 * time.Second // for a command to be applied
	maxDocumentBytes = 2 << 20         // that are read from a request; the bound of a policy document is lower
	// AuthorHeader has the author of a command, which the command-line client takes from the operating system.
	AuthorHeader = "X-By"
)

// operatorCommand handles a POST. Its result is sent as JSON, its error with the status of commandStatus.
type operatorCommand func(ctx context.Context, r *http.Request, author string) (any, error)

// Register adds the handlers for the command line: GET /fleet, /limits and /verdicts, and POST /policy/propose, /policy/abort, /verdicts/suspend,
// /verdicts/lift, /fleet/gone and /fleet/voters. Whoever can connect to the sender's socket may use all of them.
func (n *Node) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /fleet", n.serveReport)
	mux.HandleFunc("GET /limits", n.serveLimits)
	mux.HandleFunc("GET /verdicts", n.serveHealth)
	for path, command := range map[string]operatorCommand{
		"/policy/propose":   n.postPropose,
		"/policy/abort":     n.postAbort,
		"/verdicts/suspend": postDestination(n.SuspendDestination),
		"/verdicts/lift":    postDestination(n.LiftSuspension),
		"/fleet/gone":       n.postLeave,
		"/fleet/voters":     n.postVoters,
	} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) { n.serveCommand(w, r, command) })
	}
}

// writeJSON writes a result. The error is ignored: it means that the client has disconnected.
func writeJSON(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }

func (n *Node) serveReport(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("current") != "" {
		ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
		defer cancel()
		if err := n.WaitCurrent(ctx); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	writeJSON(w, n.Report())
}

func (n *Node) serveLimits(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
	defer cancel()
	all, err := n.Limits(ctx)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, all)
}

func (n *Node) serveHealth(w http.ResponseWriter, _ *http.Request) {
	all, err := n.HealthReports()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, all)
}

func (n *Node) serveCommand(w http.ResponseWriter, r *http.Request, command operatorCommand) {
	ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
	defer cancel()
	author := r.Header.Get(AuthorHeader)
	if author == "" {
		author = "somebody at " + n.cfg.Name
	}
	result, err := command(ctx, r, author)
	if err != nil {
		http.Error(w, err.Error(), commandStatus(err))
		return
	}
	writeJSON(w, result)
}

// commandStatus is the HTTP status of an operator's command that failed.
func commandStatus(err error) int {
	switch {
	case errors.Is(err, ErrRejected):
		return http.StatusConflict
	case errors.Is(err, context.DeadlineExceeded):
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadRequest
	}
}

func (n *Node) postPropose(ctx context.Context, r *http.Request, author string) (any, error) {
	q := r.URL.Query()
	base, err := strconv.ParseUint(q.Get("base"), 10, 64)
	if err != nil {
		return nil, invalidParameter("base %q is no version", q.Get("base"))
	}
	rollbackTo, _ := strconv.ParseUint(q.Get("back"), 10, 64) // 0 if it is missing: the change is no rollback
	timeout, err := time.ParseDuration(q.Get("wait"))
	if err != nil || timeout <= 0 || timeout > fleetpolicy.MaxStageTimeout {
		return nil, invalidParameter("wait %q is no time up to %v", q.Get("wait"), fleetpolicy.MaxStageTimeout)
	}
	document, err := io.ReadAll(io.LimitReader(r.Body, maxDocumentBytes))
	if err != nil {
		return nil, err
	}
	change, err := n.Propose(ctx, &pb.ProposePolicy{BaseVersion: base, Document: document, Author: author, Reason: q.Get("why"),
		StageTimeoutUs: timeout.Microseconds(), RollbackTo: rollbackTo})
	return map[string]uint64{"change": change}, err
}

func (n *Node) postAbort(ctx context.Context, r *http.Request, author string) (any, error) {
	q := r.URL.Query()
	change, err := strconv.ParseUint(q.Get("change"), 10, 64)
	if err != nil {
		return nil, invalidParameter("change %q is no number", q.Get("change"))
	}
	return struct{}{}, n.Abort(ctx, change, fmt.Sprintf("%s aborted it: %s", author, q.Get("why")))
}

// postDestination returns the handler of a command on one destination.
func postDestination(do func(ctx context.Context, destination uint32, author, reason string) error) operatorCommand {
	return func(ctx context.Context, r *http.Request, author string) (any, error) {
		q := r.URL.Query()
		destination, err := strconv.ParseUint(q.Get("destination"), 10, 32)
		if err != nil {
			return nil, invalidParameter("destination %q is no number", q.Get("destination"))
		}
		return struct{}{}, do(ctx, uint32(destination), author, q.Get("why"))
	}
}

func (n *Node) postLeave(ctx context.Context, r *http.Request, author string) (any, error) {
	q := r.URL.Query()
	return struct{}{}, n.Leave(ctx, &pb.Leave{Name: q.Get("name"), Author: author, Reason: q.Get("why")})
}

func (n *Node) postVoters(ctx context.Context, r *http.Request, author string) (any, error) {
	q := r.URL.Query()
	change := &pb.VoterChange{Remove: q["remove"], Author: author}
	for i, name := range q["add"] {
		if i >= len(q["address"]) {
			return nil, invalidParameter("no address of %s", name)
		}
		address := q["address"][i]
		if err := loopback(address); err != nil {
			return nil, &ParameterError{Problem: fmt.Sprintf("address %q: %v", address, err), Err: err}
		}
		change.Add = append(change.Add, &pb.Voter{Name: name, Address: address})
	}
	return struct{}{}, n.ChangeVoters(ctx, change)
}
