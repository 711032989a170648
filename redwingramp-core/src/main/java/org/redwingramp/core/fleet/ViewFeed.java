package org.redwingramp.core.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Paces the views of one entry instance by what it has acknowledged. States that come
 * while it is behind are skipped: the next view leads from the last one sent to the
 * newest one. Invariant: the unacknowledged views take about {@link #WINDOW_BYTES} at
 * most, or are a single one. Reads no clock. Not thread safe.
 */
public final class ViewFeed {

	/**
	 * About an eighth of a second on the slowest link of the platform, 2 Mbit/s.
	 */
	public static final int WINDOW_BYTES = 32 * 1024;

	/**
	 * An entry instance that has taken this much acknowledges it at once instead of with
	 * its next report.
	 */
	public static final int ACKNOWLEDGE_BYTES = WINDOW_BYTES / 4;

	/**
	 * The time between two views without a new configuration. A bit less than a round of
	 * the controller, in which most changes are made.
	 */
	private static final long INTERVAL_NANOS = 30_000_000L;

	private final Deque<Sent> unacknowledged = new ArrayDeque<>();

	private ViewState last = ViewState.EMPTY;

	private long configVersion;

	private long acknowledged;

	private long openBytes;

	private long lastSentNanos;

	/**
	 * Creates the feed of an entry instance that has no view yet.
	 * @param configVersion the version of the configuration that it has
	 * @param now the monotonic time in nanoseconds
	 */
	public ViewFeed(long configVersion, long now) {
		this.configVersion = configVersion;
		this.lastSentNanos = now - INTERVAL_NANOS;
	}

	/**
	 * Returns whether the next view may be sent now.
	 * @param newestConfig the version of the configuration in force
	 * @param now the monotonic time in nanoseconds
	 * @return whether it may be sent
	 */
	public boolean ready(long newestConfig, long now) {
		boolean due = lacksConfig(newestConfig) || now - this.lastSentNanos >= INTERVAL_NANOS;
		return due && this.openBytes < WINDOW_BYTES;
	}

	/**
	 * Returns whether the entry instance has to get the configuration with its next view.
	 * @param newestConfig the version of the configuration in force
	 * @return whether it was last sent an older one
	 */
	public boolean lacksConfig(long newestConfig) {
		return this.configVersion < newestConfig;
	}

	/**
	 * Returns the state that the last view led to.
	 * @return the state, {@link ViewState#EMPTY} before the first view
	 */
	public ViewState last() {
		return this.last;
	}

	/**
	 * Notes that a view was sent.
	 * @param state the state that it leads to
	 * @param bytes about how many bytes it takes
	 * @param now the monotonic time in nanoseconds
	 */
	public void sent(ViewState state, int bytes, long now) {
		this.last = state;
		this.configVersion = Math.max(this.configVersion, state.configVersion());
		this.lastSentNanos = now;
		this.openBytes += bytes;
		this.unacknowledged.add(new Sent(state.sequence(), bytes, now));
	}

	/**
	 * Notes what the entry instance has.
	 * @param sequence the sequence of its view, 0 if it has none of this leader
	 */
	public void acknowledged(long sequence) {
		this.acknowledged = sequence;
		while (!this.unacknowledged.isEmpty() && this.unacknowledged.peek().sequence() <= sequence) {
			this.openBytes -= this.unacknowledged.poll().bytes();
		}
	}

	/**
	 * Returns the sequence of the view that the entry instance has.
	 * @return the sequence, 0 if it has none of this leader
	 */
	public long acknowledgedSequence() {
		return this.acknowledged;
	}

	/**
	 * Returns the version of the configuration that was last sent.
	 * @return the version
	 */
	public long sentConfigVersion() {
		return this.configVersion;
	}

	/**
	 * Returns the age of the oldest view that the entry instance hasn't acknowledged.
	 * @param now the monotonic time in nanoseconds
	 * @return the age in nanoseconds, 0 if it has acknowledged all
	 */
	public long behindNanos(long now) {
		return this.unacknowledged.isEmpty() ? 0 : now - this.unacknowledged.peek().sentNanos();
	}

	private record Sent(long sequence, int bytes, long sentNanos) {
	}

}
