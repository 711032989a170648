package org.redwingramp.core.routing;

import java.util.Map;
import java.util.Set;

/**
 * Finds targets of one service that are slow by our own timing. Deterministic. Not thread
 * safe; a lock guards it.
 *
 * <p>
 * Invariant: at most a third of the targets is ejected, and at least one stays.
 */
public interface StragglerDetector {

	/**
	 * Counts an answer.
	 * @param target the target's name
	 * @param serviceNanos the time from sending the request to the whole answer
	 * @param now the monotonic time in nanoseconds
	 */
	void answered(String target, long serviceNanos, long now);

	/**
	 * Counts a request without an answer.
	 * @param target the target's name
	 * @param waitedNanos how long it was waited for
	 * @param now the monotonic time in nanoseconds
	 */
	void unanswered(String target, long waitedNanos, long now);

	/**
	 * Forgets a target.
	 * @param target the target's name
	 */
	void removed(String target);

	/**
	 * Returns the slow targets with the ratio of their service time to the median.
	 * @param now the monotonic time in nanoseconds
	 * @return the ratios, above the detection threshold only
	 */
	Map<String, Double> slow(long now);

	/**
	 * Returns the ejected targets.
	 * @param now the monotonic time in nanoseconds
	 * @return the names
	 */
	Set<String> ejected(long now);

}
