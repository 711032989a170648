package org.redwingramp.daemon.internal.runtime;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Tells the main thread that the process was asked to stop, and holds the end of the
 * process back until the main thread is done. Thread safe.
 */
final class StopSignal {

	private static final long STOP_SECONDS = 60;

	private final CountDownLatch asked = new CountDownLatch(1);

	private final CountDownLatch handled = new CountDownLatch(1);

	private StopSignal() {
	}

	static StopSignal install() {
		StopSignal signal = new StopSignal();
		Runtime.getRuntime().addShutdownHook(new Thread(signal::hold, "stop"));
		return signal;
	}

	void await() throws InterruptedException {
		this.asked.await();
	}

	void handled() {
		this.handled.countDown();
	}

	private void hold() {
		this.asked.countDown();
		try {
			this.handled.await(STOP_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
