package sender

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/identity"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

// diskLog records every write of a run to both files, in order.
type diskLog struct {
	mu  sync.Mutex
	ops []diskOp
}

func (l *diskLog) add(op diskOp) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops = append(l.ops, op)
}

func (l *diskLog) all() []diskOp {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ops
}

type diskOp struct {
	file string
	at   int64
	data []byte
}

type loggedJournal struct {
	journalFile
	log  *diskLog
	size int64
}

func (f *loggedJournal) Write(b []byte) (int, error) {
	f.log.add(diskOp{journalFileName, f.size, append([]byte(nil), b...)})
	f.size += int64(len(b))
	return f.journalFile.Write(b)
}

type loggedDisk struct {
	identity.Disk
	log *diskLog
}

func (d *loggedDisk) WriteAt(b []byte, at int64) (int, error) {
	d.log.add(diskOp{eventsFileName, at, append([]byte(nil), b...)})
	return d.Disk.WriteAt(b, at)
}

// The sender is killed at each write between the first byte and the final answer of an event or a batch, with the write done, not
// done, or half done. Then the client submits the same again. The receiver must count one effect for each event, whether or not a call
// recorded in the journal had reached it.
func TestEventDedup_KilledAtEachStep(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"keyed", "unsafe"} {
		for _, n := range []int{1, 3} {
			body, contentType := eventJSON("0", kind, `,"data":{"n":1}`), oneEvent
			if n > 1 {
				var all []string
				for i := range n {
					all = append(all, eventJSON(strconv.Itoa(i), kind, `,"data":{"n":1}`))
				}
				body, contentType = `[`+strings.Join(all, ",")+`]`, someJSON
			}
			log := runWithoutKill(t, contentType, body, n)
			for cut := range len(log.ops) + 1 {
				for _, torn := range []bool{false, true} {
					if torn && cut == len(log.ops) {
						continue
					}
					for _, ran := range []bool{false, true} {
						t.Run(fmt.Sprintf("%s %d, %d writes, torn %v, ran %v", kind, n, cut, torn, ran), func(t *testing.T) {
							t.Parallel()
							runAfterKill(t, log, cut, torn, ran, kind, contentType, body, n)
						})
					}
				}
			}
		}
	}
}

// longLived is acceptEvents with key windows and deadlines that outlast the test, however late it is scheduled.
func longLived(c *Config) {
	acceptEvents(c)
	c.Events.Rules.Deadline = 10 * time.Minute
	for i := range c.Settings.Classes {
		c.Settings.Classes[i].IdempotencyKeyTTL, c.Settings.Classes[i].Deadline = 10*time.Minute, 10*time.Minute
	}
}

// runWithoutKill runs without a kill and returns all writes.
func runWithoutKill(t *testing.T, contentType, body string, n int) *diskLog {
	t.Helper()
	log := &diskLog{}
	e := st.NewEndpoint(t, st.Status(200))
	s := newTestSender(t, st.NewPlatform(t, e.Addr), longLived)
	s.journal.file = &loggedJournal{s.journal.file, log, s.journal.size}
	s.eventDedup.file.WrapDisk(func(d identity.Disk) identity.Disk { return &loggedDisk{d, log} })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.step(ctx, s.initialListEvents())
	protocol := &eventIngress{s.config, s.clock, s.config.Events}
	h, err := protocol.readHead(mustRequest(t, contentType))
	if err != nil {
		t.Fatal(err)
	}
	subs, err := h.submissions([]byte(body), s.clock.now())
	if err != nil || len(subs) != n {
		t.Fatalf("%d submissions, %v", len(subs), err)
	}
	for _, sub := range subs {
		s.turn(ctx, sub)
		if a := st.Receive(t, sub.answer); a.status != 202 {
			t.Fatalf("%+v", a)
		}
	}
	for s.pending > 0 {
		s.turn(ctx, st.Receive(t, s.events))
	}
	if len(e.Calls) != n || len(log.ops) < n+2 { // the ends of one turn are written at once
		t.Fatalf("%d calls, %d writes", len(e.Calls), len(log.ops))
	}
	s.shutdown(cancel)
	return log
}

func runAfterKill(t *testing.T, log *diskLog, cut int, torn, ran bool, kind, contentType, body string, n int) {
	// The state folder as the kill leaves it.
	state := t.TempDir()
	files := map[string][]byte{}
	for i, op := range log.ops[:min(len(log.ops), cut+1)] {
		data := op.data
		if i == cut {
			if !torn {
				break
			}
			data = data[:len(data)/2]
		}
		f := files[op.file]
		if need := int(op.at) + len(data); need > len(f) {
			f = append(f, make([]byte, need-len(f))...)
		}
		copy(f[op.at:], data)
		files[op.file] = f
	}
	for name, raw := range files {
		if err := os.WriteFile(filepath.Join(state, name), raw, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	effects := map[string]int{} // by event
	seen := map[string]bool{}   // keys that the receiver remembers
	if ran {                    // the calls in the journal that may have reached the receiver before the kill
		accepted := map[string]record{}
		for line := range strings.SplitSeq(string(files[journalFileName]), "\n") {
			var rec record
			switch {
			case !decodeLine([]byte(line+"\n"), &rec): // torn: its call was not made yet
			case rec.Op == opAccept:
				accepted[rec.ID] = rec
			case rec.Op == opSend:
				effects[accepted[rec.ID].Event.Get("id")]++
				seen[accepted[rec.ID].Key] = true
			}
		}
	}
	before := len(effects)
	if !ran && (len(files[eventsFileName]) > 0 || strings.Contains(string(files[journalFileName]), `"op":"over"`)) {
		return // an event has ended, so its call had run
	}
	e := st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, e.Addr)
	addr := run(t, p, func(c *Config) {
		longLived(c)
		c.StateDir = state
	})
	// The client submits again until it has the final answer for each event.
	status := make([]int, n)
	until(t, func() bool {
		resp, text := post(t, addr, contentType, body)
		if n == 1 {
			status[0] = resp.StatusCode
		} else {
			var all []eventResult
			if err := json.Unmarshal([]byte(text), &all); err != nil || len(all) != n {
				t.Fatalf("%s %s: %v", resp.Status, text, err)
			}
			for i, a := range all {
				status[i] = a.Status
			}
		}
		for _, s := range status {
			switch s {
			case 200, 500:
			case 202, 503:
				return false
			default:
				t.Fatalf("%s %s", resp.Status, text)
			}
		}
		return true
	})
	for len(e.Calls) > 0 {
		c := <-e.Calls
		if c.Key == "" || !seen[c.Key] {
			effects[c.Header.Get("Ce-Id")]++
		}
		seen[c.Key] = true
	}
	for i, s := range status {
		id := strconv.Itoa(i)
		switch {
		case kind == "keyed" && (s != 200 || effects[id] != 1):
			t.Errorf("event %s: answered %d with %d effects", id, s, effects[id])
		case effects[id] > 1, s == 200 && effects[id] != 1 && ran:
			t.Errorf("event %s: answered %d with %d effects", id, s, effects[id])
		case kind == "unsafe" && s == 500 && effects[id] == 0 && ran && before > 0:
			t.Errorf("event %s: failed with no call that may have run", id)
		}
	}
}

// brainEvent is an event for the module.
type brainEvent = brain.Event
