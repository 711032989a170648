package org.redwingramp.core.control;

/**
 * The life of one run of a target. Immutable and thread safe.
 */
public enum TargetPhase {

	/** Takes work. */
	READY(true, true),

	/** Keeps what it owns until it has moved, and gets no new work. */
	DRAINING(false, true),

	/** Doesn't answer and its grant lease is over. */
	LOST(false, false);

	private final boolean takesShards;

	private final boolean needsGate;

	TargetPhase(boolean takesShards, boolean needsGate) {
		this.takesShards = takesShards;
		this.needsGate = needsGate;
	}

	/**
	 * Returns whether shards may be assigned to the target.
	 * @return whether it takes shards
	 */
	public boolean takesShards() {
		return this.takesShards;
	}

	/**
	 * Returns whether the target needs a gate.
	 * @return whether it needs one
	 */
	public boolean needsGate() {
		return this.needsGate;
	}

}
