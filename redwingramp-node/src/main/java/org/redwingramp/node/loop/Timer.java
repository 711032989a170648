package org.redwingramp.node.loop;

/**
 * An action that runs once at a scheduled time, unless it is cancelled. Not thread safe;
 * it is confined to the event loop's thread.
 */
public final class Timer implements Comparable<Timer> {

	private final long dueNanos;

	private Runnable action;

	Timer(long dueNanos, Runnable action) {
		this.dueNanos = dueNanos;
		this.action = action;
	}

	/**
	 * Cancels the action if it hasn't run yet.
	 */
	public void cancel() {
		this.action = null;
	}

	boolean cancelled() {
		return this.action == null;
	}

	boolean due(long now) {
		return now - this.dueNanos >= 0;
	}

	long remainingNanos(long now) {
		return this.dueNanos - now;
	}

	void run() {
		if (this.action != null) {
			this.action.run();
		}
	}

	@Override
	public int compareTo(Timer other) {
		return Long.signum(this.dueNanos - other.dueNanos);
	}

}
