package org.redwingramp.daemon.internal.gate;

/**
 * The ledger gave no answer, so the request must not be sent. Immutable and thread safe.
 */
final class LedgerUnavailableException extends Exception {

	private static final long serialVersionUID = 1L;

	LedgerUnavailableException(String message) {
		super(message, null, false, false);
	}

}
