package org.redwingramp.bench.standin;

import java.util.concurrent.TimeUnit;

/**
 * The fault that the stand-in target currently injects into its responses. Thread safe.
 */
final class Faults {

	/** Kinds of injected faults; the control endpoint takes and prints these names. */
	enum Mode {

		/** No fault is injected. */
		NONE,

		/** The response body ends before its declared content length. */
		TRUNCATED,

		/** The response is delayed by a given time. */
		LATE,

		/** The response carries the identity, path and key of the previous request. */
		CROSSED,

		/** Connections opened before the fault was set receive no responses. */
		SILENT

	}

	private volatile State state = new State(Mode.NONE, 0, 0, 0);

	private volatile String previousIdentity = "";

	private volatile String previousPath = "";

	void set(Mode mode, long delayMillis, int percent, long sinceMillis) {
		this.state = new State(mode, delayMillis, percent, sinceMillis);
	}

	State current() {
		return this.state;
	}

	// Selects the given percentage of the requests by the hash of their identity.
	boolean affects(Mode mode, String identity) {
		State current = this.state;
		return current.mode == mode && Math.floorMod(identity.hashCode(), 100) < current.percent;
	}

	boolean suppressesResponses(long connectionCreatedMillis) {
		State current = this.state;
		return current.mode == Mode.SILENT && connectionCreatedMillis < current.sinceMillis;
	}

	long delayNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.state.delayMillis);
	}

	// Stores the identity and path of this request and returns those of the previous one.
	synchronized String[] exchangePrevious(String identity, String path) {
		String[] previous = { this.previousIdentity, this.previousPath };
		this.previousIdentity = identity;
		this.previousPath = path;
		return previous;
	}

	/**
	 * A fault and its parameters. Immutable and thread safe.
	 *
	 * @param mode the kind of fault
	 * @param delayMillis the delay of a late response in milliseconds
	 * @param percent the percentage of requests that the fault affects
	 * @param sinceMillis when the fault was set, in milliseconds since the epoch
	 */
	record State(Mode mode, long delayMillis, int percent, long sinceMillis) {
	}

}
