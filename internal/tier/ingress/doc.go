// Package ingress is a small, strict HTTP/1.1 server for the gateway's clients.
//
// # Contract
//
// A Server reads each request completely and then calls its Handler with one Exchange. The handler responds by Respond, or by
// Begin, Write and End for a stream; an Exchange without a response is answered with 500. An incomplete response never looks
// complete to the client: the connection is closed instead. A connection is closed between requests only while no byte of a
// request was received, so that a client can tell for each request whether it was read. Malformed requests are rejected
// (RFC 9112), not repaired.
//
// # Concurrency
//
// Each connection has one goroutine, which also calls the handler. Serve starts these goroutines and Shutdown waits for them; Close
// closes all connections without waiting. A connection that waits for a request holds no buffer. Lock order: the server's mutex,
// then a connection's. Nothing is persisted.
//
// # States of a connection
//
//	state   entered by                                     left on
//	idle    conn.awaitRequest                              the first byte of a request (active); the idle time-out, Shutdown or a
//	                                                       lack of descriptors while no byte was received (closed)
//	active  conn.readFirst, together with the first read   the end of the exchange (idle, or the goroutine ends)
//	closed  conn.closeIfIdle, or a socket error            -
package ingress
