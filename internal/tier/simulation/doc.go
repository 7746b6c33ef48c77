// Package simulation plays the complete serving tier in one process and in virtual time, with faults injected from a seed, and checks
// what the tier promises (deterministic-style simulation testing).
//
// # What is real
//
// The roles are the real code, assembled as package process does it: consensus, control plane, sessions, turn stores and the
// gateway's client of these. Replaced are the network (a call goes from a client to the other side's handler in memory,
// network.go), the disks (wal.Memory, disk.go) and the clock (a bubble of testing/synctest, package virtualtime). Operators, the
// platform, endpoints and clients of gateways are simulated (operator.go, environment.go, gateway_role.go). Goroutines are scheduled
// by the runtime, so that two plays of a script may differ: a failing script is replayed several times.
//
// # Way of a seed
//
//	Generate   draws a Script from a seed: a system, and the faults of its FaultKinds      generator.go, script.go
//	Play       builds the world, injects the faults, and checks recovery at the end        play.go, world.go, inject_*.go
//	checkers   hear of every call of operators, clients and sessions, and know no code     check_*.go, rules.go
//	Violation  is the first Rule that was broken; it ends the play                         rules.go
//	Shrink     drops and shortens faults as long as a Script still fails                   shrink.go
//	Replay     plays a script until it fails; Read and Write keep scripts in files         replay.go, script_file.go
//	Batch      plays many seeds, in worker processes of one processor each                 batch.go, workers.go
//
// # Faults and losses
//
// No more machines, or zones or regions, are lost at once than the settings of the system tolerate; what is lost counts as lost
// until syncTime after its return. Kinds that take more keep the disks and come alone. Tests inject faults into the program
// itself by Hooks, and expect that a checker finds them.
//
// # Concurrency
//
// The state of a world is guarded by its mutex, that of each checker, disk and network by their own; none is held over a wait, as
// virtual time moves only while all goroutines wait. Nothing is persisted but scripts and traces, where the caller writes them.
package simulation
