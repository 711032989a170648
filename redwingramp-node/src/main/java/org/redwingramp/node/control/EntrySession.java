package org.redwingramp.node.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.redwingramp.core.fleet.ViewFlowControl;
import org.redwingramp.node.api.GrantCall;
import org.redwingramp.node.api.GrantReply;
import org.redwingramp.node.link.Link;
import org.redwingramp.node.link.LinkMessage;

/**
 * An entry instance that receives the view from this leader, with the calls that it
 * relays to targets. Not thread safe; confined to the event loop's thread.
 */
final class EntrySession {

	/**
	 * Delay after a view that couldn't be sent. The next attempt likely fails too, and
	 * each one costs the leader time.
	 */
	private static final long VIEW_RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	private final Link link;

	private final String name;

	private final Map<Long, Consumer<GrantReply>> pendingRelays = new HashMap<>();

	private final ViewFlowControl flowControl;

	private final EntryProgress progress;

	private final LongSupplier relayNumbers;

	private Optional<Long> reportedClockMillis = Optional.empty();

	private long clockReportedNanos;

	private Optional<Long> viewFailedNanos = Optional.empty();

	// The numbers must be unique among all sessions on the link: a reply may arrive after
	// the session in which its call was sent.
	EntrySession(Link link, String name, long configVersion, EntryProgress progress, LongSupplier relayNumbers) {
		this.link = link;
		this.name = name;
		this.progress = progress;
		this.relayNumbers = relayNumbers;
		this.flowControl = new ViewFlowControl(configVersion, System.nanoTime());
	}

	Link link() {
		return this.link;
	}

	String name() {
		return this.name;
	}

	ViewFlowControl flowControl() {
		return this.flowControl;
	}

	EntryProgress progress() {
		return this.progress;
	}

	boolean readyForView(long newestConfig, long now) {
		boolean delayed = this.viewFailedNanos.filter((failed) -> now - failed < VIEW_RETRY_DELAY_NANOS).isPresent();
		return !delayed && this.flowControl.ready(newestConfig, now);
	}

	// Delays the next view, since this one couldn't be sent.
	void viewFailed(long now) {
		this.viewFailedNanos = Optional.of(now);
	}

	void noteProgress(long now) {
		this.progress.acknowledged(
				(this.flowControl.acknowledgedSequence() > 0)
						? OptionalLong.of(this.flowControl.oldestUnacknowledgedAgeNanos(now)) : OptionalLong.empty(),
				now);
	}

	// Sends a call to a target by way of the entry instance and returns the number that
	// identifies its reply.
	long relay(long term, String address, GrantCall call, Consumer<GrantReply> reply) {
		long number = this.relayNumbers.getAsLong();
		this.pendingRelays.put(number, reply);
		this.link.send(new LinkMessage.RelayCall(number, term, address, call, relayEndMillis(System.nanoTime())));
		return number;
	}

	// Takes note of the entry instance's clock, as a report states it.
	void clockReported(long millis, long now) {
		this.reportedClockMillis = Optional.of(millis);
		this.clockReportedNanos = now;
	}

	// Returns until when the entry instance may relay a call, on its own clock. The
	// report took some time to arrive, so the clock is ahead of what is assumed here and
	// the limit is never too late.
	private Optional<Long> relayEndMillis(long now) {
		return this.reportedClockMillis.map((clock) -> clock
				+ TimeUnit.NANOSECONDS.toMillis(now - this.clockReportedNanos) + TargetCalls.MAX_QUEUED_MILLIS);
	}

	// Passes on the reply to a relayed call. Later replies to the same call are ignored.
	void relayReplied(long number, GrantReply reply) {
		Consumer<GrantReply> handler = this.pendingRelays.remove(number);
		if (handler != null) {
			handler.accept(reply);
		}
	}

}
