package brain_test

import (
	"bufio"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
)

// The recorded decisions determine every action of generated days. A change of the code that is meant to change no decision
// must leave testdata as it is. A change that is meant to change decisions records them again with -update, and its commit
// says why. They were recorded on amd64; where the compiler fuses multiplications and additions, floating-point results may
// differ.

var update = flag.Bool("update", false, "record the decisions in testdata again")

const (
	plainDays   = 1500 // number of days with the generated settings unchanged
	serviceDays = 500  // number of days with a fleet, hibernation and observations
	batches     = 250  // batches of events in each day
	listedLines = 600  // lines of service day 1 that are recorded in full
)

// writeEvent writes an event in a form that does not depend on the names of types and fields.
func writeEvent(out io.Writer, e brain.Event) {
	switch e := e.(type) {
	case brain.Message:
		fmt.Fprintln(out, "  message", e.ID, e.Class, e.Tenant, e.Destination, e.OrderingKey, e.Deadline, e.PriorAttempts, e.MayHaveRun, e.FirstRunAt, e.FirstRunZone, e.Resumed)
	case brain.AttemptResult:
		fmt.Fprintln(out, "  end", e.Message, e.Attempt, e.Endpoint, uint8(e.Outcome), e.Elapsed, e.Final, e.Revoked, e.ConnLimitReached, e.RetryAfter, e.LimitReported, e.Remaining, e.Limit)
	case brain.UsualRate:
		fmt.Fprintln(out, "  rate", e.Destination, e.Rate)
	case brain.Observation:
		writeObservation(out, "  learnt", e)
	case brain.RateGrant:
		fmt.Fprintln(out, "  granted", e.Destination, e.Limited, e.Rate, e.TotalRate)
	case brain.Withdrawn:
		fmt.Fprintln(out, "  withdrawn", e.Message)
	case brain.EndpointUpdate:
		fmt.Fprintln(out, "  list", e.Failed, e.Overloaded, e.Complete, len(e.Endpoints))
		for _, line := range e.Endpoints {
			fmt.Fprintln(out, "    endpoint", line.ID, line.Destination, line.Kind, line.Zone, line.Ready, line.Rating)
		}
	case brain.TimerFired:
		fmt.Fprintln(out, "  alarm")
	default:
		panic(fmt.Sprintf("event %T has no recorded form", e))
	}
}

// writeAction writes an action in a form that does not depend on the names of types and fields.
func writeAction(out io.Writer, a brain.Action) {
	switch a := a.(type) {
	case brain.Send:
		fmt.Fprintln(out, "send", a.Message, a.Endpoint, int64(a.Timeout))
	case brain.Revoke:
		fmt.Fprintln(out, "recall", a.Message, a.Attempt, uint8(a.Reason))
	case brain.Reject:
		fmt.Fprintln(out, "refuse", a.Message, int64(a.RetryAfter))
	case brain.Fail:
		fmt.Fprintln(out, "fail", a.Message)
	case brain.Cancel:
		fmt.Fprintln(out, "cancel", a.Message, a.Attempt)
	case brain.CloseIdleConns:
		fmt.Fprintln(out, "closeidle", a.Endpoint)
	case brain.SetTimer:
		fmt.Fprintln(out, "setalarm", int64(a.At))
	case brain.WatchEndpoints:
		fmt.Fprintln(out, "watchlist")
	case brain.Log:
		fmt.Fprintln(out, "log", a.Line)
	default:
		panic(fmt.Sprintf("action %T has no recorded form", a))
	}
}

func writeObservation(out io.Writer, word string, k brain.Observation) {
	fmt.Fprintln(out, word, k.Destination, k.Endpoint, k.Local, k.Samples, int64(k.MeanLatency), int64(k.MedianLatency), int64(k.MinLatency), int64(k.Timeout), int64(k.LatencyAge),
		k.Window, int64(k.WindowAge), k.Limit, int64(k.LimitAge), int64(k.RetryAfter), uint8(k.Health), int64(k.HealthFor), int64(k.OutageFor), int64(k.HealthAge), k.Rate, k.OtherProbers)
}

// recordDay runs a day and writes the actions of its Brain, and the events as well if listed is set.
func recordDay(w *simulation, out io.Writer, listed bool) (actions int) {
	steps := 0
	w.record = func(events []brain.Event, acts []brain.Action) {
		fmt.Fprintln(out, "at", int64(w.now))
		if listed {
			for _, e := range events {
				writeEvent(out, e)
			}
		}
		for _, a := range acts {
			writeAction(out, a)
		}
		actions += len(acts)
		b := w.brain
		if err := b.CheckIndexes(); err != nil {
			w.t.Fatalf("seed %d at %v: %v", w.seed, w.now, err)
		}
		for _, k := range b.ChangedObservations() {
			writeObservation(out, "news", k)
		}
		if steps++; steps%50 > 0 {
			return
		}
		for _, k := range b.Observations() {
			writeObservation(out, "known", k)
		}
		for _, k := range b.Outages() {
			writeObservation(out, "outage", k)
		}
		for _, k := range b.UsualRates() {
			fmt.Fprintln(out, "rate", k.Destination, k.Rate)
		}
	}
	w.run(batches)
	return actions
}

