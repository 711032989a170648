package org.redwingramp.core.control;

/**
 * The state of a shard's ownership. Immutable and thread safe.
 */
public enum ShardPhase {

	/** No target owns it. */
	UNOWNED(false),

	/** A target owns it and requests flow. */
	OWNED(true),

	/** A target owns it, finishes what is in flight and gets no new request for it. */
	RELEASING(false);

	private final boolean dispatchable;

	ShardPhase(boolean dispatchable) {
		this.dispatchable = dispatchable;
	}

	/**
	 * Returns whether new requests may be sent to the owner.
	 * @return whether requests flow
	 */
	public boolean dispatchable() {
		return this.dispatchable;
	}

}
