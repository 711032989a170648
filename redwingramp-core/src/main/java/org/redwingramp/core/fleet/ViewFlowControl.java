package org.redwingramp.core.fleet;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Flow control for the views that are sent to one entry instance, by a window of
 * unacknowledged bytes. States that arise while the window is full are skipped: the next
 * view contains the changes from the last state sent to the newest one. Invariant: no
 * view is sent while the unacknowledged ones take {@link #WINDOW_BYTES} or more. Reads no
 * clock. Not thread safe.
 */
public final class ViewFlowControl {

	/**
	 * Size of the send window. It takes about an eighth of a second to transmit on the
	 * slowest link in use, 2 Mbit/s.
	 */
	public static final int WINDOW_BYTES = 32 * 1024;

	/**
	 * An entry instance that has received this many unacknowledged bytes acknowledges
	 * them immediately instead of with its next report.
	 */
	public static final int ACKNOWLEDGE_BYTES = WINDOW_BYTES / 4;

	/**
	 * Minimum interval between two views without a new configuration. Slightly shorter
	 * than a tick of the controller, in which most changes arise.
	 */
	private static final long MIN_SEND_INTERVAL_NANOS = 30_000_000L;

	private final Deque<SentView> unacknowledgedViews = new ArrayDeque<>();

	private ViewState lastSentState = ViewState.EMPTY;

	private long sentConfigVersion;

	private long acknowledgedSequence;

	private long unacknowledgedBytes;

	private long lastSentNanos;

	/**
	 * Creates the flow control for an entry instance that has received no view yet.
	 * @param configVersion the version of the configuration that the entry instance has
	 * @param now the monotonic time in nanoseconds
	 */
	public ViewFlowControl(long configVersion, long now) {
		this.sentConfigVersion = configVersion;
		this.lastSentNanos = now - MIN_SEND_INTERVAL_NANOS;
	}

	/**
	 * Returns whether the next view may be sent now.
	 * @param newestConfig the version of the configuration in force
	 * @param now the monotonic time in nanoseconds
	 * @return whether it may be sent
	 */
	public boolean ready(long newestConfig, long now) {
		boolean due = lacksConfig(newestConfig) || now - this.lastSentNanos >= MIN_SEND_INTERVAL_NANOS;
		return due && this.unacknowledgedBytes < WINDOW_BYTES;
	}

	/**
	 * Returns whether the next view has to contain the configuration.
	 * @param newestConfig the version of the configuration in force
	 * @return whether the configuration last sent is older
	 */
	public boolean lacksConfig(long newestConfig) {
		return this.sentConfigVersion < newestConfig;
	}

	/**
	 * Returns the state that the last view sent resulted in.
	 * @return the state, {@link ViewState#EMPTY} before the first view
	 */
	public ViewState lastSentState() {
		return this.lastSentState;
	}

	/**
	 * Records that a view was sent.
	 * @param state the state that the view results in
	 * @param bytes the size of the view, which may be an estimate
	 * @param now the monotonic time in nanoseconds
	 */
	public void sent(ViewState state, int bytes, long now) {
		this.lastSentState = state;
		this.sentConfigVersion = Math.max(this.sentConfigVersion, state.configVersion());
		this.lastSentNanos = now;
		this.unacknowledgedBytes += bytes;
		this.unacknowledgedViews.add(new SentView(state.sequence(), bytes, now));
	}

	/**
	 * Records an acknowledgement of the entry instance.
	 * @param sequence the sequence number of its view, 0 if it has none of this leader
	 */
	public void acknowledged(long sequence) {
		this.acknowledgedSequence = sequence;
		while (!this.unacknowledgedViews.isEmpty() && this.unacknowledgedViews.peek().sequence() <= sequence) {
			this.unacknowledgedBytes -= this.unacknowledgedViews.poll().bytes();
		}
	}

	/**
	 * Returns the sequence number of the last view that the entry instance acknowledged.
	 * @return the sequence number, 0 if it has no view of this leader
	 */
	public long acknowledgedSequence() {
		return this.acknowledgedSequence;
	}

	/**
	 * Returns the version of the configuration that was last sent.
	 * @return the version
	 */
	public long sentConfigVersion() {
		return this.sentConfigVersion;
	}

	/**
	 * Returns the age of the oldest unacknowledged view.
	 * @param now the monotonic time in nanoseconds
	 * @return the age in nanoseconds, 0 if all views are acknowledged
	 */
	public long oldestUnacknowledgedAgeNanos(long now) {
		return this.unacknowledgedViews.isEmpty() ? 0 : now - this.unacknowledgedViews.peek().sentNanos();
	}

	private record SentView(long sequence, int bytes, long sentNanos) {
	}

}
