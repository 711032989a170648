package org.redwingramp.node.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.redwingramp.node.link.LinkMessage;
import org.redwingramp.node.loop.EventLoop;
import org.redwingramp.node.loop.Timer;

/**
 * Obtains permits of the control leader to send requests to targets whose request rate is
 * limited. Invariant: each listener is called exactly once, unless its permit is
 * cancelled. Not thread safe; confined to the event loop thread.
 */
final class RatePermits {

	/**
	 * Time after which the leader is assumed not to reply. Bounds how late a permit may
	 * be used, since the leader counts permits when it grants them.
	 */
	private static final long REPLY_TIMEOUT_NANOS = 150_000_000L;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final EventLoop loop;

	private final Predicate<LinkMessage> leader;

	private final Map<Long, Permit> pending = new HashMap<>();

	private long nextNumber = 1;

	// The leader accepts a message and returns false if none is known.
	RatePermits(EventLoop loop, Predicate<LinkMessage> leader) {
		this.loop = loop;
		this.leader = leader;
	}

	// Asks for a permit that becomes usable within the given time.
	Permit request(String target, TargetRate rate, long maxDelayMillis, Listener listener) {
		Permit permit = new Permit(this.nextNumber++, listener);
		this.pending.put(permit.number, permit);
		boolean sent = this.leader.test(new LinkMessage.PermitRequest(permit.number, target, rate.perSecond(),
				rate.statedToSend(System.nanoTime()), maxDelayMillis));
		permit.timer = this.loop.schedule(sent ? REPLY_TIMEOUT_NANOS : 0, () -> {
			if (this.pending.remove(permit.number) != null) {
				listener.noReply();
			}
		});
		return permit;
	}

	// Ignores a reply that comes after the timeout.
	void replied(LinkMessage.PermitReply reply) {
		Permit permit = this.pending.remove(reply.number());
		if (permit == null) {
			return;
		}
		permit.timer.cancel();
		if (!reply.granted()) {
			permit.listener.refused(reply.delayMillis());
		}
		else if (reply.delayMillis() <= 0) {
			permit.listener.granted();
		}
		else {
			permit.timer = this.loop.schedule(reply.delayMillis() * NANOS_PER_MILLI, permit.listener::granted);
		}
	}

	/**
	 * Receives the outcome of the request for a permit.
	 */
	interface Listener {

		// The request may be sent now.
		void granted();

		// The request may not be sent; another one could be after the given time.
		void refused(long retryAfterMillis);

		// No leader is known, or it didn't reply.
		void noReply();

	}

	/** A permit that was asked for. */
	final class Permit {

		private final long number;

		private final Listener listener;

		private Timer timer;

		Permit(long number, Listener listener) {
			this.number = number;
			this.listener = listener;
		}

		void cancel() {
			RatePermits.this.pending.remove(this.number);
			this.timer.cancel();
		}

	}

}
