// Package http1 holds the parts of HTTP/1.1 message heads (RFC 9112) that the server for clients (package ingress) and the client
// of endpoints (package upstream) have in common: header fields, the characters that may stand in them, and which of them are
// hop-by-hop. It is pure, and safe for concurrent use.
package http1
