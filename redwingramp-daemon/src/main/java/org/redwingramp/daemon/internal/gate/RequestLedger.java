package org.redwingramp.daemon.internal.gate;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult.Begun;
import org.redwingramp.core.control.RequestIdentity;
import org.redwingramp.core.control.StoredAnswer;

/**
 * The ledger of at-most-once requests, which records the attempts to send a request and
 * the responses. Implementations are thread safe.
 */
interface RequestLedger {

	/**
	 * Records that a request is about to be sent. May repeat the command while it is not
	 * known whether the command was committed.
	 * @param request the request, with a token that identifies this attempt
	 * @param timeoutNanos the maximum time to keep trying in nanoseconds
	 * @return the state of the request in the ledger; the request may be sent only if
	 * this call started an attempt
	 * @throws LedgerUnavailableException if the ledger did not reply; the request must
	 * not be sent
	 */
	Begun begin(Command.BeginRequest request, long timeoutNanos) throws LedgerUnavailableException;

	/**
	 * Records the complete response. Gives up after a limited time.
	 * @param request the request's identity
	 * @param attempt the number of the attempt
	 * @param answer the response to store
	 */
	void finish(RequestIdentity request, long attempt, StoredAnswer answer);

	/**
	 * Records that an attempt certainly did not run.
	 * @param request the request's identity
	 * @param attempt the number of the attempt
	 */
	void abort(RequestIdentity request, long attempt);

	/**
	 * Records that an attempt may have run. Returns without waiting for the ledger.
	 * @param request the request's identity
	 * @param attempt the number of the attempt
	 */
	void markUnknown(RequestIdentity request, long attempt);

}
