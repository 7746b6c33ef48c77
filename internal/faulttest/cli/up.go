package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/day"
	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/judge"
	"saffronyard.example/saffronyard/internal/faulttest/script"
)

// upDay is the day that the up command keeps running by default: it has no traffic except what the user sends by hand.
const upDay = `
about = "one sender, three receivers, no traffic"
[day]
seconds = 1
rate = 10
senders = 1
receivers = 3
[[class]]
name = "card-event"
deadline = "28s"
[[class]]
name = "redemption"
effect = "unsafe"
deadline = "28s"
[[class]]
name = "statement"
effect = "safe"
deadline = "28s"
`

// up keeps one sender and a few receivers running until it is interrupted, and prints the messages that arrive.
func up(ctx context.Context, args []string, out, errs io.Writer) (int, error) {
	f := flags("up [DAY.toml]", errs)
	program := f.String("sender", "", "the sender's `program`; by default the one beside this program, or built from the sources")
	limit := f.Duration("for", 0, "stop after this `time`; 0: only when interrupted")
	if err := parse(f, args); err != nil {
		return 0, err
	}
	s, err := script.Parse("up.toml", []byte(upDay))
	if f.NArg() > 0 && err == nil {
		s, err = script.Load(f.Arg(0))
	}
	if err != nil {
		return judge.ExitScript, err
	}
	plan, err := s.Make()
	if err != nil {
		return judge.ExitScript, err
	}
	plan.Arrivals = nil
	path, err := sender(ctx, *program, errs)
	if err != nil {
		return judge.ExitScript, err
	}
	folder, err := day.Folder("up")
	if err != nil {
		return judge.ExitInconclusive, err
	}
	file, err := os.Create(filepath.Join(folder, "events.jsonl"))
	if err != nil {
		return judge.ExitInconclusive, err
	}
	defer file.Close()
	if *limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, *limit)
		defer cancel()
	}
	printer := &eventPrinter{out: out}
	d, err := day.Open(ctx, plan, day.Options{Command: []string{path}, Folder: folder, Log: file, Watch: printer.watch, Open: true})
	if err != nil {
		return judge.ExitInconclusive, err
	}
	for _, m := range d.Places() {
		printer.print(m)
	}
	printer.print("")
	printer.print("Hand a message in:")
	printer.print("  " + d.Curl())
	printer.print("Troubles of the script run from now on. ^C ends it; all that happens is written to " + file.Name())
	d.Faults()
	<-ctx.Done()
	if err := d.Close(); err != nil {
		return judge.ExitInconclusive, err
	}
	return 0, nil
}

// eventPrinter prints events: where messages arrive and how they end, faults and process exits.
type eventPrinter struct {
	mu  sync.Mutex
	out io.Writer
}

func (s *eventPrinter) print(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintln(s.out, line)
}

func (s *eventPrinter) watch(e eventlog.Event) {
	at := time.Duration(e.T) * time.Microsecond
	switch e.Kind {
	case eventlog.Call:
		s.print(fmt.Sprintf("%8.3f s  %s got message %s", at.Seconds(), e.Endpoint, e.ID))
	case eventlog.Done:
		how := fmt.Sprint(e.Status)
		if e.Detail != "" {
			how = e.Detail
		}
		s.print(fmt.Sprintf("%8.3f s  message %s ended there: %s", at.Seconds(), e.ID, how))
	case eventlog.Notice:
		s.print(fmt.Sprintf("%8.3f s  notice: message %s is %s", at.Seconds(), e.ID, e.Outcome))
	case eventlog.FaultChanged:
		s.print(fmt.Sprintf("%8.3f s  r%d: %s %s", at.Seconds(), e.Dest, e.Detail, e.State))
	case eventlog.KitFailure:
		s.print(fmt.Sprintf("%8.3f s  the kit failed: %s", at.Seconds(), e.Detail))
	case eventlog.Exit:
		s.print(fmt.Sprintf("%8.3f s  sender %s ended (code %d)", at.Seconds(), e.Sender, e.Status))
	default: // other events are not printed
	}
}
