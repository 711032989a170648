package org.redwingramp.core.routing;

import java.util.Map;
import java.util.Set;

/**
 * Detects stragglers: targets of a service that are much slower than the others, by
 * response times measured on the caller's side. A straggler is ejected for a time, during
 * which other targets are preferred. Deterministic. Not thread safe; callers guard it
 * with a lock.
 *
 * <p>
 * Invariant: at most a third of the targets are ejected at a time, and at least one
 * target is not.
 */
public interface StragglerDetector {

	/**
	 * Records a response.
	 * @param target the target's name
	 * @param serviceNanos the time in nanoseconds from sending the request to the
	 * complete response
	 * @param now the monotonic time in nanoseconds
	 */
	void responseReceived(String target, long serviceNanos, long now);

	/**
	 * Records a request that received no response.
	 * @param target the target's name
	 * @param waitedNanos the time in nanoseconds for which the caller waited
	 * @param now the monotonic time in nanoseconds
	 */
	void responseMissing(String target, long waitedNanos, long now);

	/**
	 * Discards the measurements and the ejection of a target that was removed.
	 * @param target the target's name
	 */
	void targetRemoved(String target);

	/**
	 * Returns the targets that are slow at present, whether ejected or not.
	 * @param now the monotonic time in nanoseconds
	 * @return the ratio of the mean service time to the median, by name of the target
	 */
	Map<String, Double> slowTargets(long now);

	/**
	 * Returns the targets that are ejected at present.
	 * @param now the monotonic time in nanoseconds
	 * @return the names of the targets
	 */
	Set<String> ejectedTargets(long now);

}
