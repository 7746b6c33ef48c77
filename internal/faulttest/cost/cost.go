// Package cost measures what a message costs the sender's process: CPU time per delivered message, messages per second, client latency
// and memory, for a number of listed and busy destinations and a backlog for a receiver that hangs. A plain reverse proxy in the same
// run is the baseline.
package cost

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/encoding"
	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/fleet"
	"saffronyard.example/saffronyard/internal/faulttest/platform"
	"saffronyard.example/saffronyard/internal/faulttest/traffic"
)

// Case holds the parameters of one measurement.
type Case struct {
	Listed, Busy int
	Backlog      int // messages for a receiver that hangs
	Clients      int // each hands in its next message as soon as the last one is answered
	Body         int // bytes
	For          time.Duration
	Warm         time.Duration   // load before the measurement begins
	Churn        int             // endpoints that are replaced each second
	Memory       int             // MB; the sender's configured memory limit
	Format       encoding.Format // of hand-ins and calls; "" for the platform's
	Fleet        bool            // the sender runs as a fleet with itself as the only voter
	Limits       int             // number of destinations with a fleet limit each, too high to delay calls; needs Fleet
}

// Result holds the measurements of a case.
type Result struct {
	Case
	CPU      time.Duration // per delivered message
	Rate     float64       // delivered messages per second
	P50, P99 time.Duration // from writing the hand-in to its answer
	Refused  int
	Memory   int64 // bytes; peak resident memory of the process
	In, Out  int   // bytes of a hand-in, and of a call as the receiver reads it
	First    int64 // bytes; peak resident memory in the first half, sampled ten times per second
	Second   int64 // bytes; the same for the second half
}

// bench is a sender process with its discovery and its receivers.
type bench struct {
	folder     string
	log        *eventlog.Log
	discovery  *platform.Platform
	sender     *fleet.Sender
	responsive *instantReceiver
	hanging    *instantReceiver
	targets    int
}

func (b *bench) close() {
	if b.sender != nil {
		b.sender.Close()
	}
	if b.discovery != nil {
		b.discovery.Close()
	}
	for _, i := range []*instantReceiver{b.responsive, b.hanging} {
		if i != nil {
			i.l.Close()
		}
	}
}

func (b *bench) target(cell, generation int) platform.Target {
	addr := b.responsive.l.Addr().String()
	if cell == b.targets {
		addr = b.hanging.l.Addr().String()
	}
	return platform.Target{ID: fmt.Sprintf("s-%d-%d", cell, generation), Addr: addr, Zone: "a", Kind: "plain", Cell: cell, State: platform.Serving, Weight: 1}
}

// start starts a sender with c.Listed destinations and one more that hangs.
func start(command []string, folder string, c Case) (*bench, error) {
	b := &bench{folder: folder, log: eventlog.New(nil, nil), targets: c.Listed}
	b.log.Restart()
	fail := func(err error) (*bench, error) {
		b.close()
		return nil, fmt.Errorf("cost: %w", err)
	}
	var err error
	if b.responsive, err = newInstantReceiver(false); err != nil {
		return fail(err)
	}
	if b.hanging, err = newInstantReceiver(true); err != nil {
		return fail(err)
	}
	b.discovery = platform.New(b.log, func() string { return "127.0.0.1" }, func(string, string, string, time.Duration) {})
	for i := range c.Listed + 1 {
		b.discovery.Set(b.target(i, 0))
	}
	if _, err := b.discovery.Open("n0"); err != nil {
		return fail(err)
	}
	listen, err := fleet.FreeAddr("127.0.0.1")
	if err != nil {
		return fail(err)
	}
	b.sender, err = fleet.New(fleet.Config{Name: "n0", Listen: listen, Folder: folder, Command: command, Log: b.log, Configure: func(run int, fresh bool) (map[string]any, error) {
		return map[string]any{"discovery": b.discovery.Addr("n0"), "seed": "5", "known": b.discovery.Started("n0", run, fresh),
			"limits": map[string]any{"cores": 1.0, "memory_mb": c.Memory, "sockets": 16384, "disk_mb": 1024},
			"settings": map[string]any{"balancers": 1, "discovery": "on_request", "step": 5.0, "zone": 0, "zones": []any{"a"}, "models": []any{"plain"},
				"familyInfo": map[string]any{"callsOut": 256, "fades": "halving", "routesApart": []any{false}, "perCall": []any{1}},
				"limits": map[string]any{"cancel": true, "connIdle": 15000.0, "connectTimeout": 1500.0, "maxAttempts": 6, "mostHeld": 200000,
					"retryAfter": true, "maxRetryAfter": 2000.0},
				"rules":     map[string]any{"fallMultiple": 2.0, "startCapacity": 0.2, "overloadFor": 3000.0, "cold": 14000.0},
				"services":  []any{map[string]any{"name": "safe", "slo": 2500.0, "giveUp": 1200000.0, "effect": "read_like", "worth": 1.0, "lateValue": 0.5}},
				"orgs":      []any{map[string]any{"name": "acme", "share": 1.0, "allowancePerS": 1e6}},
				"telemetry": map[string]any{"fields": []any{"x0", "x1"}, "via": "answers"}}}, nil
	}})
	if err != nil {
		return fail(err)
	}
	if err := b.sender.Start(true); err != nil {
		return fail(err)
	}
	return b, nil
}

