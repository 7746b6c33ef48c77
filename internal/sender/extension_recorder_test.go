package sender

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
	st "saffronyard.example/saffronyard/internal/sendertest"
	"saffronyard.example/saffronyard/internal/undelivered"
)

// memoryRecorder stores entries in memory, by message, and can be made to block or fail.
type memoryRecorder struct {
	mu      sync.Mutex
	entries map[string]undelivered.Entry
	dropped map[[2]string]int64
	err     error
	block   chan struct{} // Record receives from it first; nil: Record does not block
}

func newMemoryRecorder() *memoryRecorder {
	return &memoryRecorder{entries: map[string]undelivered.Entry{}, dropped: map[[2]string]int64{}}
}

func (r *memoryRecorder) Record(entries []undelivered.Entry, _ int64) error {
	if r.block != nil {
		<-r.block
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return r.err
	}
	for _, e := range entries {
		if _, ok := r.entries[e.Message]; !ok {
			r.entries[e.Message] = e
		}
	}
	return nil
}

func (r *memoryRecorder) ResolveResubmitted([][2]string) error { return nil }

func (r *memoryRecorder) RecordDropped(counts map[[2]string]int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, n := range counts {
		r.dropped[k] += n
	}
	return nil
}

func (r *memoryRecorder) get(id string) (undelivered.Entry, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.entries[id]
	return e, ok
}

func (r *memoryRecorder) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
}

func withRecorder(r Recorder) func(*Config) { return func(c *Config) { c.Recorder = r } }

// An undelivered message is recorded with all of its content and attempts, and a delivered one is not recorded.
func TestRecorder_UndeliveredMessages(t *testing.T) {
	t.Parallel()
	bad := st.NewEndpoint(t, st.Reset)
	good := st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, bad.Addr, good.Addr)
	r := newMemoryRecorder()
	addr := run(t, p, combineEdits(acceptEvents, withRecorder(r)))
	st.Submit(t, addr, st.Submission{ID: "lost", Class: "unsafe", Destination: 0, Deadline: 9 * time.Second})
	st.Submit(t, addr, st.Submission{ID: "fine", Class: "unsafe", Destination: 1, Deadline: 9 * time.Second})
	if n := st.Receive(t, p.Notices); n.Message != "lost" || n.Outcome != outcomeGivenUp {
		t.Fatalf("%+v", n)
	}
	until(t, func() bool { _, ok := r.get("lost"); return ok })
	e, _ := r.get("lost")
	if e.Member != "acme" || e.Class != "unsafe" || e.Effect != undelivered.Unsafe || e.Destination != 0 || e.Key != "key-lost" || string(e.Body) != "body of lost" ||
		e.Reason != undelivered.ReasonUnsafeRetry || len(e.Attempts) != 1 || e.Attempts[0].Outcome != undelivered.Reset || e.Attempts[0].Endpoint != "s-0" || e.EndedAt < e.Attempts[0].At || e.EndedInResponse {
		t.Errorf("%+v", e)
	}
	if may, _ := undelivered.MayResend(e.History(), time.Hour, time.Now().UnixNano()); may != undelivered.Forbidden {
		t.Error("a message that may have run and must not be repeated may be resent")
	}
	id := submitEvent(t, addr, "1", "unsafe", 202).Header.Get("X-Request-Id")
	until(t, func() bool { _, ok := r.get(id); return ok })
	if e, _ := r.get(id); len(e.Event) == 0 || string(e.Body) != `{"n":1}` {
		t.Errorf("%+v", e)
	}
	if _, ok := r.get("fine"); ok {
		t.Error("a delivered message is recorded")
	}
}

