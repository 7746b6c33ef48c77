// Package simulation runs the complete serving tier in one process and in virtual time, injects faults drawn from a seed, and checks
// the guarantees of the tier (deterministic-style simulation testing).
//
// # What is real
//
// The roles run the real code, assembled as in package process: consensus, control plane, sessions, turn stores and the gateway's
// client of sessions and turn stores. The network (a call goes from a client to the server's handler in memory, network.go), the
// disks (wal.Memory, disk.go) and the clock (a bubble of testing/synctest, package virtualtime) are replaced. Operators, the
// platform, endpoints and clients of gateways are simulated (operator.go, environment.go, gateway_role.go). Goroutines are scheduled
// by the runtime, so that two plays of a script may differ: a failing script is replayed several times.
//
// # From a seed to a result
//
//	Generate   draws a Script from a seed: a system, and the faults of its FaultKinds      generator.go, script.go
//	Play       builds the world, injects the faults, and checks recovery at the end        play.go, world.go, inject_*.go
//	checkers   observe all calls of operators, clients and sessions, as a black box        check_*.go, rules.go
//	Violation  is the first Rule that was broken; it ends the play                         rules.go
//	Shrink     drops and shortens faults as long as a Script still fails                   shrink.go
//	Replay     plays a script until it fails; Read and Write keep scripts in files         replay.go, script_file.go
//	Batch      plays many seeds, in worker processes of one processor each                 batch.go, workers.go
//
// # Faults and losses
//
// At most as many machines (or zones or regions) are lost at once as the settings of the system tolerate. Each counts as lost until
// syncTime after its return. Fault kinds that exceed the tolerance keep the disks and occur while nothing else is lost. Tests inject
// faults into the program itself through Hooks, and expect that a checker finds them.
//
// # Concurrency
//
// The state of a world is guarded by its mutex, that of each checker, disk and network by their own. No mutex is held during a wait, as
// virtual time advances only while all goroutines wait. Only scripts and traces are persisted, if the caller writes them.
package simulation
