package cost

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Beside measures two cases side by side, under one load each at the same time, so that what the machine does meanwhile strikes
// both. What a message costs the second is set against the first slice by slice; single runs in turns spread by half here, slices
// of one run by some hundredths.
func Beside(ctx context.Context, command []string, folder string, one, other Case, slice time.Duration) (ratios []float64, err error) {
	var benches [2]*bench
	var loads [2]*load
	for i, c := range []Case{one, other} {
		below := filepath.Join(folder, fmt.Sprintf("beside-%d", i))
		with, err := features(command, below, c)
		if err != nil {
			return nil, err
		}
		if benches[i], err = start(with, below, c); err != nil {
			return nil, err
		}
		defer benches[i].close()
		if c.Limits > 0 {
			if err := benches[i].limit(ctx, c.Limits); err != nil {
				return nil, fmt.Errorf("cost: limits: %w", err)
			}
		}
		loads[i] = newLoad(ctx, c.Clients, benches[i].sender.Listen, c.request(), http.StatusAccepted)
		defer loads[i].stop()
	}
	sleep(ctx, one.Warm)
	type mark struct {
		cpu time.Duration
		n   int64
	}
	look := func() (m [2]mark, err error) {
		for i, b := range benches {
			if m[i].cpu, err = exactly(b.sender.PID()); err != nil {
				return m, err
			}
			m[i].n = b.good.n.Load()
		}
		return m, nil
	}
	was, err := look()
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(one.For); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, slice)
		is, err := look()
		if err != nil {
			return nil, err
		}
		each := func(i int) float64 { return float64(is[i].cpu-was[i].cpu) / float64(is[i].n-was[i].n) }
		if is[0].n > was[0].n && is[1].n > was[1].n {
			ratios = append(ratios, each(1)/each(0))
		}
		was = is
	}
	if len(ratios) == 0 {
		return nil, errNothingDelivered
	}
	return ratios, errors.Join(loads[0].stop(), loads[1].stop())
}

// limit has so many destinations limited by the fleet, each by itself and higher than is ever sent, and waits until units are held.
func (b *bench) limit(ctx context.Context, n int) error {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "unix", filepath.Join(b.sender.State(), "sender.sock"))
	}}}
	ask := func(method, path, body string) (string, error) {
		req, err := http.NewRequestWithContext(ctx, method, "http://sender"+path, strings.NewReader(body))
		if err != nil {
			return "", err
		}
		resp, err := client.Do(req)
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		raw, err := io.ReadAll(resp.Body)
		if err == nil && resp.StatusCode != http.StatusOK {
			err = &refusalError{text: strings.TrimSpace(string(raw))}
		}
		return string(raw), err
	}
	var names []string
	for i := range n {
		names = append(names, strconv.Itoa(i))
	}
	document := fmt.Sprintf("[[limit]]\ndestinations = [%s]\ncalls = 1000000\n", strings.Join(names, ", "))
	var err error
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, 50*time.Millisecond) {
		var text string
		if text, err = ask(http.MethodGet, "/fleet", ""); err != nil || !strings.Contains(text, `"acts":true`) {
			continue
		}
		if _, err = ask(http.MethodPost, "/policy/propose?base=0&wait=20s", document); err == nil {
			sleep(ctx, 8*time.Second) // a new authority waits for what an earlier one may have lent
			return nil
		}
	}
	return errors.Join(err, ctx.Err(), errNoDocument)
}

// Middle is the median of some figures, and the bounds within which it lies nineteen times of twenty, by their order alone.
func Middle(all []float64) (least, middle, most float64) {
	s := slices.Sorted(slices.Values(all))
	n := float64(len(s))
	half := 1.96 * math.Sqrt(n) / 2
	at := func(i float64) float64 { return s[int(min(max(i, 0), n-1))] }
	return at(math.Floor(n/2 - half)), s[len(s)/2], at(math.Ceil(n/2 + half))
}

// exactly is the CPU time that a process's threads have used, to the nanosecond; those of threads that have ended are missing, and a
// Go program ends none while it serves.
func exactly(pid int) (sum time.Duration, err error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err == nil && len(tasks) == 0 {
		err = &noTimesError{pid: pid}
	}
	for _, t := range tasks {
		raw, bad := os.ReadFile(t)
		first, _, _ := strings.Cut(string(raw), " ")
		ns, worse := strconv.ParseInt(first, 10, 64)
		if bad != nil || worse != nil {
			return 0, errors.Join(bad, worse)
		}
		sum += time.Duration(ns)
	}
	return sum, err
}
