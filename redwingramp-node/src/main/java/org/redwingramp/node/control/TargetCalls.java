package org.redwingramp.node.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.redwingramp.node.api.GrantCall;
import org.redwingramp.node.api.GrantReply;
import org.redwingramp.node.api.PlatformDialect;
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

	private final PlatformDialect dialect;

	private final Map<String, Lane> lanes = new HashMap<>();

	/**
	 * Creates the sender.
	 * @param loop the event loop
	 * @param dialect the platform's formats
	 */
	public TargetCalls(EventLoop loop, PlatformDialect dialect) {
		this.loop = loop;
		this.dialect = dialect;
	}

	/**
	 * Sends a call.
	 * @param address the target's address, {@code ip:port}
	 * @param call the call
	 * @param reply hears the answer once
	 */
	public void send(String address, GrantCall call, Consumer<GrantReply> reply) {
		Lane lane = this.lanes.computeIfAbsent(address, (key) -> new Lane(TargetConnections.to(this.loop, key)));
		if (call.release()) {
			exchange(lane, call, RELEASE_TIMEOUT_NANOS, reply);
		}
		else {
			lane.queue.add(() -> exchange(lane, call, GRANT_TIMEOUT_NANOS, (answer) -> {
				lane.busy = false;
				next(lane);
				reply.accept(answer);
			}));
			next(lane);
		}
	}

	private void next(Lane lane) {
		if (!lane.busy && !lane.queue.isEmpty()) {
			lane.busy = true;
			lane.queue.poll().run();
		}
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
	 * The calls to one target. Not thread safe.
	 */
	private static final class Lane {

		private final TargetConnections connections;

		private final Deque<Runnable> queue = new ArrayDeque<>();

		private boolean busy;

		Lane(TargetConnections connections) {
			this.connections = connections;
		}

	}

}
