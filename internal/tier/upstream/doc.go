// Package upstream is the HTTP/1.1 client of the gateway: it pools the connections to endpoints and makes calls on them.
//
// # Contract
//
// A Call writes one request at most once; the package never retries. The Result reports whether a byte of the request may have been
// sent. Retry decisions depend on both properties, and http.Transport has neither. Result.Disposition reports whether the endpoint
// has executed the request, whether the request may be retried, and what the client gets otherwise. A Result whose Outcome is
// Streaming has a Stream, which the caller must read to its end or close.
//
// # Steps of a call
//
//	step                 code                        outcomes at this step
//	validate             Pool.Call                   NotSent, TimedOut
//	acquire connection   Pool.acquire, Pool.dial     NoConnection, ConnectFailed, TimedOut, Canceled
//	check the permit     Request.Permit              NotSent
//	write                exchange.send               Broken, TimedOut, Canceled
//	read the head        exchange.readResponseHead   Broken, Malformed, TimedOut, Canceled
//	read the body        exchange.readResponse       Complete; or Streaming, whose end Stream.Outcome reports
//	classify             Classify                    -
//	reuse or close       exchange.finish             -
//
// # Concurrency
//
// A Pool may be used from any goroutine; its mutex is never held during I/O. A connection belongs to one call, or is idle in its
// pool. A Stream may be used by one goroutine only. The only goroutine of the package is the timer that closes expired connections;
// Pool.Close stops it. Nothing is persisted.
package upstream