// features writes the operators' file that a case needs, if any, and returns the command that uses it.
func features(command []string, folder string, c Case) ([]string, error) {
	if c.Fleet {
		address, err := fleet.FreeAddr("127.0.0.1")
		if err != nil {
			return nil, fmt.Errorf("cost: %w", err)
		}
		return withFile(command, folder, fmt.Sprintf("[fleet]\ncluster = \"cost\"\nlisten = %q\n[[fleet.voter]]\nname = \"n0\"\naddress = %q\n", address, address))
	}
	if c.Format == "" || c.Format == encoding.Plain {
		return command, nil
	}
	text := encoding.Rules([]encoding.Class{{Name: "safe", Deadline: 20 * time.Second}})
	text = strings.Replace(text, "remember = \"1m\"\nremember_most = 10000", "remember = \"10s\"\nremember_most = 1000000", 1)
	text += encoding.Delivery(map[string]encoding.Format{"plain": c.Format})
	return withFile(command, folder, text)
}

// withFile writes an operators' file and returns the command that uses it.
func withFile(command []string, folder, text string) ([]string, error) {
	path := filepath.Join(folder, "features.toml")
	err := os.MkdirAll(folder, 0o755)
	if err == nil {
		err = os.WriteFile(path, []byte(text), 0o644)
	}
	if err != nil {
		return nil, fmt.Errorf("cost: %w", err)
	}
	return append(slices.Clone(command), "-features", path), nil
}

// usage returns the CPU time that a process has used, and its current and its peak resident memory in bytes.
func usage(pid int) (cpu time.Duration, now, most int64, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, 0, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) < 13 {
		return 0, 0, 0, errShortStat
	}
	ticks := int64(0)
	for _, f := range fields[11:13] { // utime and stime, in hundredths of a second
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, 0, 0, err
		}
		ticks += n
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, 0, err
	}
	kb := func(name string) int64 {
		_, rest, _ := strings.Cut(string(status), name+":")
		fields := strings.Fields(rest)
		if len(fields) == 0 {
			return 0
		}
		n, _ := strconv.ParseInt(fields[0], 10, 64)
		return n * 1024
	}
	return time.Duration(ticks) * 10 * time.Millisecond, kb("VmRSS"), kb("VmHWM"), nil
}

// Sender measures one case.
func Sender(ctx context.Context, command []string, folder string, c Case) (Result, error) {
	command, err := features(command, folder, c)
	if err != nil {
		return Result{}, err
	}
	b, err := start(command, folder, c)
	if err != nil {
		return Result{}, err
	}
	defer b.close()
	if err := b.fillBacklog(c); err != nil {
		return Result{}, err
	}
	if c.Churn > 0 {
		stop := make(chan struct{})
		defer close(stop)
		go b.churn(c, stop)
	}
	return measure(ctx, c, b.sender.Listen, b.sender.PID(), b.responsive, c.request(), http.StatusAccepted)
}

