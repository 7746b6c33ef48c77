package cost

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// client hands messages in on one connection, one after another.
type client struct {
	net.Conn
	r *bufio.Reader
}

func dial(addr string) (*client, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

func (c *client) roundTrip(text []byte) (int, error) {
	c.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := c.Write(text); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// load is a number of closed-loop clients of a server.
type load struct {
	number, refused atomic.Int64
	counting        atomic.Bool
	mu              sync.Mutex
	waits           []time.Duration // latencies of the requests that ended while counting
	wg              sync.WaitGroup
	errs            chan error
	cancel          context.CancelFunc
}

func newLoad(ctx context.Context, clients int, addr string, request func(int64) []byte, want int) *load {
	l := &load{errs: make(chan error, clients)}
	ctx, l.cancel = context.WithCancel(ctx)
	for range clients {
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			conn, err := dial(addr)
			if err != nil {
				l.errs <- err
				return
			}
			defer func() { conn.Close() }()
			var waits []time.Duration
			for ctx.Err() == nil {
				text := request(l.number.Add(1))
				began := time.Now()
				status, err := conn.roundTrip(text)
				if err != nil { // the server may close a connection after an answer
					conn.Close()
					if conn, err = dial(addr); err != nil {
						l.errs <- err
						return
					}
					continue
				}
				if status != want {
					l.refused.Add(1)
					time.Sleep(5 * time.Millisecond)
				} else if l.counting.Load() {
					waits = append(waits, time.Since(began))
				}
			}
			l.mu.Lock()
			l.waits = append(l.waits, waits...)
			l.mu.Unlock()
		}()
	}
	return l
}

// stop stops the clients and returns the first error of any client.
func (l *load) stop() error {
	l.cancel()
	l.wg.Wait()
	select {
	case err := <-l.errs:
		return fmt.Errorf("cost: client: %w", err)
	default:
		return nil
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
