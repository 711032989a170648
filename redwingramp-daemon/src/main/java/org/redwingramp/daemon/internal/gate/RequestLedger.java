package org.redwingramp.daemon.internal.gate;

import org.redwingramp.core.control.Command;
import org.redwingramp.core.control.CommandResult.Begun;
import org.redwingramp.core.control.RequestIdentity;
import org.redwingramp.core.control.StoredAnswer;

/**
 * The record of requests that run at most once. Implementations are thread safe.
 */
interface RequestLedger {

	/**
	 * Records that a request is about to be sent. May repeat the command while it isn't
	 * known whether it was committed.
	 * @param request the request, with a token
	 * @param timeoutNanos how long to try
	 * @return what the ledger holds; the request may be sent only if it was started now
	 * @throws LedgerUnavailableException if the ledger gave no answer; the request must
	 * not be sent
	 */
	Begun begin(Command.BeginRequest request, long timeoutNanos) throws LedgerUnavailableException;

	/**
	 * Records the whole answer, trying for a limited time.
	 * @param request the request's identity
	 * @param attempt the attempt
	 * @param answer the answer
	 */
	void finish(RequestIdentity request, long attempt, StoredAnswer answer);

	/**
	 * Records that a request certainly didn't run.
	 * @param request the request's identity
	 * @param attempt the attempt
	 */
	void abort(RequestIdentity request, long attempt);

	/**
	 * Records that a request may have run, without waiting.
	 * @param request the request's identity
	 * @param attempt the attempt
	 */
	void markUnknown(RequestIdentity request, long attempt);

}
