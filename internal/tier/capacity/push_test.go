package capacity

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/rpc"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// endpointServer is a control-plane primary that sends the same endpoints to every session that lacks them.
type endpointServer struct {
	tierv1.ControlPlane
	reply *tierv1.WatchReply
}

func (server *endpointServer) Watch(ctx context.Context, r *tierv1.WatchRequest) (*tierv1.WatchReply, error) {
	if r.EndpointsVersion < server.reply.Endpoints.Version {
		return server.reply, nil
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// encodedReply replies with a message that was encoded once.
type encodedReply struct{ body []byte }

func (reply encodedReply) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "application/protobuf")
	w.Header().Set("Content-Length", fmt.Sprint(len(reply.body)))
	_, _ = w.Write(reply.body)
}

// BenchmarkServe measures one reply with the complete list at a control-plane primary; the caller only reads the bytes. In the
// cases named once, the list is encoded once instead of for each session.
func BenchmarkServe(b *testing.B) {
	for _, n := range []int{65, endpoints, 3000} {
		reply := &tierv1.WatchReply{IsPrimary: true, Epoch: 1, Endpoints: endpointList(n, 0)}
		body, err := proto.Marshal(reply)
		assert.NilError(b, err)
		for name, handler := range map[string]http.Handler{"each": tierv1.NewControlPlaneServer(&endpointServer{reply: reply}), "once": encodedReply{body}} {
			b.Run(fmt.Sprintf("endpoints=%d,%s", n, name), func(b *testing.B) {
				server, err := rpc.Serve(b.Context(), "127.0.0.1:0", handler)
				assert.NilError(b, err)
				conn, err := net.Dial("tcp", server.Addr)
				assert.NilError(b, err)
				defer conn.Close()
				requestBody, _ := proto.Marshal(&tierv1.WatchRequest{Node: "edge-001", Role: "gateway", Incarnation: rpc.NewIncarnation(), ConfigurationVersion: math.MaxUint64})
				request := fmt.Appendf(nil, "POST %sWatch HTTP/1.1\r\nHost: c\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n%s",
					tierv1.ControlPlanePathPrefix, len(requestBody), requestBody)
				r := bufio.NewReaderSize(conn, 64<<10)
				report := measureProcessor(b)
				for b.Loop() {
					_, err := conn.Write(request)
					assert.NilError(b, err)
					a, err := http.ReadResponse(r, nil)
					assert.NilError(b, err)
					got, err := io.Copy(io.Discard, a.Body)
					assert.NilError(b, err)
					assert.Equal(b, got, int64(len(body)))
				}
				report()
				b.ReportMetric(float64(len(body)), "B")
			})
		}
	}
}

// BenchmarkServeWithinTimeout makes all sessions request the list at the same time, with the time-out of a session (the poll
// time-out of a sixth of the contact window plus a tenth of the window), and retry after that. It reports the replies that came too
// late.
func BenchmarkServeWithinTimeout(b *testing.B) {
	const timeout = 800 * time.Millisecond // of a contact window of 3 s
	for _, c := range []struct{ sessions, lines int }{{100, 1000}, {sessionCount, endpoints}, {300, 3000}} {
		reply := &tierv1.WatchReply{IsPrimary: true, Epoch: 1, Endpoints: endpointList(c.lines, 0)}
		body, err := proto.Marshal(reply)
		assert.NilError(b, err)
		for name, handler := range map[string]http.Handler{"each": tierv1.NewControlPlaneServer(&endpointServer{reply: reply}), "once": encodedReply{body}} {
			b.Run(fmt.Sprintf("sessions=%d,endpoints=%d,%s", c.sessions, c.lines, name), func(b *testing.B) {
				server, err := rpc.Serve(b.Context(), "127.0.0.1:0", handler)
				assert.NilError(b, err)
				requestBody, _ := proto.Marshal(&tierv1.WatchRequest{Node: "edge-001", Role: "gateway", Incarnation: rpc.NewIncarnation(), ConfigurationVersion: math.MaxUint64})
				clients := make([]*http.Client, c.sessions)
				for i := range clients {
					clients[i] = rpc.NewClient()
				}
				var late, calls atomic.Int64
				var took time.Duration
				rounds := 0
				report := measureProcessor(b)
				for b.Loop() {
					began := time.Now()
					var open sync.WaitGroup
					for _, client := range clients {
						open.Go(func() {
							for range 20 {
								calls.Add(1)
								ctx, cancel := context.WithTimeout(b.Context(), timeout)
								q, _ := http.NewRequestWithContext(ctx, "POST", "http://"+server.Addr+tierv1.ControlPlanePathPrefix+"Watch", bytes.NewReader(requestBody))
								q.Header.Set("Content-Type", "application/protobuf")
								var read int64
								if a, err := client.Do(q); err == nil {
									read, _ = io.Copy(io.Discard, a.Body)
									_ = a.Body.Close()
								}
								cancel()
								if read == int64(len(body)) {
									return
								}
								late.Add(1)
							}
						})
					}
					open.Wait()
					took += time.Since(began)
					rounds++
				}
				report()
				b.ReportMetric(100*float64(late.Load())/float64(calls.Load()), "%late")
				b.ReportMetric(float64(took.Milliseconds())/float64(rounds), "ms/all")
				for _, client := range clients {
					client.CloseIdleConnections()
				}
			})
		}
	}
}
