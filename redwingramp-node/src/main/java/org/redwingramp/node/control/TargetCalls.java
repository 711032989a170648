package org.redwingramp.node.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.redwingramp.node.api.GrantCall;
import org.redwingramp.node.api.GrantReply;
import org.redwingramp.node.api.PlatformDialect;
import org.redwingramp.node.http.AnswerMemory;
import org.redwingramp.node.http.CallFailure;
import org.redwingramp.node.http.ClientListener;
import org.redwingramp.node.http.HttpResponse;
import org.redwingramp.node.http.TargetConnections;
import org.redwingramp.node.loop.EventLoop;

/**
 * Sends calls about keys to targets. Grants to one target are sent one after the other,
 * so that its renewals share a connection; a release doesn't wait, since its answer may
 * take as long as a request. Not thread safe; it belongs to the loop's thread.
 */
public final class TargetCalls {

	private static final long MILLISECOND = 1_000_000L;

	/** A grant is answered at once; a lost answer must not delay the renewal. */
	private static final long GRANT_TIMEOUT_NANOS = 400 * MILLISECOND;

	/** A release is answered when the running work has ended. */
	private static final long RELEASE_TIMEOUT_NANOS = 1000 * MILLISECOND;

	private final EventLoop loop;

	/**
	 * A grant that waited longer for its turn isn't sent. Measured by the wall clock,
	 * since the monotonic one doesn't count the time in which the process was suspended.
	 */
	private static final long MAX_QUEUED_MILLIS = 1000;

	private final PlatformDialect dialect;

	private final BooleanSupplier mayGrant;

	private final AnswerMemory memory = AnswerMemory.forCalls();

	private final Map<String, Lane> lanes = new HashMap<>();

	/**
	 * Creates the sender.
	 * @param loop the event loop
	 * @param dialect the platform's formats
	 * @param mayGrant tells whether grants may still be sent when their turn has come
	 */
	public TargetCalls(EventLoop loop, PlatformDialect dialect, BooleanSupplier mayGrant) {
		this.loop = loop;
		this.dialect = dialect;
		this.mayGrant = mayGrant;
	}

	/**
	 * Sends a call.
	 * @param address the target's address, {@code ip:port}
	 * @param call the call
	 * @param reply hears the answer once
	 */
	public void send(String address, GrantCall call, Consumer<GrantReply> reply) {
		Lane lane = this.lanes.computeIfAbsent(address,
				(key) -> new Lane(TargetConnections.to(this.loop, key, this.memory)));
		if (call.release()) {
			exchange(lane, call, RELEASE_TIMEOUT_NANOS, reply);
		}
		else {
			lane.queue.add(new QueuedGrant(call, System.currentTimeMillis(), reply));
			next(lane);
		}
	}

	private void next(Lane lane) {
		if (lane.busy || lane.queue.isEmpty()) {
			return;
		}
		QueuedGrant grant = lane.queue.poll();
		long waited = Math.abs(System.currentTimeMillis() - grant.queuedMillis());
		if (waited > MAX_QUEUED_MILLIS || !this.mayGrant.getAsBoolean()) {
			// Another leader may have given the keys away meanwhile.
			this.loop.schedule(0, () -> grant.reply().accept(GrantReply.NOT_SENT));
			next(lane);
			return;
		}
		lane.busy = true;
		exchange(lane, grant.call(), GRANT_TIMEOUT_NANOS, (answer) -> {
			lane.busy = false;
			next(lane);
			grant.reply().accept(answer);
		});
	}

	private void exchange(Lane lane, GrantCall call, long timeoutNanos, Consumer<GrantReply> reply) {
		lane.connections.send(this.dialect.grantRequest(call), timeoutNanos, false, new ClientListener() {

			@Override
			public boolean accepts(HttpResponse response) {
				return true;
			}

			@Override
			public void answered(HttpResponse response) {
				reply.accept(TargetCalls.this.dialect.grantReply(call, response));
			}

			@Override
			public void failed(CallFailure failure) {
				reply.accept(failure.mayHaveRun() ? GrantReply.UNKNOWN : GrantReply.NOT_SENT);
			}

		});
	}

	/**
	 * A grant that waits for its turn.
	 *
	 * @param call the call
	 * @param queuedMillis the wall clock when it was handed over
	 * @param reply hears the answer
	 */
	private record QueuedGrant(GrantCall call, long queuedMillis, Consumer<GrantReply> reply) {
	}

	/**
	 * The calls to one target. Not thread safe.
	 */
	private static final class Lane {

		private final TargetConnections connections;

		private final Deque<QueuedGrant> queue = new ArrayDeque<>();

		private boolean busy;

		Lane(TargetConnections connections) {
			this.connections = connections;
		}

	}

}
