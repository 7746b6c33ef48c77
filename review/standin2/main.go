// Command standin2 plays the cases of review/4 to review/8: it starts the tier's own processes with the commands of deploy/system.toml on
// loopback addresses, and plays the platform, the endpoints, the operator, the clients and the applications itself.
//
// Usage: review-standin-2 CASE, at the root of the repository. The exit status is 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"time"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// caseTimeout bounds a case; the processes are ended before.
const caseTimeout = 115 * time.Second

// verdict is the result of a case.
type verdict struct {
	checked int      // occasions at which the rule was checked
	broken  []string // occasions at which it was broken
}

// cases are the cases by name.
var cases = map[string]func(l *lab, trouble bool) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE RECORD")
		os.Exit(statusNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// run plays a case and writes its record.
func run(name, recordPath string, trouble bool) int {
	l, err := newLab(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return statusNotRun
	}
	defer l.close()
	stop := time.AfterFunc(caseTimeout, func() {
		l.note("the case took longer than %v", caseTimeout)
		l.close()
		os.Exit(statusNotRun)
	})
	defer stop.Stop()
	l.note("case %s, trouble %v", name, trouble)
	result, err := cases[name](l, trouble)
	if err != nil {
		l.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return statusNotRun
	}
	l.note("checked %d, broken %d", result.checked, len(result.broken))
	for _, line := range result.broken {
		l.note("BROKEN %s", line)
	}
	fmt.Printf("%s: trouble %v, checked %d, broken %d\n", name, trouble, result.checked, len(result.broken))
	switch {
	case len(result.broken) > 0:
		return statusBroken
	case result.checked == 0:
		return statusNotRun
	}
	return statusHeld
}
