package mutant

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"
)

// record is a line of the journal.
type record struct {
	Op       string `json:"op"` // take, send, end, over
	ID       string `json:"id"`
	Class    string `json:"class,omitempty"`
	Key      string `json:"key,omitempty"`
	Order    string `json:"order,omitempty"`
	Dest     int    `json:"dest,omitempty"`
	Deadline int64  `json:"deadline,omitempty"` // Unix microseconds
	At       int64  `json:"at,omitempty"`
	Never    bool   `json:"never,omitempty"`
	Body     []byte `json:"body,omitempty"`
}

func (s *Sender) write(r record) error {
	line, err := json.Marshal(r)
	if err == nil {
		_, err = s.journal.Write(append(line, '\n'))
	}
	return err
}

// replay loads the messages that an earlier process left. A torn last line is skipped: the process acknowledged nothing on the
// basis of it.
func (s *Sender) replay(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	defer f.Close()
	var order []*message
	all := map[string]*message{}
	in := bufio.NewReader(f)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			break
		}
		var r record
		if json.Unmarshal(line, &r) != nil {
			continue
		}
		m := all[r.ID]
		switch {
		case r.Op == "take":
			m = &message{record: r, deadline: time.UnixMicro(r.Deadline)}
			all[r.ID] = m
			order = append(order, m)
		case m == nil:
		case r.Op == "send":
			m.attempts++
			if m.firstMayHaveRun.IsZero() {
				m.firstMayHaveRun = time.UnixMicro(r.At)
			}
		case r.Op == "end" && r.Never && m.firstMayHaveRun.Equal(time.UnixMicro(r.At)):
			m.firstMayHaveRun = time.Time{}
		case r.Op == "over":
			m.ended = true
		}
	}
	for _, m := range order {
		if !m.ended {
			s.enqueue(m)
			s.dest(m.Dest).slowStartUntil = time.Now().Add(slowStartTime)
			if m.Order != "" {
				s.restUntil[m.Order] = time.Now().Add(s.restTime())
			}
		}
	}
	return nil
}
