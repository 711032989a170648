package org.redwingramp.node.http;

import java.util.concurrent.CompletableFuture;

/**
 * Completes a future with the response to a call or the reason of its failure. Each
 * response counts as the one to the call. Thread safe.
 */
class OutcomeRecorder implements ClientListener {

	final CompletableFuture<Object> outcome = new CompletableFuture<>();

	@Override
	public ResponseMatch match(HttpResponse response) {
		return ResponseMatch.OWN;
	}

	@Override
	public void answered(HttpResponse response) {
		this.outcome.complete(response);
	}

	@Override
	public void failed(CallFailure failure) {
		this.outcome.complete(failure);
	}

}
