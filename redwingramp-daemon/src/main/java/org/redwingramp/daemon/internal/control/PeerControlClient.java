package org.redwingramp.daemon.internal.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.redwingramp.wire.Answer;
import org.redwingramp.wire.CallNotExecutedException;
import org.redwingramp.wire.CodecException;
import org.redwingramp.wire.Kind;
import org.redwingramp.wire.OutcomeUnknownException;
import org.redwingramp.wire.PeerLinks;
import org.redwingramp.wire.RecordCodec;

/**
 * Finds the leader among the control replicas that the settings list, and calls it.
 * Thread safe.
 *
 * <p>
 * Invariant: a proposal is sent again only if the earlier attempts certainly had no
 * effect.
 */
public final class PeerControlClient implements ControlClient {

	private static final RecordCodec<ControlCall> CALLS = RecordCodec.of(ControlCall.class);

	private static final RecordCodec<ControlReply> REPLIES = RecordCodec.of(ControlReply.class);

	private static final long RETRY_PAUSE_MILLIS = 10;

	/** Timeout of one attempt of a heartbeat or read, which may safely be repeated. */
	private static final long NON_PROPOSAL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	private final PeerLinks links;

	private final ControlPeers peers;

	private final List<String> replicaNames;

	private final LongSupplier clock;

	private volatile String leader;

	/**
	 * Creates the client.
	 * @param links the links to other daemons
	 * @param peers the control replicas
	 * @param clock the monotonic clock in nanoseconds
	 */
	public PeerControlClient(PeerLinks links, ControlPeers peers, LongSupplier clock) {
		this.links = links;
		this.peers = peers;
		this.replicaNames = peers.addresses().keySet().stream().sorted().toList();
		this.clock = clock;
		this.leader = this.replicaNames.get(0);
	}

	@Override
	public ControlReply call(ControlCall call, long timeoutNanos)
			throws ControlUnavailableException, ControlUndecidedException {
		long deadline = this.clock.getAsLong() + timeoutNanos;
		String replica = this.leader;
		String lastFailure = "no replica was called";
		for (int attempts = 1; this.clock.getAsLong() < deadline; attempts++) {
			try {
				ControlReply reply = callReplica(replica, call, deadline - this.clock.getAsLong());
				Optional<String> next = nextReplica(replica, reply);
				if (next.isEmpty()) {
					this.leader = replica;
					return reply;
				}
				lastFailure = replica + " replied " + reply.getClass().getSimpleName();
				replica = next.get();
			}
			catch (CallNotExecutedException ex) {
				lastFailure = replica + ": " + ex.getMessage();
				replica = replicaAfter(replica);
			}
			if (attempts % this.replicaNames.size() == 0) {
				pauseBetweenRounds();
			}
		}
		throw new ControlUnavailableException(
				"no control leader was reached before the timeout; last attempt: " + lastFailure);
	}

	private ControlReply callReplica(String replica, ControlCall call, long timeoutNanos)
			throws CallNotExecutedException, ControlUndecidedException {
		boolean proposal = call instanceof ControlCall.Propose;
		long timeout = proposal ? timeoutNanos : Math.min(timeoutNanos, NON_PROPOSAL_TIMEOUT_NANOS);
		try {
			Answer answer = this.links.call(this.peers.addresses().get(replica), kind(call), CALLS.encode(call),
					Duration.ofNanos(Math.max(1, timeout)));
			return REPLIES.decode(answer.payload());
		}
		catch (OutcomeUnknownException ex) {
			this.leader = replicaAfter(replica);
			if (proposal) {
				throw new ControlUndecidedException(
						"control replica " + replica + " may have committed the command: " + ex.getMessage());
			}
			throw new CallNotExecutedException("no reply: " + ex.getMessage());
		}
		catch (CodecException ex) {
			throw new ControlUndecidedException(
					"a call to control replica " + replica + " or its reply is malformed: " + ex.getMessage());
		}
	}

	private Optional<String> nextReplica(String replica, ControlReply reply) throws ControlUndecidedException {
		if (reply instanceof ControlReply.Undecided) {
			throw new ControlUndecidedException(
					"leadership changed while control replica " + replica + " was processing the proposal");
		}
		if (reply instanceof ControlReply.NotLeader notLeader) {
			boolean known = this.replicaNames.contains(notLeader.leader()) && !notLeader.leader().equals(replica);
			return Optional.of(known ? notLeader.leader() : replicaAfter(replica));
		}
		return (reply instanceof ControlReply.Overloaded) ? Optional.of(replica) : Optional.empty();
	}

	private String replicaAfter(String replica) {
		return this.replicaNames.get((this.replicaNames.indexOf(replica) + 1) % this.replicaNames.size());
	}

	private static Kind kind(ControlCall call) {
		if (call instanceof ControlCall.Propose) {
			return Kind.PROPOSE;
		}
		return (call instanceof ControlCall.Heartbeat) ? Kind.HEARTBEAT : Kind.STATUS;
	}

	private static void pauseBetweenRounds() throws ControlUnavailableException {
		try {
			TimeUnit.MILLISECONDS.sleep(RETRY_PAUSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new ControlUnavailableException("interrupted while searching for the control leader");
		}
	}

}
