package org.redwingramp.daemon.internal.gate;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Answers requests with prepared answers and keeps the requests that it was given.
 */
final class FakeTargetCaller implements TargetCaller {

	private final Deque<TargetAnswer> answers = new ArrayDeque<>();

	private final List<TargetCall> calls = new ArrayList<>();

	void answerNext(TargetAnswer answer) {
		this.answers.add(answer);
	}

	synchronized List<TargetCall> calls() {
		return List.copyOf(this.calls);
	}

	@Override
	public synchronized CompletableFuture<TargetAnswer> send(TargetCall call) {
		this.calls.add(call);
		TargetAnswer answer = this.answers.poll();
		return (answer != null) ? CompletableFuture.completedFuture(answer) : new CompletableFuture<>();
	}

}
