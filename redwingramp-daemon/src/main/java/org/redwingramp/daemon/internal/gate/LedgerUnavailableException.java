package org.redwingramp.daemon.internal.gate;

/**
 * Thrown if the ledger did not confirm that an attempt was started, so that the request
 * must not be sent. Immutable and thread safe.
 */
final class LedgerUnavailableException extends Exception {

	private static final long serialVersionUID = 1L;

	LedgerUnavailableException(String message) {
		super(message, null, false, false);
	}

}
