// Package gateway implements the role of the serving tier that carries the traffic: a reverse proxy that forwards requests of agent
// programs to endpoints, and supports stored turns and token budgets.
//
// # Request path
//
//	handler.go          matches the route and rejects requests that cannot be served
//	request.go          reads the request headers that the gateway interprets, and selects a service of the route
//	turns.go            for a turn: obtains its reservation and the conversation that it continues from the turn store
//	attempts.go         sends the request to one endpoint at a time, until a result is final or no attempts are left
//	selection.go        gets the endpoint of each attempt from the load balancer, and waits for capacity
//	streaming.go        relays a streamed answer event by event
//	resumption.go       decides what follows the end of a streamed attempt: the end of the answer, a retry, or an attempt that resumes it
//	streamtiming.go     time-outs of a streamed attempt: for its first event, and between events
//	outcomes.go         derives from the end of an attempt its outcome for the load balancer and the result for the client
//	budgets.go          the reservation of a turn in its program's budget
//	releases.go         ends reservations, in the background if the turn store does not answer
//	transcripts.go      the text of a turn: the prompt is assembled before it is sent, the transcript is stored when it is complete
//	transcriptcache.go  caches texts of conversations, so that the turn store need not send them again
//	prefixaffinity.go   records which endpoint ran a conversation that no turn store stores
//
// Every 503 of this package is written by handler.go (reject; no configuration yet), turns.go (no definite verdict of the turn store, or
// releases of the program in progress) or attempts.go (no endpoint, or the decisive attempt was not executed). Package ingress answers 503
// itself if file descriptors are short.
//
// # Connections to other components
//
//	configuration.go    applies the configuration and the endpoints that the control plane sends
//	storeclient.go      calls turn stores by the newest partition map; storefind.go looks for a turn of another program
//	turnclient.go       the client of the turn stores for the simulator, without the request path
//	reachability.go     records for how long no turn store has answered
//	readiness.go        the platform's readiness check
//	ejections.go        shares ejections of unhealthy endpoints with other gateways
//	metrics.go, counters.go
//
// # Contract
//
// A request must be answered within its route's time-out, or by the client's X-Deadline-Ms if that is earlier; then it is aborted. A 503
// with Retry-After means that the request was not executed and never will be. A 502 or an aborted connection means that it may have been
// executed. If an earlier attempt may have been executed, a later attempt that was not executed does not replace its result (decisive).
// The regular end of a stream is sent only after all of its events, and that of a stored turn only when the turn is durable.
//
// # Concurrency and state
//
// Each request is handled by one goroutine, which owns its clientRequest, streamRelay and attemptTiming. Gateway.mu guards the load
// balancer and the shared fields of Gateway; it is held for computation only. The gateway persists nothing: the updates of the control
// plane, affinity, cached texts and pending releases are lost with the process.
//
// # States of a reservation in the gateway
//
//	state       event                                  next state
//	(none)      Begin: OK                              open
//	(none)      Begin: no definite reply, rejected     releasing
//	open        the turn is complete and stored        ended by storeTurn
//	open        the turn ends otherwise                releasing: release, releaseInBackground
//	releasing   the turn store confirms                ended
//	releasing   twice the contact window is over       late: settleLate, one call at a time
//	late        lateReleaseTimeout is over             given up: by then the turn store has discarded the program
package gateway
