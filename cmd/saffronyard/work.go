package main

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"path/filepath"
	"strconv"
	"text/tabwriter"

	"saffronyard.example/saffronyard/internal/sender"
	"saffronyard.example/saffronyard/internal/work"
	worker "saffronyard.example/saffronyard/internal/work/run"
)

const workUsage = `saffronyard work list [-kind K] [-owner O] [-parked|-running|-waiting] [-most N] [-json]   jobs, and why they wait
saffronyard work show ID                            one job
saffronyard work pause|resume -kind K | -owner O    nothing more of it is begun, until it is resumed
saffronyard work run ID                             now: what was parked, or waits for its time
saffronyard work drop ID                            for good
of a sender that runs with [work]; -state FOLDER is its state folder, default $EDGE_STATE
`

var (
	errWorkUsage = errors.New("invalid arguments")
	errNoSuchJob = errors.New("there is no such job")
)

// workRequest is a work command with its flags.
type workRequest struct {
	verb                     string
	state                    string // the sender's state folder
	kind, owner              string
	parked, running, waiting bool
	limit                    int
	json                     bool
}

// workCommand is 'saffronyard work': the background work of a running sender, and operators' commands to it.
func workCommand(args []string, getenv func(string) string, out, errs io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(errs, workUsage)
		return 2
	}
	r := workRequest{verb: args[0]}
	f := r.flagSet(getenv("EDGE_STATE"), errs)
	if f.Parse(args[1:]) != nil {
		return 2
	}
	query, err := r.query(f.Args())
	switch {
	case errors.Is(err, errWorkUsage):
		fmt.Fprint(errs, workUsage)
		return 2
	case err != nil:
		fmt.Fprintln(errs, err)
		return 2
	}
	if err := r.run(query, out); err != nil {
		fmt.Fprintf(errs, "work: %v\n", err)
		return 1
	}
	return 0
}

func (r *workRequest) flagSet(state string, errs io.Writer) *flag.FlagSet {
	f := flag.NewFlagSet("saffronyard work "+r.verb, flag.ContinueOnError)
	f.SetOutput(errs)
	f.StringVar(&r.state, "state", state, "the sender's state `folder`; default $EDGE_STATE")
	f.StringVar(&r.kind, "kind", "", "of this `kind`")
	f.StringVar(&r.owner, "owner", "", "of this `owner`")
	f.BoolVar(&r.parked, "parked", false, "list: those that wait for an operator")
	f.BoolVar(&r.running, "running", false, "list: those that run")
	f.BoolVar(&r.waiting, "waiting", false, "list: those that wait")
	f.IntVar(&r.limit, "most", 100, "list: so many")
	f.BoolVar(&r.json, "json", false, "JSON in place of a table")
	return f
}

// query checks the command's arguments and returns the query to send to the sender. The error is errWorkUsage for wrong usage; any other
// error names the invalid argument.
func (r *workRequest) query(args []string) (url.Values, error) {
	q := url.Values{"kind": {r.kind}, "owner": {r.owner}, "most": {strconv.Itoa(r.limit)}}
	switch r.verb {
	case "list":
		if len(args) > 0 {
			return nil, errWorkUsage
		}
		for state, wanted := range map[string]bool{"parked": r.parked, "running": r.running, "waiting": r.waiting} {
			if wanted {
				q.Set("state", state)
			}
		}
	case "show", "run", "drop":
		if len(args) != 1 {
			return nil, errWorkUsage
		}
		if n, err := strconv.ParseUint(args[0], 10, 63); err != nil || n == 0 {
			return nil, invalidInput("%q is not a job number", args[0])
		}
		q.Set("id", args[0])
	case "pause", "resume":
		if len(args) > 0 || r.kind == "" && r.owner == "" {
			return nil, errWorkUsage
		}
	default:
		return nil, errWorkUsage
	}
	if r.state == "" {
		return nil, errWorkUsage
	}
	return q, nil
}

// run sends the query to the sender and prints the answer; a command that changes something prints nothing.
func (r *workRequest) run(q url.Values, out io.Writer) error {
	socket := filepath.Join(r.state, sender.SocketName)
	if r.verb != "list" && r.verb != "show" {
		q.Set("do", r.verb)
		_, err := requestFromSocket(http.MethodPost, socket, "/work?"+q.Encode())
		return err
	}
	raw, err := getFromSocket(socket, "/work?"+q.Encode())
	if err != nil {
		return err
	}
	if r.json {
		_, err = out.Write(raw)
		return err
	}
	var report worker.Report
	if err := json.Unmarshal(raw, &report); err != nil {
		return err
	}
	if r.verb == "show" {
		return printJob(report, out)
	}
	return printJobs(report, out)
}

func printJob(r worker.Report, out io.Writer) error {
	if len(r.Jobs) == 0 {
		return errNoSuchJob
	}
	j := r.Jobs[0]
	fmt.Fprintf(out, "job %d: %s of %s, %s, %s %s\n%d slices done, %d failures in a row %s\n", j.ID, j.Kind, j.Owner, j.Priority, j.State, j.Reason, j.SlicesDone, j.Failures, j.Err)
	for i, v := range j.Used {
		if v > 0 {
			fmt.Fprintf(out, "used %s: %d\n", work.Currency(i), v)
		}
	}
	return nil
}

func printJobs(r worker.Report, out io.Writer) error {
	fmt.Fprintf(out, "%d jobs, %d run; live traffic leaves %.0f%% of the budget", r.JobCount, r.Running, 100*r.Allowance)
	if r.Worst != "" {
		fmt.Fprintf(out, " (%s at %.2f of what is wanted)", r.Worst, r.WorstRatio)
	}
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "KIND\tJOBS\tCALLS\tSYNCS\t")
	for _, k := range r.Kinds {
		paused := ""
		if k.Paused {
			paused = "paused"
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\n", k.Name, k.Jobs, k.Used[work.Calls], k.Used[work.Syncs], paused)
	}
	fmt.Fprintln(w, "\nJOB\tKIND\tOWNER\tPRIORITY\tSTATE\tWHY\tREADY FOR\tSLICES\tERROR")
	for _, j := range r.Jobs {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%.60s\n", j.ID, j.Kind, j.Owner, j.Priority, j.State, j.Reason, formatMillis(j.ForMS), j.SlicesDone, j.Err)
	}
	return w.Flush()
}