// serviceDay is a day as in service: destinations hibernate, the fleet grants rates, and other senders report what they
// observe.
func serviceDay(t *testing.T, seed uint64) *simulation {
	w := newSimulation(t, seed)
	w.settings.Senders = []int{1, 3, 30, 200}[seed%4]
	w.settings.ReportsChanges, w.settings.MayCancel = true, true
	w.settings.ZoneFees = []float64{0, 0.3}
	if seed%3 > 0 {
		w.settings.HibernateAfter = time.Duration(1+seed%5) * time.Second
		w.settings.IdleConnTimeout = 500 * ms
	}
	w.extraEvents = func() []brain.Event {
		d := brain.DestinationID(w.rng.IntN(w.destinationCount))
		switch w.rng.IntN(25) {
		case 0:
			limited := w.rng.IntN(3) > 0
			return []brain.Event{brain.RateGrant{Destination: d, Limited: limited, Rate: float64(w.rng.IntN(10)), TotalRate: float64(w.rng.IntN(40))}}
		case 1:
			var endpoint brain.EndpointID
			if w.rng.IntN(2) == 0 {
				endpoint = brain.EndpointID(w.rng.IntN(int(w.lastEndpoint) + 1))
				d = w.destinationOf[endpoint]
			}
			randomDuration := func(limit time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(limit))) }
			o := brain.Observation{Destination: d, Endpoint: endpoint, Local: w.rng.IntN(2) == 0, Health: brain.Health(w.rng.IntN(4)), HealthFor: randomDuration(20 * time.Second),
				HealthAge: randomDuration(40 * time.Second), Rate: float64(w.rng.IntN(20)), OtherProbers: w.rng.IntN(5)}
			if w.rng.IntN(2) == 0 {
				o.Samples, o.MeanLatency, o.MedianLatency, o.MinLatency, o.Timeout, o.LatencyAge = w.rng.IntN(100), randomDuration(time.Second), randomDuration(time.Second), randomDuration(200*ms), randomDuration(5*time.Second), randomDuration(3*time.Hour)
				o.Window, o.WindowAge = float64(w.rng.IntN(20)), randomDuration(10*time.Minute)
			}
			if w.rng.IntN(3) == 0 {
				o.Limit, o.LimitAge = float64(w.rng.IntN(30)), randomDuration(time.Hour)
			}
			if w.rng.IntN(4) == 0 {
				o.RetryAfter = randomDuration(4 * time.Second)
			}
			if w.rng.IntN(2) == 0 {
				o.OutageFor = randomDuration(time.Minute)
			}
			return []brain.Event{o}
		}
		return nil
	}
	return w
}

// compareRecord compares the decisions with testdata line by line, or records them. If complete is set, testdata must have
// no further lines.
func compareRecord(t *testing.T, file string, got []string, complete bool) {
	t.Helper()
	file = "testdata/" + file
	if *update {
		if err := os.WriteFile(file, []byte(strings.Join(got, "\n")+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	recorded, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer recorded.Close()
	lines := bufio.NewScanner(recorded)
	wrong := 0
	for i, line := range got {
		if !lines.Scan() {
			t.Fatalf("%s ends before line %d", file, i+1)
		}
		if line != lines.Text() {
			if wrong++; wrong <= 5 {
				t.Errorf("%s:%d: decided\n%s\nrecorded\n%s", file, i+1, line, lines.Text())
			}
		}
	}
	if complete && lines.Scan() {
		t.Errorf("%s has more lines after line %d", file, len(got))
	}
	if err := lines.Err(); err != nil {
		t.Error(err)
	}
	if wrong > 5 {
		t.Errorf("%s: %d lines differ", file, wrong)
	}
}

func TestStep_RecordedDays(t *testing.T) {
	for _, kind := range []struct {
		name string
		days int
		day  func(*testing.T, uint64) *simulation
	}{{"plain", plainDays, newSimulation}, {"service", serviceDays, serviceDay}} {
		t.Run(kind.name, func(t *testing.T) {
			days := kind.days
			if testing.Short() && !*update {
				days /= 8
			}
			var got []string
			kinds := map[string]int{}
			for seed := range uint64(days) {
				hash := fnv.New64a()
				w := kind.day(t, seed)
				n := recordDay(w, hash, false)
				got = append(got, fmt.Sprintf("day %d: %d actions, %016x", seed, n, hash.Sum64()))
				for action, n := range w.counts {
					kinds[action] += n
				}
			}
			for _, action := range []string{"Send", "Revoke", "Reject", "Fail", "Cancel", "CloseIdleConns", "SetTimer", "WatchEndpoints", "Log"} {
				if kinds["brain."+action] < days/10 {
					t.Errorf("too few actions of type %s: %d", action, kinds["brain."+action])
				}
			}
			compareRecord(t, kind.name+"_days.golden", got, days == kind.days)
		})
	}
}

// The first lines of one day are recorded in full, with events and actions, for readers and to find the first difference.
func TestStep_RecordedActions(t *testing.T) {
	var day strings.Builder
	recordDay(serviceDay(t, 1), &day, true)
	lines := strings.Split(day.String(), "\n")
	if len(lines) < listedLines {
		t.Fatalf("the day has %d lines", len(lines))
	}
	compareRecord(t, "service_day_1.golden", lines[:listedLines], true)
}
