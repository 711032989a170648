package org.redwingramp.daemon.internal.gate;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Completes calls with prepared results, in order, and records the calls. A call without
 * a prepared result is never completed.
 */
final class FakeTargetClient implements TargetClient {

	private final Deque<TargetCallResult> results = new ArrayDeque<>();

	private final List<TargetCall> calls = new ArrayList<>();

	void addResult(TargetCallResult result) {
		this.results.add(result);
	}

	synchronized List<TargetCall> calls() {
		return List.copyOf(this.calls);
	}

	@Override
	public synchronized CompletableFuture<TargetCallResult> send(TargetCall call) {
		this.calls.add(call);
		TargetCallResult result = this.results.poll();
		return (result != null) ? CompletableFuture.completedFuture(result) : new CompletableFuture<>();
	}

}
