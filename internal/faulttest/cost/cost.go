// Package cost measures what a message costs the sender's process: CPU for each delivered, messages a second,
// the client's waiting, and memory, with so many destinations listed, busy, and so many messages held for a
// receiver that hangs. A plain reverse proxy in the same run is the measure.
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

// Case is one measurement.
type Case struct {
	Listed, Busy int
	Backlog      int // messages for a receiver that hangs
	Clients      int // each hands in its next message as soon as the last one is answered
	Body         int // bytes
	For          time.Duration
	Warm         time.Duration   // before the measurement
	Churn        int             // endpoints that are replaced each second
	Memory       int             // MB that the sender is told it has
	Format       encoding.Format // in which messages come in and leave; "" for the platform's
	Fleet        bool            // the sender is one of a fleet that agrees, of itself alone
	Limits       int             // of the first destinations, each its own, that hold nothing back; with Fleet
}

// Result is what a case came to.
type Result struct {
	Case
	CPU      time.Duration // for each message delivered
	Rate     float64       // delivered a second
	P50, P99 time.Duration // from writing the hand-in to its answer
	Refused  int
	Memory   int64 // bytes: the most that the process held
	In, Out  int   // bytes of a hand-in, and of a call as the receiver read them
	First    int64 // bytes: the most seen in the first half, looked at ten times a second
	Second   int64 // and in the second half
}

// bench is one sender's process with what it talks to.
type bench struct {
	folder  string
	log     *eventlog.Log
	disc    *platform.Platform
	sender  *fleet.Sender
	good    *instant
	bad     *instant
	targets int
}

func (b *bench) close() {
	if b.sender != nil {
		b.sender.Close()
	}
	if b.disc != nil {
		b.disc.Close()
	}
	for _, i := range []*instant{b.good, b.bad} {
		if i != nil {
			i.l.Close()
		}
	}
}

func (b *bench) target(cell, generation int) platform.Target {
	addr := b.good.l.Addr().String()
	if cell == b.targets {
		addr = b.bad.l.Addr().String()
	}
	return platform.Target{ID: fmt.Sprintf("s-%d-%d", cell, generation), Addr: addr, Zone: "a", Kind: "plain", Cell: cell, State: platform.Serving, Weight: 1}
}

// start starts a sender with so many destinations, and one more that hangs.
func start(command []string, folder string, c Case) (*bench, error) {
	b := &bench{folder: folder, log: eventlog.New(nil, nil), targets: c.Listed}
	b.log.Restart()
	fail := func(err error) (*bench, error) {
		b.close()
		return nil, fmt.Errorf("cost: %w", err)
	}
	var err error
	if b.good, err = newInstant(false); err != nil {
		return fail(err)
	}
	if b.bad, err = newInstant(true); err != nil {
		return fail(err)
	}
	b.disc = platform.New(b.log, func() string { return "127.0.0.1" }, func(string, string, string, time.Duration) {})
	for i := range c.Listed + 1 {
		b.disc.Set(b.target(i, 0))
	}
	if _, err := b.disc.Open("n0"); err != nil {
		return fail(err)
	}
	listen, err := fleet.FreeAddr("127.0.0.1")
	if err != nil {
		return fail(err)
	}
	b.sender, err = fleet.New(fleet.Config{Name: "n0", Listen: listen, Folder: folder, Command: command, Log: b.log, Configure: func(run int, fresh bool) (map[string]any, error) {
		return map[string]any{"discovery": b.disc.Addr("n0"), "seed": "5", "known": b.disc.Started("n0", run, fresh),
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

// features writes the operators' file for a form, and gives the command that heeds it.
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

// withFile has a command heed an operators' file.
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

// usage is the CPU time that a process has used, and its memory now and at the most.
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
	if err := b.hold(c); err != nil {
		return Result{}, err
	}
	if c.Churn > 0 {
		stop := make(chan struct{})
		defer close(stop)
		go b.churn(c, stop)
	}
	return measure(ctx, c, b.sender.Listen, b.sender.PID(), b.good, c.request(), http.StatusAccepted)
}

// request makes the hand-ins of a case.
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

// hold hands in what is to be held for the receiver that hangs.
func (b *bench) hold(c Case) error {
	conn, err := dial(b.sender.Listen)
	if err != nil {
		return err
	}
	defer conn.Close()
	for n := range c.Backlog {
		text := traffic.Submission{ID: "held-" + strconv.Itoa(n), Class: "safe", Tenant: "acme", Deadline: 20 * time.Minute, Dest: b.targets, Body: make([]byte, c.Body)}.Request()
		for try := 0; ; try++ {
			status, err := conn.ask(text)
			if err != nil {
				return fmt.Errorf("cost: holding: %w", err)
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

// churn replaces endpoints by new ones, the quiet destinations' too.
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
		b.disc.Set(b.target(i, generation[i]))
		old.State = platform.Deleted
		b.disc.Set(old)
	}
}

// measure loads a server and reads what its process used.
func measure(ctx context.Context, c Case, addr string, pid int, receiver *instant, request func(int64) []byte, want int) (Result, error) {
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
	began, n, read := time.Now(), receiver.n.Load(), receiver.bytes.Load()
	for end := began.Add(c.For); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, min(100*time.Millisecond, time.Until(end)))
		_, held, _, err := usage(pid)
		if err != nil {
			return res, err
		}
		if half := &res.First; time.Until(end) > c.For/2 {
			*half = max(*half, held)
		} else {
			res.Second = max(res.Second, held)
		}
	}
	delivered, took := receiver.n.Load()-n, time.Since(began)
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

// Folder is a new one for a case below a folder.
func Folder(below string, c Case) string {
	return filepath.Join(below, fmt.Sprintf("%d-%d-%d%s-%v", c.Listed, c.Busy, c.Backlog, c.Format, c.Fleet))
}
