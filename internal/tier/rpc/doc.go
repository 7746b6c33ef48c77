// Package rpc has the HTTP client and the HTTP server of the calls between the tier's own processes: HTTP/1.1 over TCP, with time-outs
// for a network in which a machine that has lost power sends nothing, not even a reset. The services themselves are twirp's
// (proto/saffronyard/tier/v1).
package rpc
