package org.redwingramp.daemon.internal.gate;

import java.util.concurrent.CompletableFuture;

/**
 * Sends requests to targets. Implementations are thread safe.
 */
interface TargetClient {

	/**
	 * Sends a request. Cancelling the future aborts the request and closes its
	 * connection.
	 * @param call the request
	 * @return completed with the result; a failed call completes normally, too
	 */
	CompletableFuture<TargetCallResult> send(TargetCall call);

}
