// Package ingress is a small, strict HTTP/1.1 server for clients.
//
// # Contract
//
// A Server calls its Handler with one Exchange for each request, which it has read completely. The handler answers by Respond, or
// by Begin, Write and End for a stream; an Exchange without response is answered 500. A response that is not complete never looks
// complete: its connection is closed instead. A connection is closed between requests only while no byte of a request was
// received, so that a client knows of each request whether it was read. Malformed requests are rejected (RFC 9112), not repaired.
//
// # Concurrency
//
// Each connection has one goroutine, which Serve starts and Shutdown awaits; it calls the handler. A connection that waits for a
// request holds no buffer. Close closes all connections and awaits none. Lock order: the server's mutex, then a connection's. Nothing
// is persisted.
//
// # States of a connection
//
//	state   enters by                                      leaves by
//	idle    conn.awaitRequest                              the first byte of a request (active); its idle time-out, Shutdown or a
//	                                                       lack of descriptors while none was received (closed)
//	active  conn.readFirst, in the step that reads a byte  the end of the exchange (idle, or the end of its goroutine)
//	closed  conn.closeIfIdle, or an error of the socket    -
package ingress
