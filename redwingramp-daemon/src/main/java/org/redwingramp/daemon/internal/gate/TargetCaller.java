package org.redwingramp.daemon.internal.gate;

import java.util.concurrent.CompletableFuture;

/**
 * Sends requests to targets. Implementations are thread safe.
 */
interface TargetCaller {

	/**
	 * Sends a request. Cancelling the future aborts the request and closes its
	 * connection.
	 * @param call the request
	 * @return completed normally with how it ended
	 */
	CompletableFuture<TargetAnswer> send(TargetCall call);

}
