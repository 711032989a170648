package org.redwingramp.daemon.internal.route;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import org.redwingramp.daemon.internal.gate.GateReply;

/**
 * Hedges a request: starts a second send if the first one has not completed within a
 * delay, and returns the reply that carries an answer first. Thread safe.
 */
final class Hedger {

	private final Executor executor;

	Hedger(Executor executor) {
		this.executor = executor;
	}

	GateReply send(long delayNanos, Supplier<GateReply> first, Supplier<Optional<GateReply>> second) {
		CompletableFuture<GateReply> firstReply = CompletableFuture.supplyAsync(first, this.executor);
		try {
			return firstReply.get(delayNanos, TimeUnit.NANOSECONDS);
		}
		catch (TimeoutException ex) {
			return awaitFirstAnswer(firstReply, CompletableFuture.supplyAsync(second, this.executor));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return firstReply.join();
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException(ex.getCause());
		}
	}

	private static GateReply awaitFirstAnswer(CompletableFuture<GateReply> first,
			CompletableFuture<Optional<GateReply>> second) {
		CompletableFuture<GateReply> answer = new CompletableFuture<>();
		first.thenAccept((reply) -> {
			if (reply.problem().isEmpty()) {
				answer.complete(reply);
			}
		});
		second.thenAccept((reply) -> reply.filter((found) -> found.problem().isEmpty()).ifPresent(answer::complete));
		CompletableFuture.allOf(first, second)
			.whenComplete((done, failure) -> answer.complete(combineFailures(first.join(), second.join())));
		return answer.join();
	}

	// A reply "not run" of one send must not hide that the other send may have run.
	private static GateReply combineFailures(GateReply first, Optional<GateReply> second) {
		return second.map(first::combineWithEarlier).orElse(first);
	}

}
