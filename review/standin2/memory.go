package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The case memory: clients with slow lines send bodies that keep within max_body_bytes. Bursts bring 2.3 times as many of them. The
// platform's stand-in does what the pages say: it kills a process that goes over its memory_mb, and starts it again after a short delay.
// The rule is broken when that happens three times on each of two machines.
const (
	bodyBytes       = 4 << 20 // max_body_bytes
	usualClients    = 40      // at once, through each gateway
	burstFactor     = 2.3
	bodyPieces      = 128
	bodyPause       = 30 * time.Millisecond // between the pieces of a body
	memoryGateways  = 2
	memoryBursts    = 6
	burstTime       = 4400 * time.Millisecond
	burstInterval   = 9 * time.Second // from the begin of one burst to that of the next
	burstLead       = 4 * time.Second
	memoryLimitMB   = 284
	memoryInterval  = 20 * time.Millisecond
	restartDelay    = 300 * time.Millisecond
	ownEnds         = 3 // of a machine, for the rule
	serviceWorkTime = 50 * time.Millisecond
	retryPause      = 200 * time.Millisecond // of a client whose request failed
)

func init() { cases["memory"] = memoryCase }

// slowBody is a body that is sent piece by piece.
type slowBody struct{ left int }

// Read implements io.Reader.
func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(bodyPause)
	n := min(len(p), bodyBytes/bodyPieces, b.left)
	for i := range p[:n] {
		p[i] = 'x'
	}
	b.left -= n
	return n, nil
}

// residentMB returns the resident memory of the machine's process.
func (m *machine) residentMB() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kilobytes >> 10
		}
	}
	return 0
}

// memoryCase plays the case.
func memoryCase(l *lab, trouble bool) (verdict, error) {
	serve := func(w http.ResponseWriter, _ *http.Request, body string) {
		time.Sleep(serviceWorkTime)
		fmt.Fprintf(w, "took %d bytes", len(body))
	}
	for range 8 {
		if err := l.platform.add(serve); err != nil {
			return verdict{}, err
		}
	}
	if err := l.start(tierSize{cores: 3, stores: 2, gateways: memoryGateways}); err != nil {
		return verdict{}, err
	}
	if err := l.configure(); err != nil {
		return verdict{}, err
	}
	end := time.Now().Add(burstLead + memoryBursts*burstInterval)
	var watching, running sync.WaitGroup
	limits := make([]memoryWatch, memoryGateways)
	for i, gateway := range l.of("gateway") {
		watching.Go(func() { limits[i].run(gateway, end) })
	}
	counts := map[int]int{}
	var mu sync.Mutex
	client := func(gateway string, until time.Time) {
		for time.Now().Before(until) {
			status := l.upload(gateway)
			mu.Lock()
			counts[status]++
			mu.Unlock()
			if status != http.StatusOK {
				time.Sleep(retryPause)
			}
		}
	}
	for i := range memoryGateways {
		for range usualClients {
			running.Go(func() {
				time.Sleep(rand.N(bodyPieces * bodyPause))
				client(l.frontend(i), end)
			})
		}
	}
	time.Sleep(burstLead)
	for range memoryBursts {
		next := time.Now().Add(burstInterval)
		if trouble {
			l.note("a burst begins")
			until := time.Now().Add(burstTime)
			for i := range memoryGateways {
				for range int(usualClients*burstFactor) - usualClients {
					running.Go(func() { client(l.frontend(i), until) })
				}
			}
		}
		time.Sleep(time.Until(next))
	}
	running.Wait()
	watching.Wait()
	result := verdict{checked: counts[http.StatusOK]}
	machines := 0
	for i := range limits {
		l.note("gateway %d: peak %d MB, over its limit %d times", i+1, limits[i].peak, limits[i].kills)
		if limits[i].kills >= ownEnds {
			machines++
		}
	}
	l.note("answers by status: %v", counts)
	if machines >= memoryGateways {
		result.broken = append(result.broken, fmt.Sprintf("Fault: on %d machines processes went over memory_mb (%d) %d times or more", machines, memoryLimitMB, ownEnds))
	}
	return result, nil
}

// memoryWatch is the platform's limit on the memory of one process.
type memoryWatch struct{ peak, kills int }

// run kills the process when it goes over its limit, and starts it again, until the given time.
func (w *memoryWatch) run(m *machine, until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(memoryInterval)
		resident := m.residentMB()
		w.peak = max(w.peak, resident)
		if resident <= memoryLimitMB {
			continue
		}
		m.lab.note("%s has %d MB, over its memory_mb of %d: killed", m.node, resident, memoryLimitMB)
		w.kills++
		m.kill()
		time.Sleep(restartDelay)
		if err := m.start(); err != nil {
			m.lab.note("%s did not start: %v", m.node, err)
			return
		}
	}
}

// upload sends one notice with a body of the largest size.
func (l *lab) upload(gateway string) int {
	ctx, cancel := context.WithTimeout(context.Background(), noticeDeadline)
	defer cancel()
	id := newAttempt()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+noticePrefix+"2f", &slowBody{left: bodyBytes})
	if err != nil {
		return 0
	}
	request.Host, request.ContentLength = routeHost, bodyBytes
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(noticeDeadline.Milliseconds(), 10))
	l.note("sent %s: %d bytes", id, bodyBytes)
	response, err := clientTransport.RoundTrip(request)
	if err != nil {
		l.note("no answer to %s: %v", id, err)
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	l.note("answer to %s: %d", id, response.StatusCode)
	return response.StatusCode
}
