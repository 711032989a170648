package org.redwingramp.core.consensus;

/**
 * An invariant of the replicated log doesn't hold, so neither the memory nor the messages
 * of this replica can be trusted. The process that runs the replica must stop it without
 * carrying out further effects. Unchecked, since no caller can go on after it. Immutable
 * and thread safe.
 */
public final class ConsensusInvariantException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param message which invariant, on which replica, and what was found
	 */
	public ConsensusInvariantException(String message) {
		super(message);
	}

}
