package org.redwingramp.core.consensus;

/**
 * Thrown when an invariant of the replicated log is violated, so that neither the
 * in-memory state nor the messages of the replica can be trusted. The process that runs
 * the replica must stop it without carrying out further effects. Unchecked, since no
 * caller can recover from it. Immutable and thread safe.
 */
public final class ConsensusInvariantException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message the violated invariant, the replica if known, and the values found
	 */
	public ConsensusInvariantException(String message) {
		super(message);
	}

}
