package org.redwingramp.core.model;

/**
 * Whether a failure domain takes work. Immutable and thread safe.
 */
public enum DomainState {

	/** The failure domain takes work. */
	IN(true),

	/** The failure domain gets no new work and its shards move elsewhere. */
	OUT(false);

	private final boolean takesWork;

	DomainState(boolean takesWork) {
		this.takesWork = takesWork;
	}

	/**
	 * Returns whether new work may be sent to the failure domain.
	 * @return whether it takes work
	 */
	public boolean takesWork() {
		return this.takesWork;
	}

}
