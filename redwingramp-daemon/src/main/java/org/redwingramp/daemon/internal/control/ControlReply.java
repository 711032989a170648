package org.redwingramp.daemon.internal.control;

import java.util.List;

import org.redwingramp.core.control.CommandResult;
import org.redwingramp.core.control.EntryHeartbeatReply;
import org.redwingramp.core.control.ViewUpdate;

/**
 * The reply of a control replica to a {@link ControlCall}. All implementations are
 * immutable records and thread safe.
 */
public sealed interface ControlReply {

	/**
	 * The command is committed and applied.
	 *
	 * @param result the result of applying the command
	 */
	record Committed(CommandResult result) implements ControlReply {
	}

	/**
	 * The leader has processed the heartbeat of an entry instance.
	 *
	 * @param reply the leader's reply to the heartbeat
	 */
	record Renewed(EntryHeartbeatReply reply) implements ControlReply {
	}

	/**
	 * The changes of the view and the status of the control group.
	 *
	 * @param update the changes since the requested view version
	 * @param versionInForce the view version that all live entry instances have adopted
	 * @param revision the latest configuration revision
	 * @param leader the leader's name
	 * @param term the leader's term
	 * @param replicas the replicas, each followed by {@code voter} or {@code learner}
	 * @param commitIndex the index of the last committed entry
	 * @param ledgerSize the number of requests in the ledger
	 */
	record ViewRead(ViewUpdate update, long versionInForce, long revision, String leader, long term,
			List<String> replicas, long commitIndex, int ledgerSize) implements ControlReply {
	}

	/**
	 * This replica is not the leader or its leader lease has expired; the call had no
	 * effect.
	 *
	 * @param leader the leader's name, empty if unknown
	 */
	record NotLeader(String leader) implements ControlReply {
	}

	/**
	 * The replica is overloaded; the call had no effect.
	 */
	record Overloaded() implements ControlReply {
	}

	/**
	 * The leadership changed while the command was pending; it may or may not be
	 * committed.
	 */
	record Undecided() implements ControlReply {
	}

}
