// Command rehearse plays outages against real senders and says for each of the six rules whether it held.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"dockshift.example/dockshift/internal/rehearsal/judge"
)

const usage = `rehearse plays a day of trouble against real senders on this machine and judges the six rules.

  rehearse run [flags] [DAY.toml ...]   play days, one after another; a file without [day] is laid over the
                                        day before it; without files a short built-in day is played
  rehearse list [FOLDER]                the scripts there are, with a line on each
  rehearse judge LOG                    the verdict again, from a day's event log
  rehearse report LOG FILE.html         the report again, from a day's event log
  rehearse up                           one sender and a few receivers, kept running to try things by hand
  rehearse compare [DAY.toml ...]       a day in plain, in each form of CloudEvents, and mixed: does it differ?
  rehearse teach [DAY.toml]             a day with a sender that joins, cold and taught by its peers, over several seeds
  rehearse fleet                        changes of the fleet's policy while links, processes and folders fail, over many seeds
  rehearse selftest                     wrong senders, one for each rule: each must be found out
  rehearse cost [LISTED/BUSY/HELD ...]  what a message costs the sender's process, beside a plain proxy
  rehearse measure                      how much the kit itself can send, serve and judge on this machine

Exit codes: 0 all tried rules pass, 1 a rule failed, 2 bad script or flag, 3 inconclusive: the kit ran late.
'rehearse COMMAND -h' tells the flags. The operators' page is docs/operate/rehearsal.md.
`

// errUsage is a bad flag or script; it has been told.
var errUsage = errors.New("usage")

func main() {
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
		wrongCommand: wrongSender, proxyCommand: plainProxy,
	}[args[0]]
	if !ok {
		if args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
			fmt.Fprint(out, usage)
			return 0
		}
		fmt.Fprintf(errs, "rehearse: there is no command %q\n\n%s", args[0], usage)
		return judge.ExitScript
	}
	code, err := run(ctx, args[1:], out, errs)
	switch {
	case errors.Is(err, errUsage):
		return judge.ExitScript
	case err != nil:
		fmt.Fprintln(errs, "rehearse:", err)
		if code == 0 {
			code = judge.ExitInconclusive
		}
	}
	return code
}
