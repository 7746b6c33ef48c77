package main

import (
	"encoding/json"
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

// workCommand looks at the background work of a sender that runs, and has a hand in it.
func workCommand(args []string, getenv func(string) string, out, errs io.Writer) int {
	usage := func() int {
		fmt.Fprint(errs, workUsage)
		return 2
	}
	if len(args) == 0 {
		return usage()
	}
	verb := args[0]
	f := flag.NewFlagSet("saffronyard work "+verb, flag.ContinueOnError)
	f.SetOutput(errs)
	state := f.String("state", getenv("EDGE_STATE"), "the sender's state `folder`; default $EDGE_STATE")
	kind := f.String("kind", "", "of this `kind`")
	owner := f.String("owner", "", "of this `owner`")
	parked := f.Bool("parked", false, "list: those that wait for an operator")
	running := f.Bool("running", false, "list: those that run")
	waiting := f.Bool("waiting", false, "list: those that wait")
	most := f.Int("most", 100, "list: so many")
	asJSON := f.Bool("json", false, "JSON in place of a table")
	if f.Parse(args[1:]) != nil {
		return 2
	}
	q := url.Values{"kind": {*kind}, "owner": {*owner}, "most": {strconv.Itoa(*most)}}
	method := http.MethodGet
	switch verb {
	case "list":
		if f.NArg() > 0 {
			return usage()
		}
		for word, on := range map[string]bool{"parked": *parked, "running": *running, "waiting": *waiting} {
			if on {
				q.Set("state", word)
			}
		}
	case "show", "run", "drop":
		if f.NArg() != 1 {
			return usage()
		}
		if n, err := strconv.ParseUint(f.Arg(0), 10, 63); err != nil || n == 0 {
			fmt.Fprintf(errs, "%q is no job's number\n", f.Arg(0))
			return 2
		}
		q.Set("id", f.Arg(0))
	case "pause", "resume":
		if f.NArg() > 0 || *kind == "" && *owner == "" {
			return usage()
		}
	default:
		return usage()
	}
	if *state == "" {
		return usage()
	}
	if verb != "list" && verb != "show" {
		method = http.MethodPost
		q.Set("do", verb)
	}
	raw, err := askSocket(method, filepath.Join(*state, sender.SocketName), "/work?"+q.Encode())
	if err == nil && method == http.MethodGet {
		if *asJSON {
			_, err = out.Write(raw)
		} else {
			err = showWork(raw, verb == "show", out)
		}
	}
	if err != nil {
		fmt.Fprintf(errs, "work: %v\n", err)
		return 1
	}
	return 0
}

func showWork(raw []byte, one bool, out io.Writer) error {
	var r worker.Report
	if err := json.Unmarshal(raw, &r); err != nil {
		return err
	}
	if one {
		if len(r.Jobs) == 0 {
			return fmt.Errorf("there is no such job")
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
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%.60s\n", j.ID, j.Kind, j.Owner, j.Priority, j.State, j.Reason, millis(j.ForMS), j.SlicesDone, j.Err)
	}
	return w.Flush()
}
