package org.redwingramp.daemon.internal.control;

import java.util.function.LongSupplier;

import org.redwingramp.core.consensus.Replica;
import org.redwingramp.core.control.Command;
import org.redwingramp.storage.ReplicaStore;
import org.redwingramp.wire.RecordCodec;

/**
 * What the control loop is made of. Immutable.
 *
 * @param replica the replica
 * @param store the replica's durable state
 * @param machine the state machine
 * @param duties the leader's decisions
 * @param commands the codec of log payloads
 * @param links the links to other replicas
 * @param peers the replicas of the group
 * @param clock the monotonic clock in nanoseconds
 * @param snapshotEvery the number of entries between two snapshots
 */
record ControlParts(Replica replica, ReplicaStore store, StateMachine machine, LeaderDuties duties,
		RecordCodec<Command> commands, ReplicaLinks links, ControlPeers peers, LongSupplier clock, int snapshotEvery) {
}