// A recorder that hangs or fails must not delay messages. Ends that wait for it stay in the journal within the recorder's part of the
// budget, and ends without room there are counted. Once the recorder works, it gets all ends that waited.
func TestRecorder_Slow(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Reset)
	p := st.NewPlatform(t, e.Addr)
	r := newMemoryRecorder()
	r.err = errors.New("no space left")
	addr := run(t, p, combineEdits(withRecorder(r), func(c *Config) { c.Limits.DiskMB = 0.4 }))
	const n = 12
	for i := range n {
		r := st.Request(t, addr, st.Submission{ID: "m" + strconv.Itoa(i), Class: "unsafe", Destination: 0, Deadline: 9 * time.Second, Body: strings.Repeat("x", 15_000)})
		if resp, text := st.Do(t, r); resp.StatusCode != 202 {
			t.Fatalf("%s %s", resp.Status, text)
		}
		if n := st.Receive(t, p.Notices); n.Outcome != outcomeGivenUp {
			t.Fatalf("%+v", n)
		}
	}
	r.fail(nil)
	until(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		all := int64(len(r.entries))
		for key, n := range r.dropped {
			if key != [2]string{"acme", string(undelivered.ReasonUnsafeRetry)} {
				t.Fatalf("dropped ends of %v", key)
			}
			all += n
		}
		return all == n && len(r.dropped) > 0 && len(r.entries) > 1
	})
}

// storeLog is a recorder whose transactions are recorded in the same log as the journal's writes.
type storeLog struct {
	Recorder
	log *diskLog
}

const storeOp = "store"

func (l storeLog) Record(entries []undelivered.Entry, now int64) error {
	if err := l.Recorder.Record(entries, now); err != nil {
		return err
	}
	for _, e := range entries {
		l.log.add(diskOp{file: storeOp, data: []byte(e.Message)})
	}
	return nil
}

