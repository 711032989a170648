package org.redwingramp.daemon.internal.runtime;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Signals the main thread that the process was asked to stop, and delays the exit of the
 * process by a shutdown hook until the main thread has finished. Thread safe.
 */
final class StopSignal {

	private static final long STOP_TIMEOUT_SECONDS = 60;

	private final CountDownLatch requested = new CountDownLatch(1);

	private final CountDownLatch completed = new CountDownLatch(1);

	private StopSignal() {
	}

	static StopSignal install() {
		StopSignal signal = new StopSignal();
		Runtime.getRuntime().addShutdownHook(new Thread(signal::delayExit, "stop"));
		return signal;
	}

	void await() throws InterruptedException {
		this.requested.await();
	}

	void completed() {
		this.completed.countDown();
	}

	private void delayExit() {
		this.requested.countDown();
		try {
			this.completed.await(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
