package org.redwingramp.core.routing;

import java.util.List;
import java.util.Optional;

/**
 * Chooses a target of a service that isn't divided by key. Deterministic for a given
 * generator. Not thread safe; a lock guards it.
 */
public interface TargetChooser {

	/**
	 * Chooses a target.
	 * @param candidates the targets that take work and weren't tried for this request
	 * @return the chosen target's name, or empty without candidates
	 */
	Optional<String> choose(List<Candidate> candidates);

	/**
	 * A target to choose from. Immutable.
	 *
	 * @param target the target's name
	 * @param slots the target's slots
	 * @param busy the started and waiting requests as far as known
	 * @param serviceNanos the smoothed service time in nanoseconds, 0 if unknown
	 * @param ejected whether it is ejected as a straggler
	 */
	record Candidate(String target, int slots, int busy, long serviceNanos, boolean ejected) {
	}

}
