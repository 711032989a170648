package org.redwingramp.daemon.internal.control;

import java.util.List;

import org.redwingramp.core.control.CommandResult;
import org.redwingramp.core.control.EntryHeartbeatReply;
import org.redwingramp.core.control.ViewUpdate;

/**
 * What the control role answers. All implementations are immutable records and thread
 * safe.
 */
public sealed interface ControlReply {

	/**
	 * The command is committed and applied.
	 *
	 * @param result its result
	 */
	record Committed(CommandResult result) implements ControlReply {
	}

	/**
	 * The heartbeat's reply.
	 *
	 * @param reply the reply
	 */
	record Renewed(EntryHeartbeatReply reply) implements ControlReply {
	}

	/**
	 * The view and the state of the control group.
	 *
	 * @param update the changes since the asked version
	 * @param versionInForce the view version that all live entry instances have
	 * @param revision the last configuration revision
	 * @param leader the leader's name
	 * @param term the leader's term
	 * @param replicas the replicas with their roles in the group
	 * @param commitIndex the index of the last committed entry
	 * @param ledgerSize the number of requests in the ledger
	 */
	record ViewRead(ViewUpdate update, long versionInForce, long revision, String leader, long term,
			List<String> replicas, long commitIndex, int ledgerSize) implements ControlReply {
	}

	/**
	 * This replica doesn't lead or its lease is over; nothing was done.
	 *
	 * @param leader the leader's name, empty if unknown
	 */
	record NotLeader(String leader) implements ControlReply {
	}

	/**
	 * Nothing was done because too much waits.
	 */
	record Overloaded() implements ControlReply {
	}

	/**
	 * The leadership changed while the command waited; it may or may not be committed.
	 */
	record Undecided() implements ControlReply {
	}

}
