package org.redwingramp.node.control;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.redwingramp.core.ownership.GrantOutcome;
import org.redwingramp.core.ownership.LeaseTiming;
import org.redwingramp.node.api.GrantCall;
import org.redwingramp.node.api.GrantReply;
import org.redwingramp.node.api.PlatformDialect;
import org.redwingramp.node.http.BodyMemoryLimit;
import org.redwingramp.node.http.CallFailure;
import org.redwingramp.node.http.ClientListener;
import org.redwingramp.node.http.HttpRequest;
import org.redwingramp.node.http.HttpResponse;
import org.redwingramp.node.http.ResponseMatch;
import org.redwingramp.node.http.TargetAddress;
import org.redwingramp.node.http.TargetConnections;
import org.redwingramp.node.loop.EventLoop;

/**
 * Sends grants and releases of key ranges to targets. Grants to one target are sent
 * sequentially, so that they share a connection: a target at its limit of connections
 * resets new ones. A release isn't queued, since its response may take as long as a
 * running request.
 *
 * <p>
 * Responses to these calls bear no identifier, and a target may send a response twice.
 * Invariants: a release is confirmed only by a handover token that no earlier response
 * contained, or by the only response of its connection; a refusal of a call is verified
 * on a new connection. A wrong confirmation of a grant merely prolongs the lease, and the
 * target refuses requests for keys that it doesn't hold. A call that can't be written
 * gets a reply too, and the exception is passed to the loop's failure handler. Not thread
 * safe; confined to the event loop's thread.
 */
public final class TargetCalls {

	private static final long MILLISECOND = 1_000_000L;

	/**
	 * Timeout of a grant. Short, since targets respond immediately and a lost response
	 * mustn't delay the next renewal.
	 */
	private static final long GRANT_TIMEOUT_NANOS = 400 * MILLISECOND;

	/**
	 * Timeout of a release. Longer than that of a grant, since a target responds only
	 * once the running requests of the range have ended.
	 */
	private static final long RELEASE_TIMEOUT_NANOS = 1000 * MILLISECOND;

	/**
	 * A grant that was queued for longer isn't sent, so that each grant arrives within
	 * the time that leases allow for. Measured by the wall clock, since the monotonic
	 * clock excludes the time in which the process was suspended.
	 */
	public static final long MAX_QUEUED_MILLIS = (LeaseTiming.MAX_ARRIVAL_NANOS - GRANT_TIMEOUT_NANOS) / MILLISECOND;

	private static final Set<GrantOutcome> REFUSALS = EnumSet.of(GrantOutcome.OTHER_TARGET,
			GrantOutcome.HIGHER_FENCE_SEEN, GrantOutcome.REJECTED);

	/** Maximum number of handover tokens that are remembered for each target. */
	private static final int MAX_HANDOVERS = 64;

	private final EventLoop loop;

	private final PlatformDialect dialect;

	private final BooleanSupplier mayGrant;

	private final BodyMemoryLimit responseMemory = BodyMemoryLimit.forInternalCalls();

	private final Map<String, TargetQueue> queuesByAddress = new HashMap<>();

	/**
	 * Creates a sender without connections.
	 * @param loop the event loop
	 * @param dialect the platform's formats
	 * @param mayGrant returns whether this process may still send grants; checked just
	 * before each grant is sent
	 */
	public TargetCalls(EventLoop loop, PlatformDialect dialect, BooleanSupplier mayGrant) {
		this.loop = loop;
		this.dialect = dialect;
		this.mayGrant = mayGrant;
	}

	/**
	 * Sends a call. Grants wait for earlier grants to the same target. Nothing is sent to
	 * an address that can't be used.
	 * @param address the target's address, {@code ip:port}
	 * @param call the grant or release
	 * @param reply receives the reply once
	 */
	public void send(String address, GrantCall call, Consumer<GrantReply> reply) {
		send(address, call, MAX_QUEUED_MILLIS, reply);
	}

