package org.redwingramp.bench.standin;

import java.util.concurrent.TimeUnit;

/**
 * How the stand-in target misbehaves at the moment. Thread safe.
 */
final class Faults {

	/** Ways of misbehaving. */
	enum Mode {

		/** Answers are right. */
		NONE,

		/** An answer ends before its announced length. */
		TRUNCATED,

		/** An answer comes later by the given time. */
		LATE,

		/** An answer carries the identity, path and key of the request before. */
		CROSSED,

		/** Connections opened before the switch deliver nothing any more. */
		SILENT

	}

	private volatile State state = new State(Mode.NONE, 0, 0, 0);

	private volatile String previousIdentity = "";

	private volatile String previousPath = "";

	void set(Mode mode, long millis, int percent, long since) {
		this.state = new State(mode, millis, percent, since);
	}

	State now() {
		return this.state;
	}

	// Decides by the identity, so that a share of the requests is hit.
	boolean hits(Mode mode, String identity) {
		State current = this.state;
		return current.mode == mode && Math.floorMod(identity.hashCode(), 100) < current.percent;
	}

	boolean silent(long connectionCreatedMillis) {
		State current = this.state;
		return current.mode == Mode.SILENT && connectionCreatedMillis < current.since;
	}

	long lateNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.state.millis);
	}

	// Remembers this request and returns the one before.
	synchronized String[] swap(String identity, String path) {
		String[] before = { this.previousIdentity, this.previousPath };
		this.previousIdentity = identity;
		this.previousPath = path;
		return before;
	}

	/**
	 * The current fault. Immutable and thread safe.
	 *
	 * @param mode the way of misbehaving
	 * @param millis its time
	 * @param percent the share of requests that it hits
	 * @param since when it was switched on, in milliseconds of the epoch
	 */
	record State(Mode mode, long millis, int percent, long since) {
	}

}