// request returns a function that makes the n-th hand-in of a case.
func (c Case) request() func(n int64) []byte {
	body := bytes.Repeat([]byte("x"), c.Body)
	return func(n int64) []byte {
		if c.Format != "" && c.Format != encoding.Plain {
			id := strconv.FormatInt(n, 16)
			if c.Format == encoding.Batched {
				id += encoding.BatchTail
			}
			return c.Format.Request(encoding.Message{ID: id, Class: "safe", Member: "acme", Dest: int(n) % max(1, c.Busy), Expires: time.Now().Add(20 * time.Second), Body: body})
		}
		return traffic.Submission{ID: strconv.FormatInt(n, 16), Class: "safe", Tenant: "acme", Deadline: 20 * time.Second, Dest: int(n) % max(1, c.Busy), Body: body}.Request()
	}
}

// fillBacklog hands in the backlog of messages for the receiver that hangs.
func (b *bench) fillBacklog(c Case) error {
	conn, err := dial(b.sender.Listen)
	if err != nil {
		return err
	}
	defer conn.Close()
	for n := range c.Backlog {
		text := traffic.Submission{ID: "held-" + strconv.Itoa(n), Class: "safe", Tenant: "acme", Deadline: 20 * time.Minute, Dest: b.targets, Body: make([]byte, c.Body)}.Request()
		for try := 0; ; try++ {
			status, err := conn.roundTrip(text)
			if err != nil {
				return fmt.Errorf("cost: fill backlog: %w", err)
			}
			if status == 202 {
				break
			}
			if try > 20 {
				return &answerError{message: n, status: status}
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// churn replaces endpoints by new ones, including those of idle destinations.
func (b *bench) churn(c Case, stop <-chan struct{}) {
	t := time.NewTicker(time.Second / time.Duration(c.Churn))
	defer t.Stop()
	generation := make([]int, c.Listed)
	for i := 0; ; i = (i + 1) % c.Listed {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		old := b.target(i, generation[i])
		generation[i]++
		b.discovery.Set(b.target(i, generation[i]))
		old.State = platform.Deleted
		b.discovery.Set(old)
	}
}

// measure puts load on a server and measures its process.
func measure(ctx context.Context, c Case, addr string, pid int, receiver *instantReceiver, request func(int64) []byte, want int) (Result, error) {
	res := Result{Case: c}
	l := newLoad(ctx, c.Clients, addr, request, want)
	defer l.stop()
	sleep(ctx, c.Warm)
	l.counting.Store(true)
	l.refused.Store(0)
	cpu, _, _, err := usage(pid)
	if err != nil {
		return res, err
	}
	began, n, read := time.Now(), receiver.delivered.Load(), receiver.bytes.Load()
	for end := began.Add(c.For); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, min(100*time.Millisecond, time.Until(end)))
		_, rss, _, err := usage(pid)
		if err != nil {
			return res, err
		}
		if half := &res.First; time.Until(end) > c.For/2 {
			*half = max(*half, rss)
		} else {
			res.Second = max(res.Second, rss)
		}
	}
	delivered, took := receiver.delivered.Load()-n, time.Since(began)
	res.Out = int((receiver.bytes.Load() - read) / max(1, delivered))
	res.In = len(request(l.number.Add(1)))
	after, _, most, err := usage(pid)
	if err != nil {
		return res, err
	}
	if err := l.stop(); err != nil {
		return res, err
	}
	waits := l.waits
	if delivered == 0 || len(waits) == 0 {
		return res, errNothingDelivered
	}
	slices.Sort(waits)
	res.CPU, res.Rate = (after-cpu)/time.Duration(delivered), float64(delivered)/took.Seconds()
	res.P50, res.P99 = waits[len(waits)/2], waits[(len(waits)*99-1)/100]
	res.Refused, res.Memory = int(l.refused.Load()), most
	return res, nil
}

// Folder returns the path of the folder for a case below parent.
func Folder(parent string, c Case) string {
	return filepath.Join(parent, fmt.Sprintf("%d-%d-%d%s-%v", c.Listed, c.Busy, c.Backlog, c.Format, c.Fleet))
}