	/**
	 * Sends a call as {@link #send(String, GrantCall, Consumer)} does.
	 * @param address the target's address, {@code ip:port}
	 * @param call the grant or release
	 * @param maxQueuedMillis the longest time that a grant may wait, in milliseconds
	 * @param reply receives the reply once
	 */
	public void send(String address, GrantCall call, long maxQueuedMillis, Consumer<GrantReply> reply) {
		send(address, call, maxQueuedMillis, () -> true, reply);
	}

	/**
	 * Sends a call as {@link #send(String, GrantCall, Consumer)} does.
	 * @param address the target's address, {@code ip:port}
	 * @param call the grant or release
	 * @param wanted whether a grant is still to be sent when its turn comes
	 * @param reply receives the reply once
	 */
	public void send(String address, GrantCall call, BooleanSupplier wanted, Consumer<GrantReply> reply) {
		send(address, call, MAX_QUEUED_MILLIS, wanted, reply);
	}

	private void send(String address, GrantCall call, long maxQueuedMillis, BooleanSupplier wanted,
			Consumer<GrantReply> reply) {
		Optional<InetSocketAddress> parsed = TargetAddress.parse(address);
		if (parsed.isEmpty()) {
			this.loop.schedule(0, () -> reply.accept(GrantReply.NOT_SENT));
			return;
		}
		TargetQueue target = this.queuesByAddress.computeIfAbsent(address,
				(key) -> new TargetQueue(new TargetConnections(this.loop, parsed.get(), this.responseMemory)));
		if (call.release()) {
			exchange(target, new QueuedGrant(call, System.currentTimeMillis(), maxQueuedMillis, wanted, reply),
					RELEASE_TIMEOUT_NANOS, reply);
		}
		else {
			target.waitingGrants.add(new QueuedGrant(call, System.currentTimeMillis(), maxQueuedMillis, wanted, reply));
			sendNextGrant(target);
		}
	}

	private void sendNextGrant(TargetQueue target) {
		if (target.grantInFlight || target.waitingGrants.isEmpty()) {
			return;
		}
		QueuedGrant grant = target.waitingGrants.poll();
		if (grant.expired() || !this.mayGrant.getAsBoolean() || !grant.wanted().getAsBoolean()) {
			// This leader or another one may have decided otherwise meanwhile.
			this.loop.schedule(0, () -> grant.reply().accept(GrantReply.NOT_SENT));
			sendNextGrant(target);
			return;
		}
		target.grantInFlight = true;
		exchange(target, grant, GRANT_TIMEOUT_NANOS, (grantReply) -> {
			target.grantInFlight = false;
			try {
				grant.reply().accept(grantReply);
			}
			finally {
				sendNextGrant(target);
			}
		});
	}

	// A refusal may be a copy of an earlier one, so it is verified while a call may still
	// be sent.
	private void exchange(TargetQueue target, QueuedGrant grant, long timeoutNanos, Consumer<GrantReply> receiver) {
		GrantCall call = grant.call();
		Consumer<GrantReply> reply = new SingleReply(receiver);
		HttpRequest request;
		try {
			request = this.dialect.grantRequest(call);
		}
		catch (RuntimeException ex) {
			callFailed(ex, GrantReply.NOT_SENT, reply);
			return;
		}
		guardSending(reply,
				() -> target.connections.send(request, timeoutNanos, new Listener(target, call, (grantReply) -> {
					boolean refused = REFUSALS.contains(grantReply.outcome());
					if (refused && (grant.expired() || !this.mayGrant.getAsBoolean())) {
						reply.accept(GrantReply.UNKNOWN);
					}
					else if (refused) {
						guardSending(reply, () -> target.connections.sendOnNewConnection(request, timeoutNanos,
								new Listener(target, call, reply)));
					}
					else {
						reply.accept(grantReply);
					}
				})));
	}

