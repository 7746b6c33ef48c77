// Package nameserver is an authoritative name server (RFC 1034, 1035) inside the sender. Its zones come from files that are watched, from
// primaries (AXFR and IXFR, RFC 5936 and 1995, with NOTIFY, RFC 1996), and from signed updates (RFC 2136 with TSIG, RFC 8945), which are
// journaled before they are answered. Service resolves the names of the sender's members through these zones, and is the source of their
// endpoints.
//
// The logic is in packages zone (answers, updates, timers of a secondary) and membership (endpoints of a destination from its names). This
// package does the I/O:
//
//	service.go, members.go  all zones; which members a change affects
//	managed_zone.go         one zone: its current version, history, store and file
//	store.go, disk.go       snapshot and journal of a zone
//	file_watcher.go, zone_file.go, write_back.go  the zone's file: watching, parsing, merging manual edits, writing updates back
//	secondary.go, transfer_in.go, notify.go       requests to primaries and secondaries
//	server.go, query.go, update.go, transfer_out.go, tsig.go, listener.go  requests of clients
//
// docs/operate/dns.md is the operators' page.
package nameserver
