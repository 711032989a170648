package org.redwingramp.cli.internal;

/**
 * Pauses between attempts. Stateless and thread safe.
 */
final class Pauses {

	private Pauses() {
	}

	/**
	 * Waits.
	 * @param millis the time in milliseconds
	 * @return {@code false} if the thread was interrupted
	 */
	static boolean pause(long millis) {
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
