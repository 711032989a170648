package org.redwingramp.node.loop;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.function.Supplier;

/**
 * Runs an event loop in a thread of its own and reads state that is confined to it.
 */
public final class LoopThread {

	private LoopThread() {
	}

	/**
	 * Runs the loop in a new daemon thread until the loop is stopped.
	 * @param loop the event loop
	 */
	public static void start(EventLoop loop) {
		Thread thread = new Thread(() -> run(loop), "loop");
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * Computes a value in the loop's thread and waits for it.
	 * @param loop the running event loop
	 * @param query computes the value
	 * @param <T> the type of the value
	 * @return the value
	 * @throws InterruptedException if the waiting thread is interrupted
	 * @throws ExecutionException if the query throws an exception
	 */
	public static <T> T query(EventLoop loop, Supplier<T> query) throws InterruptedException, ExecutionException {
		CompletableFuture<T> value = new CompletableFuture<>();
		loop.post(() -> {
			try {
				value.complete(query.get());
			}
			catch (RuntimeException ex) {
				value.completeExceptionally(ex);
			}
		});
		return value.get();
	}

	private static void run(EventLoop loop) {
		try {
			loop.run();
		}
		catch (IOException ex) {
			throw new IllegalStateException("event loop failed", ex);
		}
	}

}