	// Part of the call may have been written when the sending fails.
	private void guardSending(Consumer<GrantReply> reply, Runnable sending) {
		try {
			sending.run();
		}
		catch (RuntimeException ex) {
			callFailed(ex, GrantReply.UNKNOWN, reply);
		}
	}

	// The exception is left to the loop, whose failure handler reports it.
	private void callFailed(RuntimeException failure, GrantReply result, Consumer<GrantReply> reply) {
		this.loop.schedule(0, () -> reply.accept(result));
		this.loop.schedule(0, () -> {
			throw failure;
		});
	}

	/**
	 * Passes on the first reply to a call: the timeout of a call whose sending failed may
	 * add another. Not thread safe.
	 */
	private static final class SingleReply implements Consumer<GrantReply> {

		private final Consumer<GrantReply> receiver;

		private boolean received;

		SingleReply(Consumer<GrantReply> receiver) {
			this.receiver = receiver;
		}

		@Override
		public void accept(GrantReply reply) {
			if (!this.received) {
				this.received = true;
				this.receiver.accept(reply);
			}
		}

	}

	/** Receives the outcome of one call. */
	private final class Listener implements ClientListener {

		private final TargetQueue target;

		private final GrantCall call;

		private final Consumer<GrantReply> reply;

		Listener(TargetQueue target, GrantCall call, Consumer<GrantReply> reply) {
			this.target = target;
			this.call = call;
			this.reply = reply;
		}

		// A response with an identifier belongs to a request, one with a handover to a
		// release.
		@Override
		public ResponseMatch match(HttpResponse response) {
			if (TargetCalls.this.dialect.responseFields(response.headers()).requestId().isPresent()) {
				return ResponseMatch.OTHER;
			}
			GrantReply candidate = TargetCalls.this.dialect.grantReply(this.call, response);
			if (!this.call.release()) {
				return candidate.handover().isEmpty() ? ResponseMatch.OWN : ResponseMatch.OTHER;
			}
			if (candidate.outcome() != GrantOutcome.CONFIRMED) {
				return ResponseMatch.OWN;
			}
			return candidate.handover()
				.map((token) -> this.target.handovers.contains(token) ? ResponseMatch.OTHER : ResponseMatch.OWN)
				.orElse(ResponseMatch.UNIDENTIFIED);
		}

		@Override
		public void answered(HttpResponse response) {
			GrantReply received = TargetCalls.this.dialect.grantReply(this.call, response);
			received.handover().ifPresent(this.target::rememberHandover);
			this.reply.accept(received);
		}

		@Override
		public void failed(CallFailure failure) {
			this.reply.accept(failure.mayHaveRun() ? GrantReply.UNKNOWN : GrantReply.NOT_SENT);
		}

	}

	/**
	 * A grant that waits for earlier grants to the same target.
	 *
	 * @param call the call
	 * @param queuedMillis the wall-clock time at which it was queued
	 * @param maxQueuedMillis the longest time that it may wait
	 * @param wanted whether it is still to be sent
	 * @param reply receives the reply
	 */
	private record QueuedGrant(GrantCall call, long queuedMillis, long maxQueuedMillis, BooleanSupplier wanted,
			Consumer<GrantReply> reply) {

		boolean expired() {
			return Math.abs(System.currentTimeMillis() - this.queuedMillis) > this.maxQueuedMillis;
		}

	}

	/**
	 * The connections to one target and the grants that wait to be sent over them. Not
	 * thread safe.
	 */
	private static final class TargetQueue {

		private final TargetConnections connections;

		private final Deque<QueuedGrant> waitingGrants = new ArrayDeque<>();

		// The latest handover tokens that the target returned.
		private final Set<String> handovers = new LinkedHashSet<>();

		private boolean grantInFlight;

		TargetQueue(TargetConnections connections) {
			this.connections = connections;
		}

		private void rememberHandover(String token) {
			if (this.handovers.size() >= MAX_HANDOVERS) {
				this.handovers.remove(this.handovers.iterator().next());
			}
			this.handovers.add(token);
		}

	}

}
