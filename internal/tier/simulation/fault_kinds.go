package simulation

import (
	"slices"
)

// FaultKind is the kind of a fault. Its values appear in scripts and flags.
type FaultKind string

// The kinds of faults. Those of the first group make a control-plane machine or a turn store, or its disk or links, fail for
// the duration of the fault.
const (
	Kill              FaultKind = "kill"         // the process ends, the disk stays as the process saw it
	PowerLoss         FaultKind = "power-loss"   // the machine loses power; data that was not synced may be lost, in full or in part
	Wipe              FaultKind = "wipe"         // as PowerLoss, and the disk is empty afterwards
	Replace           FaultKind = "replace"      // lost for good; another machine with an empty disk takes its place at another address
	Move              FaultKind = "move"         // planned: another machine of the control plane is added first, then this one is removed
	Terminate         FaultKind = "terminate"    // SIGTERM: a turn store hands its partitions over first
	Pause             FaultKind = "pause"        // the process is frozen: messages wait, and none is lost
	Partition         FaultKind = "cut"          // no message reaches the machine or leaves it
	PartitionInbound  FaultKind = "cut-inbound"  // no message reaches the machine
	PartitionOutbound FaultKind = "cut-outbound" // no message leaves the machine
	PartitionLeader   FaultKind = "cut-leader"   // the primary is partitioned together with the gateways of odd numbers

	PartitionNear         FaultKind = "cut-near"          // a machine of the control plane is partitioned together with the machines of Side
	PartitionNearInbound  FaultKind = "cut-near-inbound"  // the same, inbound only
	PartitionNearOutbound FaultKind = "cut-near-outbound" // the same, outbound only
	PartitionConfirming   FaultKind = "cut-confirming"    // as PartitionNear, while the primary is writing a change

	DiskFull  FaultKind = "disk-full"  // each write fails
	DiskStuck FaultKind = "disk-stuck" // each sync waits

	KillZone              FaultKind = "zone-kill" // the second group hits all machines of a zone or region, whose name is in Machine
	PowerLossZone         FaultKind = "zone-power-loss"
	WipeZone              FaultKind = "zone-wipe"
	PartitionZone         FaultKind = "zone-cut" // machines within it reach each other
	PartitionZoneInbound  FaultKind = "zone-cut-inbound"
	PartitionZoneOutbound FaultKind = "zone-cut-outbound"

	RestartAll   FaultKind = "restart-all"    // all processes of the control plane and the turn stores are killed
	PowerLossAll FaultKind = "power-loss-all" // as RestartAll, and their machines lose power; disks are kept

	SplitCore   FaultKind = "split-core"    // the control plane is partitioned into two halves; all others reach both
	SplitOneWay FaultKind = "split-one-way" // the same, in one direction

	KillGateway       FaultKind = "kill-gateway"  // gateways do not count as losses
	PartitionSeeds    FaultKind = "seeds-cut-off" // as KillGateway, and the seeds of the next process are partitioned control-plane machines
	Add               FaultKind = "add"           // one more turn store
	Retire            FaultKind = "retire"        // an operator retires a turn store: it is emptied, then removed
	LoseResponses     FaultKind = "lose-answers"  // half of the replies to operators are lost
	Reorder           FaultKind = "reorder"       // some messages are duplicated or delayed
	LoseMessages      FaultKind = "trouble"       // some messages are lost
	ConcurrentChanges FaultKind = "rival-orders"  // pairs of changes to the same revision on the same base revision, sent to two machines
	LossesInRow       FaultKind = "losses-in-row" // losses follow each other as soon as tolerated, and operators change the configuration without pause
)

// FaultKinds returns all kinds, those that count as losses first.
func FaultKinds() []FaultKind { return slices.Concat(countedKinds, domainKinds, otherKinds) }

var (
	countedKinds = []FaultKind{Kill, PowerLoss, Wipe, Replace, Move, Terminate, Pause, Partition, PartitionInbound, PartitionOutbound, PartitionLeader, DiskFull, DiskStuck,
		PartitionNear, PartitionNearInbound, PartitionNearOutbound, PartitionConfirming}
	domainKinds = []FaultKind{KillZone, PowerLossZone, WipeZone, PartitionZone, PartitionZoneInbound, PartitionZoneOutbound}
	otherKinds  = []FaultKind{RestartAll, PowerLossAll, SplitCore, SplitOneWay, KillGateway, PartitionSeeds, Add, Retire, LoseResponses, Reorder, LoseMessages, ConcurrentChanges,
		LossesInRow}
	excessKinds = []FaultKind{RestartAll, PowerLossAll, SplitCore, SplitOneWay} // lose more than is tolerated
	nearKinds   = []FaultKind{PartitionNear, PartitionNearInbound, PartitionNearOutbound, PartitionConfirming}
)
