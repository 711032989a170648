package org.redwingramp.node;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The threads of simulated targets. On a busy machine, a new thread may run for the first
 * time after a second, while one that waits runs at once; hence {@link #prepare()} leaves
 * some waiting, so that a target answers within the timeouts of the tests. Thread safe.
 */
public final class TargetThreads {

	/** For the acceptor of each of two targets and for some connections. */
	private static final int PREPARED = 12;

	private static final ThreadPoolExecutor THREADS = new ThreadPoolExecutor(PREPARED, Integer.MAX_VALUE, 60,
			TimeUnit.SECONDS, new SynchronousQueue<>(), (task) -> {
				Thread thread = new Thread(task, "target");
				thread.setDaemon(true);
				return thread;
			});

	private TargetThreads() {
	}

	/**
	 * Waits until a number of threads wait for work.
	 * @throws IllegalStateException if interrupted
	 */
	public static void prepare() {
		CountDownLatch started = new CountDownLatch(PREPARED);
		for (int i = 0; i < PREPARED; i++) {
			start(() -> {
				started.countDown();
				await(started);
			});
		}
		await(started);
	}

	/**
	 * Runs an action in a thread of its own.
	 * @param action the action
	 */
	public static void start(Runnable action) {
		THREADS.execute(action);
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException("interrupted while the threads of targets start", ex);
		}
	}

}
