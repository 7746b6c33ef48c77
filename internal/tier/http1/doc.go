// Package http1 has the parts of HTTP/1.1 message heads (RFC 9112) that the server for clients (package ingress) and the client of
// endpoints (package upstream) share: header fields, the characters allowed in them, and the set of hop-by-hop fields. Its
// functions are pure and safe for concurrent use.
package http1
