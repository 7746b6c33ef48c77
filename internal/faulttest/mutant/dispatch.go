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

// dispatch sends what may be sent now.
func (s *Sender) dispatch(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, d := range s.dests {
		for _, m := range slices.Clone(d.queue) {
			if !m.out && now.After(m.deadline.Add(-margin)) {
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
			if m.out || m.over || now.Before(m.notBefore) || !s.turn(m, now) {
				continue
			}
			if !s.lawful(m, now) { // also one that an earlier process had sent
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
			m.out, m.attempts = true, m.attempts+1
			d.out++
			d.nextProbe = now.Add(probeEach)
			go s.call(ctx, m, d, addr, now)
		}
	}
}

// hasCapacity is whether one more call may go to a receiver now.
func (s *Sender) hasCapacity(d *dest, now time.Time) bool {
	switch {
	case d.isOut:
		return d.out == 0 && now.After(d.nextProbe)
	case now.Before(d.warmUntil) && s.fault != FloodsRecovered:
		return d.out == 0
	case s.fault == FloodsRecovered:
		return d.out < 1000
	}
	return d.out < atOnce
}

// turn is whether a message is first of its key and the key need not rest.
func (s *Sender) turn(m *message, now time.Time) bool {
	if m.Order == "" || s.fault == Reorders {
		return true
	}
	return s.turns[m.Order][0] == m && !now.Before(s.rest[m.Order])
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

// call makes one call and books its outcome.
func (s *Sender) call(ctx context.Context, m *message, d *dest, addr string, began time.Time) {
	status, wait, never := once(ctx, m, addr, min(callTime, time.Until(m.deadline)-margin/2))
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	m.out = false
	d.out--
	if never {
		s.write(record{Op: "end", ID: m.ID, At: began.UnixMicro(), Never: true})
	} else if m.first.IsZero() {
		m.first = began
	}
	if wait > 0 {
		d.waitUntil = now.Add(wait)
	}
	switch {
	case status == http.StatusOK:
		if d.isOut {
			d.isOut, d.warmUntil = false, now.Add(warming)
		}
		d.fails = 0
		s.end(m)
		return
	case status != http.StatusTooManyRequests:
		if d.fails++; d.fails >= maxFailures {
			d.isOut = true
		}
	}
	if !never && m.Order != "" {
		s.rest[m.Order] = now.Add(s.finish())
	}
	m.notBefore = now.Add(100 * time.Millisecond)
	if !s.lawful(m, now) {
		s.giveUp(m)
	}
}

// lawful is whether a message may be sent now, by its attempts and what may have come of them.
func (s *Sender) lawful(m *message, now time.Time) bool {
	c := s.classes[m.Class]
	switch doubt := !m.first.IsZero(); {
	case m.attempts >= s.config.Settings.Limits.Attempts:
		return false
	case doubt && c.Effect == "non_idempotent":
		return s.fault == RepeatsUnsafe
	case doubt && c.Effect == "idempotency_key":
		return now.Sub(m.first) < time.Duration(c.Window*float64(time.Millisecond))-callTime
	}
	return true
}

// once makes a call on a connection of its own. never says that it surely did not run.
func once(ctx context.Context, m *message, addr string, limit time.Duration) (status int, wait time.Duration, never bool) {
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
		never = true
	}
	return resp.StatusCode, wait, never
}

// end takes a message that is over from the books.
func (s *Sender) end(m *message) {
	if m.over {
		return
	}
	m.over = true
	s.pending--
	s.write(record{Op: "over", ID: m.ID})
	d := s.dest(m.Dest)
	d.queue = slices.DeleteFunc(d.queue, func(x *message) bool { return x == m })
	if m.Order != "" {
		s.turns[m.Order] = slices.DeleteFunc(s.turns[m.Order], func(x *message) bool { return x == m })
	}
}

// giveUp ends a message undelivered and tells the platform.
func (s *Sender) giveUp(m *message) {
	if m.over {
		return
	}
	s.end(m)
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
