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
	commandTime  = 4 * time.Second // for a command to be in the log
	documentRoom = 2 << 20
	// AuthorHeader names who gives a command, as the operating system says on the command's side.
	AuthorHeader = "X-By"
)

// Register adds what the command line asks: GET /fleet, and POST /policy/propose, /policy/abort, /fleet/gone, /fleet/voters. Who
// reaches the sender's socket may ask all of it.
func (n *Node) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /fleet", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("current") != "" {
			ctx, cancel := context.WithTimeout(r.Context(), commandTime)
			defer cancel()
			if err := n.WaitCurrent(ctx); err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
		}
		json.NewEncoder(w).Encode(n.Report())
	})
	mux.HandleFunc("GET /limits", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), commandTime)
		defer cancel()
		all, err := n.Limits(ctx)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		json.NewEncoder(w).Encode(all)
	})
	mux.HandleFunc("GET /verdicts", func(w http.ResponseWriter, r *http.Request) {
		all, err := n.HealthReports()
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		json.NewEncoder(w).Encode(all)
	})
	post := func(path string, do func(ctx context.Context, r *http.Request, by string) (any, error)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), commandTime)
			defer cancel()
			by := r.Header.Get(AuthorHeader)
			if by == "" {
				by = "somebody at " + n.cfg.Name
			}
			v, err := do(ctx, r, by)
			switch {
			case errors.Is(err, ErrRejected):
				http.Error(w, err.Error(), http.StatusConflict)
			case errors.Is(err, context.DeadlineExceeded):
				http.Error(w, err.Error(), http.StatusGatewayTimeout)
			case err != nil:
				http.Error(w, err.Error(), http.StatusBadRequest)
			default:
				json.NewEncoder(w).Encode(v)
			}
		})
	}
	post("/policy/propose", func(ctx context.Context, r *http.Request, by string) (any, error) {
		q := r.URL.Query()
		base, err := strconv.ParseUint(q.Get("base"), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("base %q is no version", q.Get("base"))
		}
		back, _ := strconv.ParseUint(q.Get("back"), 10, 64)
		wait, err := time.ParseDuration(q.Get("wait"))
		if err != nil || wait <= 0 || wait > fleetpolicy.MaxStageTimeout {
			return nil, fmt.Errorf("wait %q is no time up to %v", q.Get("wait"), fleetpolicy.MaxStageTimeout)
		}
		doc, err := io.ReadAll(io.LimitReader(r.Body, documentRoom))
		if err != nil {
			return nil, err
		}
		change, err := n.Propose(ctx, &pb.ProposePolicy{BaseVersion: base, Document: doc, Author: by, Reason: q.Get("why"), StageTimeoutUs: wait.Microseconds(), RollbackTo: back})
		return map[string]uint64{"change": change}, err
	})
	post("/policy/abort", func(ctx context.Context, r *http.Request, by string) (any, error) {
		change, err := strconv.ParseUint(r.URL.Query().Get("change"), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("change %q is no number", r.URL.Query().Get("change"))
		}
		why := fmt.Sprintf("%s aborted it: %s", by, r.URL.Query().Get("why"))
		return struct{}{}, n.Abort(ctx, change, why)
	})
	for path, do := range map[string]func(ctx context.Context, destination uint32, by, why string) error{"/verdicts/suspend": n.SuspendDestination, "/verdicts/lift": n.LiftSuspension} {
		post(path, func(ctx context.Context, r *http.Request, by string) (any, error) {
			d, err := strconv.ParseUint(r.URL.Query().Get("destination"), 10, 32)
			if err != nil {
				return nil, fmt.Errorf("destination %q is no number", r.URL.Query().Get("destination"))
			}
			return struct{}{}, do(ctx, uint32(d), by, r.URL.Query().Get("why"))
		})
	}
	post("/fleet/gone", func(ctx context.Context, r *http.Request, by string) (any, error) {
		q := r.URL.Query()
		return struct{}{}, n.Leave(ctx, &pb.Leave{Name: q.Get("name"), Author: by, Reason: q.Get("why")})
	})
	post("/fleet/voters", func(ctx context.Context, r *http.Request, by string) (any, error) {
		q := r.URL.Query()
		v := &pb.VoterChange{Remove: q["remove"], Author: by}
		for i, name := range q["add"] {
			if i >= len(q["address"]) {
				return nil, fmt.Errorf("no address of %s", name)
			}
			if err := loopback(q["address"][i]); err != nil {
				return nil, fmt.Errorf("address %q: %w", q["address"][i], err)
			}
			v.Add = append(v.Add, &pb.Voter{Name: name, Address: q["address"][i]})
		}
		return struct{}{}, n.ChangeVoters(ctx, v)
	})
}
