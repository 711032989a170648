package org.redwingramp.core.routing;

import java.util.List;
import java.util.Optional;

/**
 * Selects the target for a request of a service whose requests may be processed by any
 * target, since its keys are not partitioned. Deterministic for a given random generator.
 * Not thread safe; callers guard it with a lock.
 */
public interface TargetChooser {

	/**
	 * Selects a target.
	 * @param candidates the targets that accept requests and have not yet been tried for
	 * this request
	 * @return the name of the selected target, or empty if there are no candidates
	 */
	Optional<String> choose(List<Candidate> candidates);

	/**
	 * A target that may be selected. Immutable.
	 *
	 * @param target the target's name
	 * @param slots the number of requests that the target can process concurrently
	 * @param busy the known number of requests that are in flight to the target or wait
	 * at its gate
	 * @param serviceNanos the smoothed service time in nanoseconds, 0 if unknown
	 * @param ejected whether the target is ejected as a straggler
	 */
	record Candidate(String target, int slots, int busy, long serviceNanos, boolean ejected) {
	}

}
