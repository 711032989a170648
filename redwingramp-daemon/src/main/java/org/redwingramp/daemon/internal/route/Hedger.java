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
 * Sends a request a second time if the first send takes long, and takes the first answer.
 * Thread safe.
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
			return firstAnswer(firstReply, CompletableFuture.supplyAsync(second, this.executor));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return firstReply.join();
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException(ex.getCause());
		}
	}

	private static GateReply firstAnswer(CompletableFuture<GateReply> first,
			CompletableFuture<Optional<GateReply>> second) {
		CompletableFuture<GateReply> answer = new CompletableFuture<>();
		first.thenAccept((reply) -> {
			if (reply.problem().isEmpty()) {
				answer.complete(reply);
			}
		});
		second.thenAccept((reply) -> reply.filter((found) -> found.problem().isEmpty()).ifPresent(answer::complete));
		CompletableFuture.allOf(first, second)
			.whenComplete((done, failure) -> answer.complete(unanswered(first.join(), second.join())));
		return answer.join();
	}

	private static GateReply unanswered(GateReply first, Optional<GateReply> second) {
		return second.map(first::after).orElse(first);
	}

}
