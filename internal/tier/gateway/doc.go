// Package gateway is the role of the serving tier that carries the traffic: a reverse proxy for requests of agent programs to
// endpoints, which knows turns and budgets.
//
// # The way of a request
//
//	handler.go          matches the route and rejects what cannot be served
//	request.go          reads the headers that matter here, and picks a service of the route
//	turns.go            for a turn: asks the turn store for its reservation and for the conversation that it continues
//	attempts.go         sends it to endpoints, one at a time, until an answer is decisive
//	selection.go        asks the load balancer for the endpoint of each attempt, and waits for capacity
//	streaming.go        passes a streamed answer on, event by event
//	resumption.go       decides what follows the end of an attempt of a stream: the end, a retry, or another attempt that resumes it
//	streamtiming.go     time-outs of a streamed attempt: until its first event, and between events
//	outcomes.go         what the end of an attempt means to the load balancer and to the client
//	budgets.go          the reservation of a turn in its program's budget
//	releases.go         ends reservations, in the background if the turn store does not answer
//	transcripts.go      the text of a turn: assembled before it is sent, stored when it is complete
//	transcriptcache.go  texts that this gateway has, so that the turn store need not send them
//	prefixaffinity.go   which endpoint ran a conversation that no turn store stores
//
// All 503 that clients hear are written by handler.go (reject; no configuration yet), turns.go (no clear verdict of the turn store, or
// releases of the program under way) and attempts.go (no endpoint, or a decisive attempt that has not run); package ingress answers 503 itself
// where file descriptors are short.
//
// # What it is connected to
//
//	configuration.go    configuration and endpoints, as the control plane sends them
//	storeclient.go      calls to turn stores by the newest partition map; storefind.go looks for a turn of another program
//	turnclient.go       the same for the simulator, without traffic
//	reachability.go     for how long no turn store has answered
//	readiness.go        the platform's readiness check
//	ejections.go        unhealthy endpoints, shared with other gateways
//	metrics.go, counters.go
//
// # Contract
//
// A request has until its route's time-out, or the client's X-Deadline-Ms, to be answered; after that it is aborted. A 503 with
// Retry-After says that it has not run and never will. A 502 or an aborted connection says that it may have run. What an earlier
// attempt may have done stands whatever a later one says (decisive). A stream ends regularly only if the client has all of
// it, and that of a stored turn only when the turn is durable.
//
// # Concurrency and state
//
// Each request is handled by one goroutine, and a clientRequest, streamRelay and attemptTiming belong to that. Gateway.mu guards the
// load balancer and what is shared; it is held for computation only. The gateway stores nothing: views of the control plane, affinity,
// cached texts and pending releases are lost with the process.
//
// # States of a reservation, as the gateway sees it
//
//	state       event                                  next state
//	(none)      Begin: OK                              open
//	(none)      Begin: unclear answer, then rejected   releasing
//	open        the turn is complete and stored        ended by storeTurn
//	open        the turn ends otherwise                releasing: release, releaseInBackground
//	releasing   the turn store confirms                ended
//	releasing   twice the contact window is over       late: settleLate, one call at a time
//	late        lateReleaseTimeout is over             given up: the turn store forgets the program by then
package gateway
