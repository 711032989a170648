package org.redwingramp.node.link;

import java.util.List;
import java.util.Optional;

import org.redwingramp.core.consensus.PeerMessage;
import org.redwingramp.core.consensus.ReplicaId;
import org.redwingramp.core.fleet.EntryReport;
import org.redwingramp.core.fleet.FleetView;
import org.redwingramp.core.observation.Observation;
import org.redwingramp.node.api.GrantCall;
import org.redwingramp.node.api.GrantReply;

/**
 * A message between two processes of a fleet. All implementations are immutable records.
 */
public sealed interface LinkMessage {

	/**
	 * Identifies a control replica to another one. It is the first message on a link and
	 * is repeated as a heartbeat.
	 *
	 * @param replica the sending replica
	 * @param blank whether its replicated state is empty
	 */
	record ReplicaHello(ReplicaId replica, boolean blank) implements LinkMessage {
	}

	/**
	 * Carries a message of the consensus protocol.
	 *
	 * @param sender the sending replica
	 * @param message the message of the protocol
	 */
	record Consensus(ReplicaId sender, PeerMessage message) implements LinkMessage {
	}

	/**
	 * Identifies an entry instance to a control replica. It is the first message on a
	 * link.
	 *
	 * @param entry the name of the entry instance
	 * @param configVersion the version of its current configuration
	 */
	record EntryHello(String entry, long configVersion) implements LinkMessage {
	}

	/**
	 * Reports the observations of an entry instance and acknowledges its current view. It
	 * also serves as a heartbeat.
	 *
	 * @param entry the name of the entry instance
	 * @param term the term of its current view
	 * @param sequence the sequence number of its current view
	 * @param report the observations
	 * @param clockMillis the monotonic clock of the entry instance in milliseconds; empty
	 * if the sender doesn't state it
	 * @param configVersion the version of the configuration that it applies; empty if the
	 * sender doesn't state it
	 * @param lag the name of the {@link org.redwingramp.core.fleet.LagReason} if it
	 * doesn't follow the leader; empty if it does or the sender doesn't state it
	 */
	record Report(String entry, long term, long sequence, EntryReport report, Optional<Long> clockMillis,
			Optional<Long> configVersion, Optional<String> lag) implements LinkMessage {
	}

	/**
	 * Informs an entry instance which control replica is the leader.
	 *
	 * @param leader the name of the leader, empty if it isn't known
	 * @param leading whether the sender is the leader and accepts requests
	 * @param replicas the names of the control replicas
	 * @param followed whether any entry instance follows the sender; empty if it isn't
	 * the leader or doesn't know yet
	 */
	record LeaderInfo(String leader, boolean leading, List<String> replicas,
			Optional<Boolean> followed) implements LinkMessage {
	}

	/**
	 * Sends the changed sections of the view to an entry instance.
	 *
	 * @param view the changed sections
	 */
	record View(FleetView view) implements LinkMessage {
	}

	/**
	 * Asks an entry instance to relay a grant or release of keys to a target.
	 *
	 * @param number identifies the call among all of the sending process; the reply
	 * repeats it
	 * @param term the term of the leader that sent it
	 * @param address the target's address
	 * @param call the call
	 * @param notAfterMillis the time on the monotonic clock of the entry instance, in
	 * milliseconds, after which the call must not be relayed; empty if there is no limit
	 */
	record RelayCall(long number, long term, String address, GrantCall call,
			Optional<Long> notAfterMillis) implements LinkMessage {
	}

	/**
	 * Replies to a {@link RelayCall}.
	 *
	 * @param number the number of the call
	 * @param reply the target's reply
	 */
	record RelayReply(long number, GrantReply reply) implements LinkMessage {
	}

	/**
	 * Asks the leader for a permit to send one request to a target whose request rate is
	 * limited, since it is cold or states a limit.
	 *
	 * @param number identifies the permit on this link; the reply repeats it
	 * @param target the name of the target
	 * @param perSecond the rate at which all entry instances together may send requests
	 * @param stated the limit that the target stated, if any
	 * @param maxDelayMillis the longest time that the request may wait, in milliseconds
	 */
	record PermitRequest(long number, String target, double perSecond, Optional<Observation> stated,
			long maxDelayMillis) implements LinkMessage {
	}

	/**
	 * Replies to a {@link PermitRequest}.
	 *
	 * @param number the number of the permit
	 * @param granted whether the request may be sent
	 * @param delayMillis the time from which it may be sent, or could be if it was
	 * refused, in milliseconds
	 */
	record PermitReply(long number, boolean granted, long delayMillis) implements LinkMessage {
	}

}
