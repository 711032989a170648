package org.redwingramp.node.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.redwingramp.node.api.GrantCall;
import org.redwingramp.node.api.GrantReply;
import org.redwingramp.node.events.NodeMetrics;

/**
 * The calls to targets in one leadership: counts them by kind and outcome, and knows
 * which have no reply yet. Invariant: each call is counted once, with its first reply.
 * Not thread safe; confined to the event loop's thread.
 */
final class LeaderCalls {

	private static final int MAX_NAMED_CALLS = 5;

	private final NodeMetrics metrics;

	private final Map<Long, GrantCall> inFlight = new LinkedHashMap<>();

	private long lastNumber;

	LeaderCalls(NodeMetrics metrics) {
		this.metrics = metrics;
	}

	// Takes note of a call, and of its reply once that was passed on.
	Consumer<GrantReply> begin(GrantCall call, Consumer<GrantReply> receiver) {
		long number = ++this.lastNumber;
		this.inFlight.put(number, call);
		return (reply) -> {
			try {
				receiver.accept(reply);
			}
			finally {
				end(number, reply);
			}
		};
	}

	private void end(long number, GrantReply reply) {
		GrantCall call = this.inFlight.remove(number);
		if (call != null) {
			this.metrics.count(call.kind() + 's', reply.outcome().name());
		}
	}

	long inFlight(boolean release) {
		return this.inFlight.values().stream().filter((call) -> call.release() == release).count();
	}

	// Names the calls that have waited longest.
	String oldest() {
		return this.inFlight.values()
			.stream()
			.limit(MAX_NAMED_CALLS)
			.map((call) -> call.kind() + ' ' + call.target() + ' ' + call.keys() + " fence " + call.fence())
			.collect(Collectors.joining(", "));
	}

}
