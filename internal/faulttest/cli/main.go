// Package cli is the command line of the fault-test kit: it injects outages around real sender processes and reports for each of
// the six rules whether it held.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"saffronyard.example/saffronyard/internal/faulttest/judge"
)

const usage = `fault-test plays a day of faults against real senders on this machine and judges the six rules.

  fault-test run [flags] [DAY.toml ...]   play days, one after another; a file without [day] is laid over the
                                        day before it; without files a short built-in day is played
  fault-test list [FOLDER]                list the scripts with a short description of each
  fault-test judge LOG                    print the verdict again from a day's event log
  fault-test report LOG FILE.html         write the report again from a day's event log
  fault-test up                           run one sender and a few receivers for manual tests
  fault-test compare [DAY.toml ...]       play a day in plain form, in each CloudEvents form and mixed, and report differences
  fault-test teach [DAY.toml]             play a day on which a sender joins, with and without what its peers teach it, over several seeds
  fault-test fleet                        change the fleet's policy while links, processes and folders fail, over many seeds
  fault-test selftest                     check that wrong senders, one for each rule, are detected
  fault-test cost [LISTED/BUSY/HELD ...]  measure what a message costs the sender's process, compared with a plain proxy
  fault-test measure                      measure how much the kit itself can send, serve and judge on this machine

Exit codes: 0 all tried rules pass, 1 a rule failed, 2 bad script or flag, 3 inconclusive: the kit ran late.
'fault-test COMMAND -h' lists the flags. The operators' page is docs/operate/rehearsal.md.
The former name of this program, rehearse, works for one more release.
`

// programName is the name of the program in its usage and its messages.
const programName = "fault-test"

// Main runs the subcommand that the arguments of the process name and ends the process with its exit code.
func Main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(command(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// command runs one subcommand and returns the exit code.
func command(ctx context.Context, args []string, out, errs io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(errs, usage)
		return judge.ExitScript
	}
	run, ok := map[string]func(context.Context, []string, io.Writer, io.Writer) (int, error){
		"run": runDays, "list": listScripts, "judge": judgeLog, "report": reportLog, "up": up, "selftest": selftest, "measure": measure, "cost": costs, "compare": compare, "teach": teach, "fleet": fleetDays, "limits": limitDays,
		mutantCommand: runMutant, proxyCommand: plainProxy,
	}[args[0]]
	if !ok {
		if args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
			fmt.Fprint(out, usage)
			return 0
		}
		fmt.Fprintf(errs, "%s: unknown command %q\n\n%s", programName, args[0], usage)
		return judge.ExitScript
	}
	code, err := run(ctx, args[1:], out, errs)
	switch {
	case errors.Is(err, errUsage):
		return judge.ExitScript
	case err != nil:
		fmt.Fprintln(errs, programName+":", err)
		if code == 0 {
			code = judge.ExitInconclusive
		}
	}
	return code
}
