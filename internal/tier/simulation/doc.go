// Package simulation plays the serving tier whole in one process and in virtual time: control-plane processes, turn stores, gateways'
// sessions and calls, operators and the platform's list, with faults drawn from a seed, and checks what they promise.
//
// The roles are the real code, put together as their commands do it. Replaced are the network (calls go from a client to
// the other side's handler in memory), the disks (wal.Memory) and the clock (a bubble of testing/synctest). The checks
// know orders, answers and what processes are shown, and none of the code.
package simulation
