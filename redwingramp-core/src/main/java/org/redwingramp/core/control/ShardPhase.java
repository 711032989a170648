package org.redwingramp.core.control;

/**
 * The phase of a shard's ownership. Immutable and thread safe.
 */
public enum ShardPhase {

	/** No target owns the shard. */
	UNOWNED(false),

	/** A target owns the shard and may receive new requests for it. */
	OWNED(true),

	/**
	 * A target owns the shard and finishes the requests in flight, but receives no new
	 * ones.
	 */
	RELEASING(false);

	private final boolean dispatchable;

	ShardPhase(boolean dispatchable) {
		this.dispatchable = dispatchable;
	}

	/**
	 * Returns whether new requests may be sent to the owner.
	 * @return whether new requests may be sent
	 */
	public boolean dispatchable() {
		return this.dispatchable;
	}

}