// The sender is killed at each write from a message's submission to its end and its entry in the store, with the write left out or cut
// short. After the next process has caught up, each accepted message must be in the store exactly once.
func TestRecorder_KilledBetweenJournalAndStore(t *testing.T) {
	t.Parallel()
	const n = 3
	log := &diskLog{}
	e := st.NewEndpoint(t, st.Reset)
	store := undelivered.NewLazyStore(t.TempDir(), undelivered.Limits{})
	s := newTestSender(t, st.NewPlatform(t, e.Addr), withRecorder(storeLog{store, log}))
	s.journal.file = &loggedJournal{s.journal.file, log, s.journal.size}
	ctx, cancel := context.WithCancel(context.Background())
	go s.recorder.run(ctx, func(err error) { t.Error(err) }, func() { s.post(ctx, recorderDone{}) })
	go s.discovery.postNotices(ctx, s.notices, func(n []notice) { s.post(ctx, noticesDelivered{n}) })
	s.step(ctx, s.initialListEvents())
	for i := range n {
		sub := submission{record: record{ID: fmt.Sprint("m", i), Class: "unsafe", Tenant: "acme", Deadline: s.clock.now() + time.Minute, Body: []byte("x")},
			class: 2, answer: make(chan response, 1)}
		s.turn(ctx, sub)
		if a := st.Receive(t, sub.answer); a.status != 202 {
			t.Fatalf("%+v", a)
		}
	}
	for len(s.journal.byID) > 0 {
		s.turn(ctx, st.Receive(t, s.events))
	}
	cancel()
	s.shutdown(cancel)
	store.Close()
	ops := log.all()
	for cut := range len(ops) + 1 {
		for _, torn := range []bool{false, true} {
			if torn && (cut == len(ops) || ops[cut].file == storeOp) { // a transaction is atomic
				continue
			}
			t.Run(fmt.Sprintf("%d writes, torn %v", cut, torn), func(t *testing.T) {
				t.Parallel()
				state, folder := t.TempDir(), t.TempDir()
				var raw []byte
				lazyStore := undelivered.NewLazyStore(folder, undelivered.Limits{})
				t.Cleanup(func() { lazyStore.Close() })
				for i, op := range ops[:min(len(ops), cut+1)] {
					data := op.data
					if i == cut {
						if !torn {
							break
						}
						data = data[:len(data)/2]
					}
					if op.file == storeOp {
						if err := lazyStore.Record([]undelivered.Entry{entryOf(t, raw, string(data), s)}, 0); err != nil {
							t.Fatal(err)
						}
						continue
					}
					raw = append(raw, data...)
				}
				if err := os.WriteFile(filepath.Join(state, journalFileName), raw, 0o600); err != nil {
					t.Fatal(err)
				}
				accepted := map[string]bool{}
				j, err := openJournal(journalFolder(t, raw), 3e6)
				if err != nil {
					t.Fatal(err)
				}
				for id := range j.byID {
					accepted[id] = true
				}
				j.close()
				store, err := lazyStore.Store()
				if err != nil {
					t.Fatal(err)
				}
				store.List(undelivered.Filter{}, func(_ undelivered.Key, e undelivered.Entry) bool { accepted[e.Message] = true; return true })
				run(t, st.NewPlatform(t, e.Addr), combineEdits(withRecorder(lazyStore), func(c *Config) { c.StateDir = state }))
				until(t, func() bool {
					got := map[string]int{}
					err := store.List(undelivered.Filter{}, func(_ undelivered.Key, e undelivered.Entry) bool { got[e.Message]++; return true })
					if err != nil {
						t.Fatal(err)
					}
					for id, n := range got {
						if n != 1 || !accepted[id] {
							t.Fatalf("%s is in the store %d times, accepted %v", id, n, accepted[id])
						}
					}
					return len(got) == len(accepted)
				})
				if err := store.Check(); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// journalFolder is a new folder with a journal file.
func journalFolder(t *testing.T, raw []byte) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, journalFileName), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// entryOf is the recorder's entry of a message in a journal.
func entryOf(t *testing.T, raw []byte, id string, s *Sender) undelivered.Entry {
	t.Helper()
	j, err := openJournal(journalFolder(t, raw), 3e6)
	if err != nil {
		t.Fatal(err)
	}
	defer j.close()
	m := j.byID[id]
	if m == nil || !m.awaitsRecorder {
		t.Fatalf("%s is offered before the journal marks it for the recorder", id)
	}
	return s.entry(m)
}

// eachWrite calls a function with what is about to be written to the journal.
type eachWrite struct {
	journalFile
	beforeWrite func([]byte)
}

func (f *eachWrite) Write(b []byte) (int, error) {
	f.beforeWrite(b)
	return f.journalFile.Write(b)
}

// An end is offered to the recorder only once it is in the journal.
func TestRecorder_OfferedAfterFlush(t *testing.T) {
	t.Parallel()
	s, _, submit := newManualSender(t, st.Reset, combineEdits(acceptEvents, withRecorder(newMemoryRecorder()))) // no goroutine takes the offers
	written := false
	s.journal.file = &eachWrite{s.journal.file, func(b []byte) {
		if strings.Contains(string(b), `"keep":true`) {
			written = true
			if len(s.recorder.offers) > 0 {
				t.Error("the end is offered before it is written")
			}
		}
	}}
	if a := submit(eventJSON("1", "unsafe", "")); a.status != 202 {
		t.Fatalf("%+v", a)
	}
	for s.pending > 0 {
		s.turn(context.Background(), st.Receive(t, s.events))
	}
	if !written || len(s.recorder.offers) != 1 {
		t.Errorf("written %v, %d offers", written, len(s.recorder.offers))
	}
}

// An event that the module rejects in the answer to its submission was never accepted: its identity is not remembered, no room is
// reserved for its outcome, and it may be submitted again at once.
func TestRecorder_RejectedEventIsForgotten(t *testing.T) {
	t.Parallel()
	s, _, submit := newManualSender(t, st.Unresponsive, acceptEvents)
	protocol := &eventIngress{s.config, s.clock, s.config.Events}
	h, err := protocol.readHead(mustRequest(t, oneEvent))
	if err != nil {
		t.Fatal(err)
	}
	subs, err := h.submissions([]byte(eventJSON("1", "safe", "")), s.clock.now())
	if err != nil {
		t.Fatal(err)
	}
	s.submit(subs[0])
	m := s.byID[subs[0].ID]
	s.finish(m.number, outcomeHandedBack, 503, time.Minute)
	s.deferredEvents = append(s.deferredEvents, brain.Withdrawn{Message: m.number})
	if len(s.eventDedup.pending) != 0 || s.eventDedup.table.Reserved() != 0 || s.eventDedup.table.Len() != 0 {
		t.Errorf("%d pending events, room reserved for %d, %d outcomes", len(s.eventDedup.pending), s.eventDedup.table.Reserved(), s.eventDedup.table.Len())
	}
	if a := submit(eventJSON("1", "safe", "")); a.status != 202 {
		t.Errorf("submitted again: %+v", a)
	}
	if a := st.Receive(t, subs[0].answer); a.status != 503 {
		t.Errorf("%+v", a)
	}
}
