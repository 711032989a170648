package org.redwingramp.core.fleet;

import java.util.List;

import org.redwingramp.core.observation.Observation;
import org.redwingramp.core.ownership.KeyRange;
import org.redwingramp.core.ownership.Owner;
import org.redwingramp.core.traffic.ConfigValidator;

/**
 * Statistics that an entry instance collected since its last report. Immutable and thread
 * safe.
 *
 * @param targets the response times of targets
 * @param keys the load of keys
 * @param observations what other entry instances need to know
 * @param leaving the incarnations of targets that said in their responses that they
 * leave, as long as the view has them as usable
 */
public record EntryReport(List<TargetUse> targets, List<KeyUse> keys, List<Observation> observations,
		List<Owner> leaving) {

	/** Exceeds the time that a request may take, in milliseconds. */
	private static final double MAX_MILLIS_PER_REQUEST = 2.0 * ConfigValidator.MAX_TIMEOUT_MILLIS;

	/** Exceeds the time that the requests for a key may take between two reports. */
	private static final double MAX_KEY_MILLIS = 1000 * MAX_MILLIS_PER_REQUEST;

	/**
	 * Creates a report of an entry instance to which no target said that it leaves.
	 * @param targets the response times of targets
	 * @param keys the load of keys
	 * @param observations what other entry instances need to know
	 */
	public EntryReport(List<TargetUse> targets, List<KeyUse> keys, List<Observation> observations) {
		this(targets, keys, observations, List.of());
	}

	public EntryReport {
		targets = List.copyOf(targets);
		keys = List.copyOf(keys);
		observations = List.copyOf(observations);
		leaving = List.copyOf(leaving);
	}

	// Returns the number of elements that can't be used.
	long implausible() {
		return this.targets.stream().filter((usage) -> !usage.plausible()).count()
				+ this.keys.stream().filter((usage) -> !usage.plausible()).count()
				+ this.observations.stream().filter((observation) -> !observation.plausible()).count();
	}

	/**
	 * Responses of a target to the requests of an entry instance.
	 *
	 * @param target the target's name
	 * @param answers the number of responses received
	 * @param expectedMillis the total time that the answered requests would take on a
	 * target of average speed, in milliseconds
	 * @param elapsedMillis the total time that they took, in milliseconds
	 */
	public record TargetUse(String target, int answers, double expectedMillis, double elapsedMillis) {

		// Averages never recover from a value that isn't a number.
		boolean plausible() {
			double maxMillis = this.answers * MAX_MILLIS_PER_REQUEST;
			return this.answers > 0 && this.expectedMillis >= 0 && this.expectedMillis <= maxMillis
					&& this.elapsedMillis >= 0 && this.elapsedMillis <= maxMillis;
		}

	}

	/**
	 * Load that the requests for a key caused.
	 *
	 * @param service the name of the service
	 * @param key the key
	 * @param millis how long its requests occupy a slot of a target of average speed, in
	 * milliseconds
	 */
	public record KeyUse(String service, int key, float millis) {

		boolean plausible() {
			return this.key >= 0 && this.key < KeyRange.KEYS && this.millis >= 0 && this.millis <= MAX_KEY_MILLIS;
		}

	}

}
