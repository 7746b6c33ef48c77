package mutant

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// dispatch sends the messages that may be sent now and gives up those that have no time left.
func (s *Sender) dispatch(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, d := range s.dests {
		for _, m := range slices.Clone(d.queue) {
			if !m.inFlight && now.After(m.deadline.Add(-deadlineMargin)) {
				s.giveUp(m)
			}
		}
		if now.Before(d.waitUntil) && s.fault != IgnoresRetryAfter {
			continue
		}
		for _, m := range slices.Clone(d.queue) {
			if !s.hasCapacity(d, now) {
				break
			}
			if m.inFlight || m.ended || now.Before(m.notBefore) || !s.isNext(m, now) {
				continue
			}
			if !s.maySend(m, now) { // also if an earlier process sent the message
				s.giveUp(m)
				continue
			}
			addr, ok := s.pick(m.Dest, d)
			if !ok {
				break
			}
			if s.write(record{Op: "send", ID: m.ID, At: now.UnixMicro()}) != nil {
				break
			}
			m.inFlight, m.attempts = true, m.attempts+1
			d.inFlight++
			d.nextProbe = now.Add(probeInterval)
			go s.call(ctx, m, d, addr, now)
		}
	}
}

// hasCapacity reports whether one more call may go to a receiver now.
func (s *Sender) hasCapacity(d *dest, now time.Time) bool {
	switch {
	case d.inOutage:
		return d.inFlight == 0 && now.After(d.nextProbe)
	case now.Before(d.slowStartUntil) && s.fault != FloodsRecovered:
		return d.inFlight == 0
	case s.fault == FloodsRecovered:
		return d.inFlight < 1000
	}
	return d.inFlight < maxInFlight
}

// isNext reports whether a message is the first of its key and the key's rest time is over.
func (s *Sender) isNext(m *message, now time.Time) bool {
	if m.Order == "" || s.fault == Reorders {
		return true
	}
	return s.keyQueues[m.Order][0] == m && !now.Before(s.restUntil[m.Order])
}

func (s *Sender) pick(n int, d *dest) (string, bool) {
	var ids []string
	for id, e := range s.endpoints {
		if e.cell == n && (e.state == "SERVING" || (s.fault == IgnoresDraining && e.state == "DRAINING")) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return "", false
	}
	slices.Sort(ids)
	d.next++
	return s.endpoints[ids[d.next%len(ids)]].addr, true
}

// call makes one call and records its outcome.
func (s *Sender) call(ctx context.Context, m *message, d *dest, addr string, began time.Time) {
	status, wait, notExecuted := sendOnce(ctx, m, addr, min(callTime, time.Until(m.deadline)-deadlineMargin/2))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	m.inFlight = false
	d.inFlight--
	if notExecuted {
		s.write(record{Op: "end", ID: m.ID, At: began.UnixMicro(), Never: true})
	} else if m.firstMayHaveRun.IsZero() {
		m.firstMayHaveRun = began
	}
	if wait > 0 {
		d.waitUntil = now.Add(wait)
	}
	switch {
	case status == http.StatusOK:
		if d.inOutage {
			d.inOutage, d.slowStartUntil = false, now.Add(slowStartTime)
		}
		d.fails = 0
		s.remove(m)
		return
	case status != http.StatusTooManyRequests:
		if d.fails++; d.fails >= maxFailures {
			d.inOutage = true
		}
	}
	if !notExecuted && m.Order != "" {
		s.restUntil[m.Order] = now.Add(s.restTime())
	}
	m.notBefore = now.Add(100 * time.Millisecond)
	if !s.maySend(m, now) {
		s.giveUp(m)
	}
}

// maySend reports whether a message may be sent now, given its attempts and whether it may have run.
func (s *Sender) maySend(m *message, now time.Time) bool {
	c := s.classes[m.Class]
	switch mayHaveRun := !m.firstMayHaveRun.IsZero(); {
	case m.attempts >= s.config.Settings.Limits.Attempts:
		return false
	case mayHaveRun && c.Effect == "non_idempotent":
		return s.fault == RepeatsUnsafe
	case mayHaveRun && c.Effect == "idempotency_key":
		return now.Sub(m.firstMayHaveRun) < time.Duration(c.Window*float64(time.Millisecond))-callTime
	}
	return true
}

// sendOnce makes a call on a connection of its own. notExecuted reports that the call certainly did not run.
func sendOnce(ctx context.Context, m *message, addr string, limit time.Duration) (status int, wait time.Duration, notExecuted bool) {
	if limit <= 0 {
		return 0, 0, true
	}
	conn, err := (&net.Dialer{Timeout: min(dialTime, limit)}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return 0, 0, true
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(limit))
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST /hook HTTP/1.1\r\nHost: receiver\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nConnection: close\r\nContent-Length: %d\r\n", m.ID, limit.Milliseconds(), len(m.Body))
	if m.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", m.Key)
	}
	b.WriteString("\r\n")
	b.Write(m.Body)
	if _, err := conn.Write(b.Bytes()); err != nil {
		return 0, 0, false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0, false
	}
	if ms, err := strconv.ParseInt(resp.Header.Get("X-RateLimit-Wait-Ms"), 10, 64); err == nil && resp.StatusCode == http.StatusTooManyRequests {
		wait = time.Duration(ms) * time.Millisecond
	}
	switch resp.StatusCode {
	case 429, 503, 504, 410:
		notExecuted = true
	}
	return resp.StatusCode, wait, notExecuted
}

// remove marks a message as ended and removes it from the queues.
func (s *Sender) remove(m *message) {
	if m.ended {
		return
	}
	m.ended = true
	s.pending--
	s.write(record{Op: "over", ID: m.ID})
	d := s.dest(m.Dest)
	d.queue = slices.DeleteFunc(d.queue, func(x *message) bool { return x == m })
	if m.Order != "" {
		s.keyQueues[m.Order] = slices.DeleteFunc(s.keyQueues[m.Order], func(x *message) bool { return x == m })
	}
}

// giveUp ends a message undelivered and sends the platform a notice.
func (s *Sender) giveUp(m *message) {
	if m.ended {
		return
	}
	s.remove(m)
	line := fmt.Sprintf(`{"message":%q,"outcome":"given_up"}`+"\n", m.ID)
	go func() {
		for range 5 {
			resp, err := http.Post("http://"+s.config.Discovery+"/v1/notices", "application/x-ndjson", strings.NewReader(line))
			if err == nil {
				resp.Body.Close()
				return
			}
			time.Sleep(listInterval)
		}
	}()
}
