package org.redwingramp.cli.internal;

/**
 * Sleeps between attempts without losing interrupts. Stateless and thread safe.
 */
final class Sleeper {

	private Sleeper() {
	}

	/**
	 * Sleeps for the given time. If the thread is interrupted, its interrupt status is
	 * set again.
	 * @param millis the time in milliseconds
	 * @return {@code false} if the thread was interrupted
	 */
	static boolean sleep(long millis) {
		try {
			Thread.sleep(millis);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
