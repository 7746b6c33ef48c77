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

// SideBySide measures two cases at the same time, each under a load of its own, so that other activity of the machine affects both. It
// returns, for each slice, the CPU time per message of the second case divided by that of the first. Alternating single runs vary by
// half on the same machine, slices of one run by a few hundredths.
func SideBySide(ctx context.Context, command []string, folder string, one, other Case, slice time.Duration) (ratios []float64, err error) {
	var benches [2]*bench
	var loads [2]*load
	for i, c := range []Case{one, other} {
		caseFolder := filepath.Join(folder, fmt.Sprintf("beside-%d", i))
		caseCommand, err := features(command, caseFolder, c)
		if err != nil {
			return nil, err
		}
		if benches[i], err = start(caseCommand, caseFolder, c); err != nil {
			return nil, err
		}
		defer benches[i].close()
		if c.Limits > 0 {
			if err := benches[i].setLimits(ctx, c.Limits); err != nil {
				return nil, fmt.Errorf("cost: limits: %w", err)
			}
		}
		loads[i] = newLoad(ctx, c.Clients, benches[i].sender.Listen, c.request(), http.StatusAccepted)
		defer loads[i].stop()
	}
	sleep(ctx, one.Warm)
	type sample struct {
		cpu time.Duration
		n   int64
	}
	takeSample := func() (m [2]sample, err error) {
		for i, b := range benches {
			if m[i].cpu, err = threadCPUTime(b.sender.PID()); err != nil {
				return m, err
			}
			m[i].n = b.responsive.delivered.Load()
		}
		return m, nil
	}
	previous, err := takeSample()
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(one.For); time.Now().Before(end) && ctx.Err() == nil; {
		sleep(ctx, slice)
		current, err := takeSample()
		if err != nil {
			return nil, err
		}
		cpuPerMessage := func(i int) float64 {
			return float64(current[i].cpu-previous[i].cpu) / float64(current[i].n-previous[i].n)
		}
		if current[0].n > previous[0].n && current[1].n > previous[1].n {
			ratios = append(ratios, cpuPerMessage(1)/cpuPerMessage(0))
		}
		previous = current
	}
	if len(ratios) == 0 {
		return nil, errNothingDelivered
	}
	return ratios, errors.Join(loads[0].stop(), loads[1].stop())
}

// setLimits proposes a fleet limit for each of the first n destinations, higher than any load, and waits until the sender holds units of
// the limits.
func (b *bench) setLimits(ctx context.Context, n int) error {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "unix", filepath.Join(b.sender.State(), "sender.sock"))
	}}}
	call := func(method, path, body string) (string, error) {
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
		if text, err = call(http.MethodGet, "/fleet", ""); err != nil || !strings.Contains(text, `"acts":true`) {
			continue
		}
		if _, err = call(http.MethodPost, "/policy/propose?base=0&wait=20s", document); err == nil {
			sleep(ctx, 8*time.Second) // a new authority first waits until units that an earlier one may have lent have expired
			return nil
		}
	}
	return errors.Join(err, ctx.Err(), errNoDocument)
}

// MedianInterval returns the median of some figures and the bounds of its 95% confidence interval, from order statistics alone.
func MedianInterval(all []float64) (least, middle, most float64) {
	s := slices.Sorted(slices.Values(all))
	n := float64(len(s))
	half := 1.96 * math.Sqrt(n) / 2
	at := func(i float64) float64 { return s[int(min(max(i, 0), n-1))] }
	return at(math.Floor(n/2 - half)), s[len(s)/2], at(math.Ceil(n/2 + half))
}

// threadCPUTime returns the CPU time that a process's threads have used, in nanoseconds. Threads that have ended are missing; a Go program
// ends none while it serves.
func threadCPUTime(pid int) (sum time.Duration, err error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err == nil && len(tasks) == 0 {
		err = &noTimesError{pid: pid}
	}
	for _, t := range tasks {
		raw, readErr := os.ReadFile(t)
		first, _, _ := strings.Cut(string(raw), " ")
		ns, parseErr := strconv.ParseInt(first, 10, 64)
		if readErr != nil || parseErr != nil {
			return 0, errors.Join(readErr, parseErr)
		}
		sum += time.Duration(ns)
	}
	return sum, err
}
