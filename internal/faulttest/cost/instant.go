package cost

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strconv"
	"sync/atomic"
)

// instantReceiver answers every call at once and counts the messages; with hang set it never answers.
type instantReceiver struct {
	l         net.Listener
	delivered atomic.Int64
	bytes     atomic.Int64
	hang      bool
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

func newInstantReceiver(hang bool) (*instantReceiver, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := &instantReceiver{l: l, hang: hang}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go i.serve(c)
		}
	}()
	return i, nil
}

// serve reads requests by their Content-Length, without the cost of a full parser.
func (i *instantReceiver) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 8<<10)
	for {
		length, read, batch := 0, 0, false
		for {
			line, err := r.ReadSlice('\n')
			if err != nil {
				return
			}
			read += len(line)
			if len(line) <= 2 {
				break
			}
			batch = batch || bytes.Contains(line, []byte("cloudevents-batch"))
			if v, is := bytes.CutPrefix(line, []byte("Content-Length: ")); is {
				length, _ = strconv.Atoi(string(bytes.TrimSpace(v)))
			}
		}
		messages := int64(1)
		if batch { // several messages in one call
			body := make([]byte, length)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			messages = int64(bytes.Count(body, []byte(`"specversion"`)))
		} else if _, err := r.Discard(length); err != nil {
			return
		}
		if i.hang {
			io.Copy(io.Discard, r)
			return
		}
		if _, err := io.WriteString(c, okResponse); err != nil {
			return
		}
		i.delivered.Add(messages)
		i.bytes.Add(int64(read + length))
	}
}
