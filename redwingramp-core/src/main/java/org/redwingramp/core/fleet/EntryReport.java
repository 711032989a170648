package org.redwingramp.core.fleet;

import java.util.List;

/**
 * What an entry instance observed since its last report. Immutable and thread safe.
 *
 * @param targets what it saw of targets
 * @param keys the work by key
 */
public record EntryReport(List<TargetUse> targets, List<KeyUse> keys) {

	public EntryReport {
		targets = List.copyOf(targets);
		keys = List.copyOf(keys);
	}

	/**
	 * What an entry instance saw of a target.
	 *
	 * @param target the target's name
	 * @param answers the answers received
	 * @param expectedMillis how long the answered requests take on an average target
	 * @param elapsedMillis how long they took
	 */
	public record TargetUse(String target, int answers, double expectedMillis, double elapsedMillis) {
	}

	/**
	 * The work that a key caused.
	 *
	 * @param service the service
	 * @param key the key
	 * @param millis the milliseconds of a slot that its requests take on an average
	 * target
	 */
	public record KeyUse(String service, int key, float millis) {
	}

}
