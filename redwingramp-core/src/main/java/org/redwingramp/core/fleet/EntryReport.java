package org.redwingramp.core.fleet;

import java.util.List;

import org.redwingramp.core.observation.Observation;
import org.redwingramp.core.ownership.Owner;

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
	}

}
