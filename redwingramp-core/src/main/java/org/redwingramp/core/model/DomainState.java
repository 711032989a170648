package org.redwingramp.core.model;

/**
 * Whether a failure domain accepts work. Immutable and thread safe.
 */
public enum DomainState {

	/** The failure domain accepts work. */
	IN(true),

	/** The failure domain gets no new work and its shards move to other domains. */
	OUT(false);

	private final boolean acceptsWork;

	DomainState(boolean acceptsWork) {
		this.acceptsWork = acceptsWork;
	}

	/**
	 * Returns whether new work may be sent to the failure domain.
	 * @return whether the failure domain accepts work
	 */
	public boolean acceptsWork() {
		return this.acceptsWork;
	}

}
