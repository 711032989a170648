package org.redwingramp.core.fleet;

import java.util.concurrent.TimeUnit;

/**
 * Why an entry instance doesn't follow the control leader although it hears it. The
 * constant names are written to the log and sent to the leader. Immutable and thread
 * safe.
 */
public enum LagReason {

	/** The configuration in force can't be read. */
	CONFIG_UNREADABLE(0, 1000, false),

	/** The leader is heard, but none of its views could be applied. */
	VIEW_MISSING(1000, 1800, true);

	private final long notReadyAfterNanos;

	private final long refusedAfterNanos;

	private final boolean requiresLeader;

	LagReason(long notReadyAfterMillis, long refusedAfterMillis, boolean requiresLeader) {
		this.notReadyAfterNanos = TimeUnit.MILLISECONDS.toNanos(notReadyAfterMillis);
		this.refusedAfterNanos = TimeUnit.MILLISECONDS.toNanos(refusedAfterMillis);
		this.requiresLeader = requiresLeader;
	}

	/**
	 * Returns how long a lag lasts until the instance is not ready.
	 * @return the duration in nanoseconds
	 */
	public long notReadyAfterNanos() {
		return this.notReadyAfterNanos;
	}

	/**
	 * Returns how long a lag lasts until the instance refuses requests. It is shorter
	 * than the time within which the platform requires a change to be in force.
	 * @return the duration in nanoseconds
	 */
	public long refusedAfterNanos() {
		return this.refusedAfterNanos;
	}

	/**
	 * Returns whether the lag counts only while a leader is heard.
	 * @return whether it requires a leader
	 */
	public boolean requiresLeader() {
		return this.requiresLeader;
	}

}
