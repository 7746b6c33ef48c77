// Package upstream is the HTTP/1.1 client of the gateway: it holds the connections to endpoints and makes calls on them.
//
// # Contract
//
// One Call is one write of one request, never repeated by the package, and the Result says whether a byte of it may have been
// sent. http.Transport tells neither, and what may be retried rests on it. Result.Disposition says what follows: whether the
// endpoint has executed the request, whether it may be retried, and what the client gets if it isn't. A Result whose Outcome is
// Streaming has a Stream, which the caller reads to its end or closes.
//
// # Course of a call
//
//	step                 code                        ends there as
//	validate             Pool.Call                   NotSent, TimedOut
//	acquire connection   Pool.acquire, Pool.dial     NoConnection, ConnectFailed, TimedOut, Canceled
//	ask the permit       Request.Permit              NotSent
//	write                exchange.send               Broken, TimedOut, Canceled
//	read the head        exchange.readResponseHead   Broken, Malformed, TimedOut, Canceled
//	read the body        exchange.readResponse       Complete; or Streaming, and Stream.Outcome then tells its end
//	classify             Classify                    -
//	reuse or close       exchange.finish             -
//
// # Concurrency
//
// A Pool may be used from any goroutine; its mutex is never held over I/O. A connection belongs to one call, or is idle in its
// pool. A Stream is for one goroutine. The only goroutine of the package is the timer that closes expired connections; Pool.Close
// stops it. Nothing is persisted.
package upstream
