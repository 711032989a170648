package org.redwingramp.core.control;

/**
 * The lifecycle phase of a target's incarnation. Immutable and thread safe.
 */
public enum TargetPhase {

	/** Accepts shards and requests. */
	READY(true, true),

	/**
	 * Keeps its shards until they have been moved to other targets, and gets no new work.
	 */
	DRAINING(false, true),

	/** Does not respond, and its grant lease has expired. */
	LOST(false, false);

	private final boolean acceptsShards;

	private final boolean needsGate;

	TargetPhase(boolean acceptsShards, boolean needsGate) {
		this.acceptsShards = acceptsShards;
		this.needsGate = needsGate;
	}

	/**
	 * Returns whether shards may be assigned to the target.
	 * @return whether it accepts shards
	 */
	public boolean acceptsShards() {
		return this.acceptsShards;
	}

	/**
	 * Returns whether the target must have a gate.
	 * @return whether it needs a gate
	 */
	public boolean needsGate() {
		return this.needsGate;
	}

}
