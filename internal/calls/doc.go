// Package calls makes HTTP calls to endpoints. It contains the request formats, the permits to write messages, the connection
// pool, the parsing of answers, and the endpoint list that the sender's loop maintains. Package brain decides which endpoint is
// called when. Nothing is stored on disk.
//
// # Outcomes
//
// Pool.Call makes one attempt and translates its result:
//
//	end of the attempt                                        outcome          other fields
//	-                                                         -                -
//	no connection was established                             ConnectFailed
//	this machine lacked a resource for the connection         NotSent
//	all permits were revoked or expired before the write      NotSent          the connection is kept
//	the endpoint's address changed while connecting           NotSent
//	the endpoint did not allow calls from our origin          ConnectFailed
//	the write failed                                          ConnectFailed
//	200                                                       Served           Final
//	429                                                       Rejected         RetryAfter of X-RateLimit-Wait-Ms
//	503                                                       Rejected         ConnLimitReached on a new connection that
//	                                                                           is closed without a wait or load report
//	503 with X-Over-Slots: 1                                  NotSent
//	504                                                       NotSent
//	410                                                       NotSent          Final
//	any other status                                          Errored
//	an answer that cannot be read                             Errored
//	no answer in time                                         TimedOut
//	the call was cancelled                                    Cancelled
//	the connection broke after the write                      ConnectionLost
//
// For web hooks (request_format.go: any target but Plain) these differ:
//
//	200, 201, 202, 204                                        Served           Final
//	410                                                       NotSent          not Final; the endpoint is retired
//	429, 503 without X-RateLimit-Wait-Ms                      Rejected         RetryAfter of Retry-After
//
// # Concurrency
//
// A Pool is safe for concurrent use. An EndpointList and the exported fields of its Endpoints belong to one goroutine, the
// sender's loop; calls use only the fields guarded by Endpoint.mu. A Permit is used by the call and revoked by the loop, without
// a lock.
package calls
