// Package loadbalancer decides to which endpoint an attempt of a request goes, after what time-out it is aborted there, and
// whether it is sent at all.
//
// # Contract
//
// A sender has one Balancer. It passes the endpoint list of the platform to SetEndpoints, calls Pick before each attempt,
// ResponseStarted at the first event of a streamed response and Done at the end of each call, whatever its outcome. To retry, the
// sender calls Pick again, with the instances attempted so far. Every duration named now is a reading of one monotonic clock of
// the sender; the package reads no clock, does no I/O, starts no goroutine and persists nothing.
//
// A Balancer is not safe for concurrent use: its owner must lock it.
//
// # Selection
//
// Pick tries the policies of selection_policies.go in order, and uses the first endpoint that one of them selects. The cost of an
// endpoint depends on its load, latency, failures and slow start (endpoint.go). A window limits the calls in flight at an endpoint:
// it grows by one with each success and is halved by a rejection (restart.Window). Time-outs are estimated for each route from the
// latencies of its served calls (restart.Oracle, timeouts.go).
//
// # States of an endpoint
//
//	state     enters by                                   leaves by                                         gets
//	listed    SetEndpoints                                a list without it, or with it draining            requests
//	ejected   consecutive failures, no response in time,  a response, a served health check, or a report    one probe at a time,
//	          or a report of another sender               of another sender that it has responded           with exponential backoff
//	draining  SetEndpoints                                SetEndpoints                                      nothing new
//	misdirected  a 421, or a call that ended as Gone      never: the next instance has another name         nothing
//	removed   a list without it, and its last call done   -                                                 nothing
//
// TakeReports returns the ejections by this sender's own observations, to be shared with other senders (outlier_ejection.go). If
// most endpoints of a service do not respond, no more than half of its endpoints are ejected for that.
package loadbalancer
