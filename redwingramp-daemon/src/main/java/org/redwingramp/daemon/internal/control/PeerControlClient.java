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
 * Finds the control leader among the listed replicas and calls it. Thread safe.
 *
 * <p>
 * Invariant: a proposal is sent to another replica only while it certainly had no effect.
 */
public final class PeerControlClient implements ControlClient {

	private static final RecordCodec<ControlCall> CALLS = RecordCodec.of(ControlCall.class);

	private static final RecordCodec<ControlReply> REPLIES = RecordCodec.of(ControlReply.class);

	private static final long PAUSE_MILLIS = 10;

	private static final long PROBE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

	private final PeerLinks links;

	private final ControlPeers peers;

	private final List<String> names;

	private final LongSupplier clock;

	private volatile String leader;

	/**
	 * Creates the client.
	 * @param links the links to other daemons
	 * @param peers the listed replicas
	 * @param clock the monotonic clock in nanoseconds
	 */
	public PeerControlClient(PeerLinks links, ControlPeers peers, LongSupplier clock) {
		this.links = links;
		this.peers = peers;
		this.names = peers.addresses().keySet().stream().sorted().toList();
		this.clock = clock;
		this.leader = this.names.get(0);
	}

	@Override
	public ControlReply call(ControlCall call, long timeoutNanos)
			throws ControlUnavailableException, ControlUndecidedException {
		long deadline = this.clock.getAsLong() + timeoutNanos;
		String replica = this.leader;
		String last = "no replica was tried";
		for (int tries = 1; this.clock.getAsLong() < deadline; tries++) {
			try {
				ControlReply reply = exchange(replica, call, deadline - this.clock.getAsLong());
				Optional<String> next = next(replica, reply);
				if (next.isEmpty()) {
					this.leader = replica;
					return reply;
				}
				last = replica + " answered " + reply.getClass().getSimpleName();
				replica = next.get();
			}
			catch (CallNotExecutedException ex) {
				last = replica + ": " + ex.getMessage();
				replica = after(replica);
			}
			if (tries % this.names.size() == 0) {
				pause();
			}
		}
		throw new ControlUnavailableException("no control leader was reached in time; " + last);
	}

	private ControlReply exchange(String replica, ControlCall call, long timeoutNanos)
			throws CallNotExecutedException, ControlUndecidedException {
		boolean proposal = call instanceof ControlCall.Propose;
		long timeout = proposal ? timeoutNanos : Math.min(timeoutNanos, PROBE_NANOS);
		try {
			Answer answer = this.links.call(this.peers.addresses().get(replica), kind(call), CALLS.encode(call),
					Duration.ofNanos(Math.max(1, timeout)));
			return REPLIES.decode(answer.payload());
		}
		catch (OutcomeUnknownException ex) {
			this.leader = after(replica);
			if (proposal) {
				throw new ControlUndecidedException(replica + " may have committed it: " + ex.getMessage());
			}
			throw new CallNotExecutedException("no answer: " + ex.getMessage());
		}
		catch (CodecException ex) {
			throw new ControlUndecidedException("the call or its reply is malformed: " + ex.getMessage());
		}
	}

	private Optional<String> next(String replica, ControlReply reply) throws ControlUndecidedException {
		if (reply instanceof ControlReply.Undecided) {
			throw new ControlUndecidedException("the leadership changed at " + replica);
		}
		if (reply instanceof ControlReply.NotLeader other) {
			boolean known = this.names.contains(other.leader()) && !other.leader().equals(replica);
			return Optional.of(known ? other.leader() : after(replica));
		}
		return (reply instanceof ControlReply.Overloaded) ? Optional.of(replica) : Optional.empty();
	}

	private String after(String replica) {
		return this.names.get((this.names.indexOf(replica) + 1) % this.names.size());
	}

	private static Kind kind(ControlCall call) {
		if (call instanceof ControlCall.Propose) {
			return Kind.PROPOSE;
		}
		return (call instanceof ControlCall.Heartbeat) ? Kind.HEARTBEAT : Kind.STATUS;
	}

	private static void pause() throws ControlUnavailableException {
		try {
			TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new ControlUnavailableException("interrupted while looking for the control leader");
		}
	}

}
