package org.redwingramp.daemon.internal.control;

import java.util.function.LongSupplier;

import org.redwingramp.core.consensus.Replica;
import org.redwingramp.core.control.Command;
import org.redwingramp.storage.ReplicaStore;
import org.redwingramp.wire.RecordCodec;

/**
 * The components and parameters of a {@link ControlLoop}. Immutable.
 *
 * @param replica the consensus replica
 * @param store the durable storage of the replica
 * @param stateMachine applies committed commands to the control state
 * @param leaderTasks provides the controller while this replica leads
 * @param commandCodec the codec of the commands in log entries
 * @param links the links to other replicas
 * @param peers the replicas of the group
 * @param clock the monotonic clock in nanoseconds
 * @param snapshotEvery the number of log entries between two snapshots
 */
record ControlLoopComponents(Replica replica, ReplicaStore store, StateMachine stateMachine, LeaderTasks leaderTasks,
		RecordCodec<Command> commandCodec, ReplicaLinks links, ControlPeers peers, LongSupplier clock,
		int snapshotEvery) {
}
