// Package calls makes calls to endpoints: the formats in which messages are written, the permits to write them, the
// connections, the answers, and the endpoint list as the sender's loop knows it. What is called when is decided by package
// brain. Nothing is kept on disk.
//
// # Outcomes
//
// Pool.Call makes one attempt and translates its end:
//
//	what happened                                             outcome          and
//	-                                                         -                -
//	no connection came up                                     ConnectFailed
//	this machine lacked a resource for it                     NotSent
//	all permits were revoked or expired before the write      NotSent          the connection is kept
//	the endpoint moved while the connection came up           NotSent
//	the endpoint did not permit calls from our origin         ConnectFailed
//	the write failed                                          ConnectFailed
//	200                                                       Served           Final
//	429                                                       Rejected         RetryAfter of X-RateLimit-Wait-Ms
//	503                                                       Rejected         ConnLimitReached on a new connection that
//	                                                                           is closed without any figures
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
//	410                                                       NotSent          not Final; the endpoint wants no more calls
//	429, 503 without the platform's wait                      Rejected         RetryAfter of Retry-After
//
// # Concurrency
//
// A Pool is safe for concurrent use. An EndpointList and the exported fields of its Endpoints belong to one goroutine, the
// sender's loop; calls use what stands under Endpoint.mu. A Permit is used by the call and revoked by the loop, without a
// lock.
package calls
